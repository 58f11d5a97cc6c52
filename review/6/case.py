"""Backends reset connections that rest: a long request is forwarded without its beginning, and served."""

import hashlib
import os
import random
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, NotRun, Proxy, Reader, connect, parse_head, read_answer, request_head
from standins import run_case

BODY_BYTES = 100_000
CLIENTS = 4
BACKENDS = 2
SECONDS = 60
# The rests are drawn from this seed; the threads that use them run as the system lets them.
SEED = int(os.environ.get("SEED", "7"))
# A connection rests for some milliseconds before its backend resets it, and before its client's next request.
REST_S = (0.002, 0.008)


def body_of(request_id):
    """The body that the client with this id sends: 32 bytes that depend on the id, again and again."""
    pattern = hashlib.sha256(request_id.encode()).digest()
    return (pattern * (BODY_BYTES // len(pattern) + 1))[:BODY_BYTES]


def serve(backend, connection):
    """Answers each request, and resets the connection once it has rested for a while."""
    reader = Reader(connection)
    rests = False
    while True:
        try:
            if TROUBLE and rests and not reader.buffer:
                connection.settimeout(random.uniform(*REST_S))
                if not reader.more():
                    return
                connection.settimeout(None)
        except socket.timeout:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            backend.resets += 1
            return
        head = reader.head()
        if head is None:
            return
        _, headers = parse_head(head)
        body = reader.body(headers)
        if body is None:
            return
        request_id = headers.get("request-id", "")
        backend.runs += 1
        if body != body_of(request_id):
            sent = body_of(request_id)
            where = sent.find(body) if body else -1
            backend.record(f"{backend.name}: run {request_id} with Content-Length {headers.get('content-length')}: "
                           f"{len(body)} bytes of the {len(sent)} that were sent"
                           + (", the end of it" if sent.endswith(body) else f", found at {where}"))
            backend.wrong.append(request_id)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        rests = True


def case(record, ends):
    random.seed(SEED)
    record(f"seed {SEED}")
    backends = [Backend(f"s-{n}", record, serve=serve) for n in range(BACKENDS)]
    wrong = []
    for backend in backends:
        backend.resets, backend.runs, backend.wrong = 0, 0, wrong
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole())
    ends.append(proxy)
    proxy.wait_ready()
    until = time.monotonic() + (SECONDS if TROUBLE else 10)
    answers, statuses, lock = {}, {}, threading.Lock()

    def client(number):
        sock = connect(proxy)
        reader, sent = Reader(sock), 0
        while time.monotonic() < until and len(wrong) < 3:
            sent += 1
            request_id = f"c{number}-{sent}"
            head = request_head(request_id, "purchase", 1500, length=BODY_BYTES, key=f"k-{request_id}")
            status = None
            try:
                sock.sendall(head + body_of(request_id))
                status, _ = read_answer(sock, reader)
            except OSError:
                pass
            with lock:
                answers[request_id] = status
                statuses[status] = statuses.get(status, 0) + 1
            if status != 200:
                sock.close()
                sock = connect(proxy)
                reader = Reader(sock)
            time.sleep(random.uniform(*REST_S))

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    resets, runs = sum(backend.resets for backend in backends), sum(backend.runs for backend in backends)
    record(f"{len(answers)} requests, answers by status: {statuses}; {runs} runs; {resets} resting connections reset")
    for request_id in wrong:
        record(f"client of {request_id}: sent {BODY_BYTES} bytes, got {answers.get(request_id)}")
    if not runs or (TROUBLE and not resets):
        raise NotRun("nothing was run, or no connection was reset")
    record(f"requests run with another body than their client sent: {len(wrong)}")
    return not wrong


run_case(HERE, case)
