"""Clients go while the proxy holds bytes of theirs that it has not read: their requests are sent on afterwards."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, NotRun, Proxy, Reader, UnreachableBackend, answer_with_id, connect
from standins import read_answer, request_head, run_case, settings

# STANDING.md: an attempt that begins more than 0.1 s after the close. PROTOCOL: limits are longer by 50 ms.
LIMIT_S = 0.1 + 0.05
CONNECT_TIMEOUT_MS = 250.0
LONG_REQUESTS = 24
LONG_BYTES = 150_000


class Begins:
    """A backend that notes when the first byte of each request has arrived."""

    def __init__(self, work_s):
        self.work_s = work_s
        self.at = {}

    def serve(self, backend, connection):
        reader = Reader(connection)
        while True:
            if not reader.buffer and not reader.more():
                return
            began = backend.record.now()
            head = reader.head()
            if head is None:
                return
            headers = dict(line.split(": ", 1) for line in head.lower().split("\r\n")[1:])
            request = {"id": headers.get("request-id", "")}
            self.at[request["id"]] = began
            if reader.body(headers) is None:
                return
            backend.record(f"{backend.name}: run {request['id']}, whose first byte came at {began:.3f}")
            time.sleep(self.work_s)
            answer_with_id(backend, connection, request)


def proxy_before(record, ends, backends):
    conf = settings()
    conf["Allowed"]["ConnectTimeout"] = CONNECT_TIMEOUT_MS
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole(), conf=conf)
    ends.append(proxy)
    proxy.wait_ready()
    return proxy


def several_at_once(record, ends):
    """A client sends five purchases at once and goes while the first is at a backend."""
    begins = Begins(0.4)
    proxy = proxy_before(record, ends, [Backend(f"s-{n}", record, serve=begins.serve) for n in range(3)])
    sock = connect(proxy)
    record("client: sends 5 purchases at once")
    sock.sendall(b"".join(
        request_head(f"p-{n}", "purchase", 1500, length=3, key=f"k-p-{n}") + b"abc" for n in range(5)))
    if TROUBLE:
        time.sleep(0.1)
    else:
        reader = Reader(sock)
        record(f"client: stays, and gets {[read_answer(sock, reader)[0] for _ in range(5)]}")
    sock.close()
    gone = record.now()
    record("client: closes its connection")
    time.sleep(2.5)
    if not begins.at:
        raise NotRun("no request reached a backend")
    return [(name, at - gone) for name, at in begins.at.items() if at - gone > LIMIT_S]


def long_requests(record, ends):
    """Clients send one long purchase each and go; connections to a third of the backends don't come up."""
    begins = Begins(0.02)
    reachable = [Backend(f"t-{n}", record, serve=begins.serve) for n in range(4 if TROUBLE else 6)]
    unreachable = [UnreachableBackend(f"u-{n}") for n in range(2)] if TROUBLE else []
    proxy = proxy_before(record, ends, reachable + unreachable)
    gone = {}
    for number in range(LONG_REQUESTS):
        name = f"long-{number}"
        sock = connect(proxy)
        sock.sendall(request_head(name, "purchase", 1500, length=LONG_BYTES, key=f"k-{name}") + b"x" * LONG_BYTES)
        if TROUBLE:
            time.sleep(0.03)
        else:
            record(f"client of {name}: stays, and gets {read_answer(sock)[0]}")
        sock.close()
        gone[name] = record.now()
        record(f"client of {name}: closes its connection")
        time.sleep(0.4 if TROUBLE else 0.05)
    time.sleep(1.5)
    if not begins.at:
        raise NotRun("no long request reached a backend")
    return [(name, at - gone[name]) for name, at in begins.at.items() if at - gone[name] > LIMIT_S]


def case(record, ends):
    held = True
    for scene in (several_at_once, long_requests):
        record(scene.__doc__)
        late = scene(record, ends)
        text = ", ".join(f"{name} {after:.3f} s" for name, after in sorted(late))
        record(f"attempts that began later than {LIMIT_S:.2f} s after their client had gone: {text or 'none'}")
        held = held and not late
    return held


run_case(HERE, case)
