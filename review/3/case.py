"""Clients send one whole request and the beginning of the next at once, and stay. Judged: each of the first 80 gets an
error or a close for the unfinished one within 3 s. Recorded besides: what becomes of the usual clients once there are 120."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from harness import (BROKEN, HELD, HOST, TROUBLE, Backend, CannotRun, Discovery, answer, config, connect, endpoint,  # noqa: E402
                     free_port, header, read_message, request, run_case, settings, wait_until_up)

SOCKETS = 256                       # "256 to 1,024 descriptors"
JUDGED_CLIENTS = 80                 # "clients hold a third of the descriptors at most for requests"
MORE_CLIENTS = 40                   # "by hundreds", "thousands make connections and never finish a request"
LIMIT_SECONDS = 3.0 + 0.05          # "within 3 s"; on sockets "every time limit is longer by 50 ms"
BEGINNING_BYTES = 40
USUAL_REQUESTS = 20


def usual_requests(port, record, when):
    """What the usual clients get, each on a new connection."""
    served = 0
    for number in range(USUAL_REQUESTS):
        try:
            with connect(port, 2.0) as connection:
                connection.sendall(request(number, prefix=f"usual-{when.replace(' ', '-')}-"))
                message = read_message(connection.makefile("rb"))
            served += message is not None and message[0].split(" ")[1] == "200"
            got = "no answer, closed" if message is None else message[0].split("\r\n")[0]
        except (OSError, EOFError) as error:
            got = f"{type(error).__name__}: {error}"
        record(f"usual client {number}, {when}: {got}")
    record(f"usual clients, {when}: {served} of {USUAL_REQUESTS} served")
    return served


def ping(address, record, when):
    """What the admin address says of the process."""
    host, port = address.split(":")
    with connect(int(port), 2.0) as connection:
        connection.sendall(b"PING\n")
        record(f"admin address, {when}: PING is answered {connection.makefile('rb').readline()!r}")


def owed(connection):
    """What a bad client has got after its first answer: None as long as there is neither an error nor a close."""
    connection.setblocking(False)
    try:
        data = connection.recv(65536)
    except BlockingIOError:
        return None
    except OSError:
        return "close"
    return f"answer {data[:12]!r}" if data else "close"


def bad_clients(port, record, numbers):
    """Connects bad clients. Returns those that had the answer to their first request, with the time of their last byte."""
    waiting = []
    for number in numbers:
        beginning = request(number, prefix="half-")[:BEGINNING_BYTES] if TROUBLE else b""
        try:
            connection = connect(port, 2.0)
            connection.sendall(request(number, prefix="whole-") + beginning)
            stopped = time.monotonic()
            message = read_message(connection.makefile("rb"))
        except (OSError, EOFError) as error:
            record(f"bad client {number}: {type(error).__name__}: {error}")
            continue
        got = "closed" if message is None else message[0].split("\r\n")[0]
        record(f"bad client {number}: a whole request and {len(beginning)} bytes of the next; the first got: {got}")
        if message is not None and message[0].split(" ")[1] == "200":
            waiting.append((number, connection, stopped))
    return waiting


def without_end(record, waiting):
    """Those of the bad clients that have got neither an error nor a close."""
    left = []
    for number, connection, stopped in waiting:
        got = owed(connection)
        record(f"bad client {number}, {time.monotonic() - stopped:.2f} s after its last byte: {got or 'NOTHING'}")
        if got is None:
            left.append((number, connection, stopped))
    return left


def play(record, processes):
    backends = [Backend(lambda connection, head, _body: connection.sendall(answer(header(head, "Request-Id").encode())))
                for _ in range(3)]
    endpoints = [endpoint(f"s-{number}", backend.port) for number, backend in enumerate(backends)]
    discovery = Discovery(endpoints)
    port = free_port()
    admin = f"{HOST}:{free_port()}"
    proxy = processes.start_proxy("n1", config(discovery, endpoints, settings(), port, sockets=SOCKETS, admin_addr=admin))
    wait_until_up(port)
    if usual_requests(port, record, "before") == 0:
        raise CannotRun("nothing is served without trouble")
    waiting = bad_clients(port, record, range(JUDGED_CLIENTS))
    if len(waiting) < JUDGED_CLIENTS // 2:
        raise CannotRun("too few clients had their first answer")
    time.sleep(max(0.0, waiting[-1][2] + LIMIT_SECONDS - time.monotonic()))
    # Without trouble these clients rest between two requests, and nothing is owed to them.
    late = without_end(record, waiting) if TROUBLE else []
    usual_requests(port, record, f"with {len(waiting)} such clients")
    if late:
        more = bad_clients(port, record, range(JUDGED_CLIENTS, JUDGED_CLIENTS + MORE_CLIENTS))
        for seconds in (4.0, 11.0):
            time.sleep(seconds)
            left = len(without_end(record, late + more))
            record(f"bad clients with neither error nor close {seconds:.0f} s later: {left}")
            usual_requests(port, record, f"with {left} such clients")
            ping(admin, record, f"with {left} such clients")
    if proxy.poll() is not None:
        raise CannotRun("the proxy has ended")
    record(f"bad clients judged: {len(waiting)}; with neither error nor close within 3 s: {len(late)}")
    return BROKEN if late else HELD


run_case(FOLDER, play)
