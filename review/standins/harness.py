"""Stand-ins for the cases under review/: the platform (start, configuration, signals), discovery, backends
and clients. Loopback sockets and the standard library only. They follow the platform's protocol page."""

import atexit
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; this says nothing about the proxy."""


class Record:
    """record.txt of the case: what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - STARTED:9.4f} {text}\n")
            self.file.flush()


def deploy_line(key):
    """The text of a key of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key}\s*=\s*"([^"]*)"', file.read(), re.M)
    if not found:
        raise CannotRun(f"the deploy file has no {key}")
    return found.group(1)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def listen(backlog=1024):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(backlog)
    return listener


def in_background(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


class Processes:
    """The processes that the case started, and its temporary folder; all are ended with the case."""

    def __init__(self, record):
        self.record = record
        self.started = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        atexit.register(self.end_all)
        for name in (signal.SIGTERM, signal.SIGINT):
            signal.signal(name, lambda *_: sys.exit(NOT_RUN))

    def start_proxy(self, name, config, arguments="", tmpdir=None):
        """Starts a proxy by the `run` line of the deploy file, as the platform does."""
        folder = os.path.join(self.folder, name)
        tmpdir = tmpdir or os.path.join(folder, "tmp")
        os.makedirs(folder, exist_ok=True)
        os.makedirs(tmpdir, exist_ok=True)
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": tmpdir, "NODE_NAME": name, "NODE_CONFIG": path,
               "NODE_LISTEN": config["listen"], "NODE_DISCOVERY": config["discovery"]}
        if "admin_addr" in config:
            env["NODE_ADMIN_ADDR"] = config["admin_addr"]
        log = open(os.path.join(folder, "log.txt"), "ab")
        process = subprocess.Popen(["/bin/sh", "-c", f"{deploy_line('run')} {arguments}".strip()], cwd=ROOT, env=env,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.started.append(process)
        self.record(f"platform: started proxy {name} as process {process.pid}")
        return process

    def log_of(self, name):
        with open(os.path.join(self.folder, name, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.started = []
        shutil.rmtree(self.folder, ignore_errors=True)


def endpoint(name, port, status="ready"):
    return {"name": name, "address": f"{HOST}:{port}", "zone": "north", "type": "m2", "group": 0, "status": status,
            "weight": 1.0, "since_ms": 0}


class Discovery:
    """The discovery service: the whole list, and a watch that holds an empty line every 2 s."""

    def __init__(self, endpoints):
        self.endpoints = endpoints
        self.listener = listen()
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        in_background(self.accept)

    def list_text(self):
        return json.dumps({"index": 1, "snapshot": True, "endpoints": self.endpoints}).encode() + b"\n"

    def accept(self):
        while True:
            in_background(self.serve, self.listener.accept()[0])

    def serve(self, connection):
        try:
            head = read_head(connection.makefile("rb"))
            if head is None:
                return
            if "stream=1" not in head.split("\r\n")[0]:
                body = self.list_text()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = self.list_text()
            while True:
                connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
                text = b"\n"
                time.sleep(2.0)
        except OSError:
            pass
        finally:
            connection.close()


def read_head(stream):
    """A message's head, or None at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = stream.readline()
        if not line:
            return None
        head += line
    return head.decode("latin-1")


def header(head, name):
    found = re.search(rf"^{name}:[ \t]*(.*?)[ \t]*\r$", head, re.M | re.I)
    return found.group(1) if found else None


def read_chunks(stream):
    body = b""
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            raise EOFError("the chunked body is not whole")
        size = int(line.split(b";")[0], 16)
        piece = stream.read(size) if size else b""
        if len(piece) < size or not stream.readline().endswith(b"\n"):
            raise EOFError("the chunked body is not whole")
        if not size:
            return body
        body += piece


def read_message(stream):
    """Head and body of a message; None at the end of the connection, EOFError if it is not whole."""
    head = read_head(stream)
    if head is None:
        return None
    if (header(head, "Transfer-Encoding") or "").lower() == "chunked":
        return head, read_chunks(stream)
    length = int(header(head, "Content-Length") or 0)
    body = stream.read(length)
    if len(body) < length:
        raise EOFError(f"{len(body)} of {length} bytes of the body")
    return head, body


def answer(body, status="200 OK", more=""):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class Backend:
    """A backend. `serve(connection, head, body)` answers one request; the connection ends if it returns False."""

    def __init__(self, serve):
        self.answer_request = serve
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        in_background(self.accept)

    def accept(self):
        while True:
            connection = self.listener.accept()[0]
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_background(self.serve, connection)

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                message = read_message(stream)
                if message is None or self.answer_request(connection, *message) is False:
                    return
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()


def settings(**changes):
    """The settings of a small deployment, in the form of the first message of the wire page."""
    value = {
        "Allowed": {"Cancelling": True, "ConnectTimeout": 75.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 750000,
                    "IdleClose": 60000.0, "MaxAttempts": 6, "MaxRetryAfter": 750.0, "OpenCap": 30000,
                    "ParallelTries": True, "Peers": False, "Probing": True, "RetryAfter": True, "StreamsPerConn": 1},
        "Az": 0,
        "Classes": [
            {"Aim": 500.0, "Effect": "repeatable", "HardLimit": 1200.0, "KeyScope": "all", "LateWorth": 0.0,
             "Name": "browse", "Points": 2.0, "Streaming": False, "Window": 5000.0},
            {"Aim": 600.0, "Effect": "by_key", "HardLimit": 1500.0, "KeyScope": "all", "LateWorth": 0.0,
             "Name": "purchase", "Points": 5.0, "Streaming": False, "Window": 2500.0}],
        "Clients": {"MarksRetry": True}, "FamilyInfo": {"PassesDeadline": True}, "FleetSize": 2,
        "KindOfService": "chain", "MachineTypes": ["m2"], "MembershipMode": "subscribe",
        "ObjectiveMix": {"Whole": 0.55, "WorstClass": 0.1, "WorstTenant": 0.3, "WorstWindow": 0.05},
        "OverShareWorth": 0.2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.015, "Handshake": 0.0, "LateFail": 0.03, "MembershipMode": 0.0,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.027},
        "Rank": 0, "Report": {"Fields": [], "Via": "off"},
        "Rules": {"AskWithin": 10000.0, "Cold": 8400.0, "ColdFrom": 0.33, "DrainGrace": 2000.0, "Fall": 2000.0,
                  "FallMultiple": 3.0, "GraceToAnswer": 8.0},
        "Stage": 0, "Stages": ["storefront", "ledger"],
        "Tenants": [{"AllowancePerS": 93.0, "Fraction": 0.5, "Name": "reef"},
                    {"AllowancePerS": 93.0, "Fraction": 0.5, "Name": "dune"}],
        "Tick": 2.0, "Weights": "off", "WorthBy": "work", "Zones": ["north", "south"]}
    value.update(changes)
    return value


def config(discovery, endpoints, values, port, sockets=256, memory_mb=128, **more):
    value = {"name": "n1", "listen": f"{HOST}:{port}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
             "known": {"index": 0, "snapshot": True, "endpoints": endpoints}, "settings": values}
    value.update(more)
    return value


def connect(port, timeout=5.0):
    connection = socket.create_connection((HOST, port), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def wait_until_up(port, seconds=20.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            with connect(port, 1.0) as connection:
                connection.sendall(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                if connection.makefile("rb").readline().split(b" ")[1:2] == [b"200"]:
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun("the proxy was not ready in time")


def request(number, name="browse", timeout_ms=None, tenant="reef", body=b"", prefix="r"):
    """The bytes of a request of a class, as the protocol page shows it."""
    method = "GET" if name == "browse" else "POST"
    timeout_ms = timeout_ms or (1200 if name == "browse" else 1500)
    lines = [f"{method} /api HTTP/1.1", "Host: backend.local", f"Request-Id: {prefix}{number}", f"Request-Class: {name}",
             f"Tenant: {tenant}", f"Request-Timeout-Ms: {timeout_ms}"]
    if method == "POST":
        lines += [f"Idempotency-Key: key-{prefix}{number}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if method == "POST" else b"")


def run_case(folder, play):
    """Plays a case and ends with its exit code. `play(record, processes)` returns HELD or BROKEN."""
    record = Record(folder)
    processes = Processes(record)
    try:
        code = play(record, processes)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        code = NOT_RUN
    except Exception as error:  # noqa: BLE001 - any fault of the case itself says nothing about the proxy
        record(f"the case could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    processes.end_all()
    record(f"result: {['the rule held', 'the rule was broken', 'not run'][code]}")
    print(["the rule held", "the rule was broken", "the case could not run"][code])
    sys.stdout.flush()
    os._exit(code)
