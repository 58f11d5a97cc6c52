"""A client sends several requests at once and goes: the next one is sent to a backend after it has gone."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, NotRun, Proxy, answer_with_id, connect, read_answer, request_head, run_case
from standins import Reader

REQUESTS = 5
# STANDING.md: an attempt that begins more than 0.1 s after the close. PROTOCOL: limits are longer by 50 ms.
LIMIT_S = 0.1 + 0.05


def answer_later(backend, sock, request):
    """A backend that works for 0.4 s."""
    time.sleep(0.4)
    return answer_with_id(backend, sock, request)


def case(record, ends):
    backends = [Backend(f"s-{n}", record, answer=answer_later) for n in range(3)]
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole())
    ends.append(proxy)
    proxy.wait_ready()
    sock = connect(proxy)
    record(f"client: sends {REQUESTS} purchases at once")
    sock.sendall(b"".join(
        request_head(f"p-{n}", "purchase", 1500, length=3, key=f"k-{n}") + b"abc" for n in range(REQUESTS)))
    if TROUBLE:
        time.sleep(0.1)
        sock.close()
        gone_at = record.now()
        record("client: closes its connection")
        time.sleep(3.0)
    else:
        reader = Reader(sock)
        for n in range(REQUESTS):
            status, body = read_answer(sock, reader)
            record(f"client: p-{n} {status} {body!r}")
        sock.close()
        gone_at = record.now()
        record("client: closes its connection")
        time.sleep(1.0)
    runs = [request for backend in backends for request in backend.requests]
    if not runs:
        raise NotRun("no request reached a backend")
    late = [request["id"] for request in runs if request["at"] > gone_at + LIMIT_S]
    record(f"requests whose attempt began later than {LIMIT_S} s after the close: {late}")
    return not late


run_case(HERE, case)
