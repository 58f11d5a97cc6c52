"""Bodies in small pieces: the proxy needs more memory than its limit, and the platform kills it."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import TROUBLE, Backend, Discovery, Proxy, answer_with_id, connect, read_answer, request_head, run_case

MEMORY_MB = 64
DESCRIPTORS = 512
CLIENTS = 48
BODY_BYTES = 60_000
PIECE_BYTES = 1 if TROUBLE else 1000
TIMEOUT_MS = 1500


def answer_later(backend, sock, request):
    """A backend that works for 0.1 s."""
    time.sleep(0.1)
    return answer_with_id(backend, sock, request)


class Platform(threading.Thread):
    """Kills the proxy once it uses more memory than its limit."""

    def __init__(self, proxy, record):
        super().__init__(daemon=True)
        self.proxy, self.record = proxy, record
        self.killed = False
        self.peak = 0.0

    def run(self):
        while not self.killed:
            try:
                used = self.proxy.memory_mb()
            except OSError:
                return
            self.peak = max(self.peak, used)
            if used > MEMORY_MB:
                self.killed = True
                self.proxy.process.kill()
                self.record(f"platform: the proxy uses {used:.1f} MB, over its {MEMORY_MB} MB: killed")
            time.sleep(0.002)


def case(record, ends):
    backends = [Backend(f"s-{n}", record, answer=answer_later) for n in range(8)]
    discovery = Discovery(record, [backend.entry() for backend in backends])
    proxy = Proxy(record, discovery, discovery.whole(), sockets=DESCRIPTORS, memory_mb=MEMORY_MB)
    ends.append(proxy)
    proxy.wait_ready()
    platform = Platform(proxy, record)
    platform.start()
    piece = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    body = piece * (BODY_BYTES // PIECE_BYTES) + b"0\r\n\r\n"
    record(f"{CLIENTS} clients send a chunked body of {BODY_BYTES} bytes each, in chunks of {PIECE_BYTES} bytes")
    unanswered = []

    def client(number):
        name = f"c-{number}"
        head = request_head(name, "purchase", TIMEOUT_MS, key=f"k-{number}", extra=("Transfer-Encoding: chunked",))
        written = False
        try:
            sock = connect(proxy, 30.0)
            sock.sendall(head + body)
            written = True
            record(f"{name}: last byte written")
            status, text = read_answer(sock)
        except OSError as error:
            status, text = None, str(error).encode()
        record(f"{name}: {status} {text[:60]!r}")
        if written and status is None:
            unanswered.append(name)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    record(f"most memory used: {platform.peak:.1f} MB of {MEMORY_MB} MB; "
           f"{len(unanswered)} requests written whole and never answered")
    return not platform.killed


run_case(HERE, case)
