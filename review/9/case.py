"""The id of another client's open request, whose long answer is on its way: served and run a second time."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, Proxy, connect, read_answer, request_head, run_case

ANSWER_BYTES = 256 * 1024
PIECES = 16
REQUEST_ID = "9b1f03aa5c7e2d41"


def answer_slowly(_backend, sock, request):
    """Works for 0.3 s, then writes a long answer within 1.6 s."""
    time.sleep(0.3)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    for piece in range(PIECES):
        sock.sendall(bytes([97 + piece]) * (ANSWER_BYTES // PIECES))
        time.sleep(0.1)
    request["ended"] = time.monotonic()
    return True


def case(record, ends):
    backends = [Backend(f"s-{n}", record, answer=answer_slowly) for n in range(3)]
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole())
    ends.append(proxy)
    proxy.wait_ready()
    first = {}

    def client():
        sock = connect(proxy)
        record(f"first client: sends {REQUEST_ID}")
        sock.sendall(request_head(REQUEST_ID, "purchase", 1500, length=3, key="k-1") + b"abc")
        first["status"], body = read_answer(sock)
        record(f"first client: {first['status']}, {len(body)} bytes, the whole answer")

    def bad_client(moment):
        sock = connect(proxy, 6.0)
        record(f"bad client, {moment}: sends {REQUEST_ID} as well")
        sock.sendall(request_head(REQUEST_ID, "purchase", 1500, length=3, key="k-2") + b"abc")
        started = time.monotonic()
        status, body = read_answer(sock)
        record(f"bad client, {moment}: {status}, {len(body)} bytes after {time.monotonic() - started:.3f} s")
        return status

    thread = threading.Thread(target=client)
    thread.start()
    statuses = []
    if TROUBLE:
        time.sleep(0.15)
        statuses.append(bad_client("before the answer has begun"))
        time.sleep(0.6)
        assert "status" not in first, "the first client has its answer already"
        statuses.append(bad_client("while the answer is on its way"))
    thread.join()
    runs = sum(len(backend.requests) for backend in backends)
    record(f"answers to the bad client: {statuses}; runs of {REQUEST_ID}: {runs}")
    return 200 not in statuses and runs == 1


run_case(HERE, case)
