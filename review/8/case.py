"""A long request to a backend that hangs: its client gets no answer in its time, nor half a second later."""

import fcntl
import os
import struct
import sys
import termios
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, NotRun, Proxy, connect, read_answer, request_head, run_case

# At the first size the proxy's machine has room for the whole request here; at the second no buffers on the way hold it.
BODY_BYTES = (260_000, 400_000)
TIMEOUT_MS = 1500
# STANDING.md: half a second after its time a request only earns nothing. PROTOCOL: limits are longer by 50 ms.
LIMIT_S = TIMEOUT_MS / 1000 + 0.5 + 0.05
BACKENDS = 4
CLIENTS = 40


def hang(backend, connection):
    """A backend whose process hangs: its machine accepts connections, and nobody reads from them."""
    backend.hung_connections += 1
    backend.record(f"{backend.name}: a connection, of which nothing is read")
    time.sleep(100)


def unacknowledged(sock):
    """Bytes that the machine of the proxy has not received yet."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0)))[0]


def play(record, ends, body_bytes):
    """Sends requests with bodies of this size; returns those that were answered late or never."""
    record(f"bodies of {body_bytes} bytes")
    backends = [
        Backend(f"s-{n}", record, serve=hang if TROUBLE and n == 0 else None, recv_buffer=8192)
        for n in range(BACKENDS)
    ]
    backends[0].hung_connections = 0
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole())
    ends.append(proxy)
    proxy.wait_ready()
    late = []

    def client(number):
        name = f"up-{body_bytes // 1000}k-{number}"
        sock = connect(proxy, 20.0)
        sock.sendall(request_head(name, "purchase", TIMEOUT_MS, length=body_bytes, key=f"k-{name}"))
        sock.sendall(b"x" * body_bytes)
        sent_at = time.monotonic()
        record(f"{name}: last byte written")
        status, text = None, b""
        sock.settimeout(0.5)
        status, text = read_answer(sock)
        if status is None and text == b"no answer in time":
            record(f"{name}: no answer for 0.5 s; {unacknowledged(sock)} bytes not received by the proxy's machine")
            sock.settimeout(20.0)
            status, text = read_answer(sock)
        took = time.monotonic() - sent_at
        record(f"{name}: {status} {text[:60]!r} after {took:.3f} s of {TIMEOUT_MS / 1000} s")
        if took > LIMIT_S or status is None:
            late.append(name)

    threads = []
    for number in range(CLIENTS):
        threads.append(threading.Thread(target=client, args=(number,)))
        threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    if TROUBLE and not backends[0].hung_connections:
        raise NotRun("no request was sent to the backend that hangs")
    record(f"answered later than {LIMIT_S} s after the last byte, or never: {late}")
    return late


def case(record, ends):
    late = [name for body_bytes in BODY_BYTES for name in play(record, ends, body_bytes)]
    return not late


run_case(HERE, case)
