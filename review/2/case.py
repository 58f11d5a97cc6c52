"""A planned restart (SIGTERM, no SIGKILL while the case runs) while backends give long answers. Judged: each answer
that the proxy has begun to pass on reaches its client whole."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from harness import (BROKEN, HELD, TROUBLE, Backend, CannotRun, Discovery, config, connect, endpoint, free_port,  # noqa: E402
                     header, in_background, read_head, request, run_case, settings, wait_until_up)

import signal  # noqa: E402

CLIENTS = 3
ANSWER_BYTES = 4 * 1024 * 1024      # "up to 32 MB"
ANSWER_SECONDS = 5.0                # "peers need seconds to read or write, in pieces of any size"
PIECES = 100
SIGTERM_AFTER = 1.0
WATCH_SECONDS = 20.0


def body_of(request_id):
    line = f"{request_id} ".encode()
    return (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]


def play(record, processes):
    given = {}

    def serve(connection, head, _body):
        request_id = header(head, "Request-Id")
        body = body_of(request_id)
        record(f"backend: begins to answer {request_id}")
        given[request_id] = 0
        try:
            connection.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
            size = len(body) // PIECES + 1
            for start in range(0, len(body), size):
                connection.sendall(body[start:start + size])
                given[request_id] += len(body[start:start + size])
                time.sleep(ANSWER_SECONDS / PIECES)
            record(f"backend: has given the whole answer to {request_id}")
        except OSError as error:
            record(f"backend: the proxy broke the connection after {given[request_id]} bytes for {request_id}: {error}")
            raise

    backends = [Backend(serve) for _ in range(3)]
    endpoints = [endpoint(f"s-{number}", backend.port) for number, backend in enumerate(backends)]
    discovery = Discovery(endpoints)
    port = free_port()
    proxy = processes.start_proxy("n1", config(discovery, endpoints, settings(), port))
    wait_until_up(port)
    results = {}

    def client(number):
        request_id = f"r{number}"
        connection = connect(port, WATCH_SECONDS)
        stream = connection.makefile("rb")
        connection.sendall(request(number))
        record(f"client {number}: sent browse {request_id}")
        status, body = "none", b""
        try:
            head = read_head(stream)
            if head is not None:
                status = head.split(" ")[1]
                length = int(header(head, "Content-Length") or 0)
                record(f"client {number}: {request_id} is answered {status}, {length} bytes to come")
                while len(body) < length:
                    piece = stream.read1(65536)
                    if not piece:
                        break
                    body += piece
        except OSError as error:
            record(f"client {number}: {error}")
        whole = body == body_of(request_id)
        record(f"client {number}: {request_id} has {len(body)} bytes, {'whole' if whole else 'NOT whole'}")
        results[request_id] = (status, whole)

    clients = [in_background(client, number) for number in range(CLIENTS)]
    time.sleep(SIGTERM_AFTER)
    if TROUBLE:
        record("platform: SIGTERM to the proxy; SIGKILL does not follow while the case runs")
        told = time.monotonic()
        proxy.send_signal(signal.SIGTERM)

        def watch_end():
            code = proxy.wait()
            record(f"platform: the proxy ended by itself {time.monotonic() - told:.2f} s after SIGTERM, code {code}")

        in_background(watch_end)
    for thread in clients:
        thread.join(WATCH_SECONDS)
    time.sleep(0.3)
    begun = [request_id for request_id, (status, _) in results.items() if status == "200"]
    if len(begun) < CLIENTS:
        raise CannotRun(f"only {len(begun)} answers had begun")
    cut = [request_id for request_id in begun if not results[request_id][1]]
    record(f"answers begun: {len(begun)}; cut off: {len(cut)}")
    return BROKEN if cut else HELD


run_case(FOLDER, play)
