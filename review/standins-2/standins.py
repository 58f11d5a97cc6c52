"""Stand-ins for the platform: settings, discovery, backends, clients, and the record of a case.

Everything listens on loopback addresses and free ports. Only the standard library is used.
"""

import json
import os
import random
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case could not be run, so that it says nothing about the rule."""


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


def settings(**changes):
    """Settings of a small deployment, as nested JSON with the names of the platform's wire page."""
    value = {
        "Allowed": {
            "Cancelling": True, "ConnectTimeout": 75.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 750000,
            "IdleClose": 60000.0, "MaxAttempts": 6, "MaxRetryAfter": 750.0, "OpenCap": 30000,
            "ParallelTries": True, "Peers": False, "Probing": True, "RetryAfter": True, "StreamsPerConn": 1,
        },
        "Az": 0,
        "Classes": [
            {"Aim": 500.0, "Effect": "repeatable", "HardLimit": 1200.0, "KeyScope": "all", "LateWorth": 0.0,
             "Name": "browse", "Points": 2.0, "Streaming": False, "Window": 5000.0},
            {"Aim": 600.0, "Effect": "by_key", "HardLimit": 1500.0, "KeyScope": "all", "LateWorth": 0.0,
             "Name": "purchase", "Points": 5.0, "Streaming": False, "Window": 2500.0},
        ],
        "Clients": {"MarksRetry": True},
        "FamilyInfo": {"PassesDeadline": True},
        "FleetSize": 2,
        "KindOfService": "chain",
        "MachineTypes": ["front-2c"],
        "MembershipMode": "subscribe",
        "ObjectiveMix": {"Whole": 0.55, "WorstClass": 0.1, "WorstTenant": 0.3, "WorstWindow": 0.05},
        "OverShareWorth": 0.2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.015, "Handshake": 0.0, "LateFail": 0.03,
                   "MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01,
                   "Waste": 0.027},
        "Rank": 0,
        "Report": {"Fields": [], "Via": "off"},
        "Rules": {"AskWithin": 10000.0, "Cold": 8400.0, "ColdFrom": 0.33, "DrainGrace": 2000.0, "Fall": 2000.0,
                  "FallMultiple": 3.0, "GraceToAnswer": 8.0},
        "Stage": 0,
        "Stages": ["storefront", "ledger"],
        "Tenants": [{"AllowancePerS": 1000.0, "Fraction": 1.0, "Name": "harbor-raiders"}],
        "Tick": 2.0,
        "Weights": "off",
        "WorthBy": "request",
        "Zones": ["toledo-hall", "sandusky-hall"],
    }
    value.update(changes)
    return value


PORTS = random.Random()


def free_port(host="127.0.0.1"):
    """A free port below those that the system gives to outgoing connections."""
    for _ in range(200):
        port = PORTS.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                pass
    raise NotRun("no free port")


def text_address(address):
    return f"{address[0]}:{address[1]}"


def listener(backlog=512):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(("127.0.0.1", 0))
    server.listen(backlog)
    return server


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        """The head of the next message without its last empty line; None at the end of the stream."""
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end >= 0:
                head, self.buffer = self.buffer[:end], self.buffer[end + 4:]
                return head.decode("latin-1")
            if not self.more():
                return None

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.more():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.more():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def body(self, headers):
        """The whole body by the headers of its message; None if the stream ends before."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            pieces = []
            while True:
                line = self.line()
                if line is None:
                    return None
                size = int(line.split(b";")[0], 16)
                if size == 0:
                    while True:
                        trailer = self.line()
                        if trailer is None:
                            return None
                        if not trailer:
                            return b"".join(pieces)
                data = self.exactly(size + 2)
                if data is None:
                    return None
                pieces.append(data[:-2])
        return self.exactly(int(headers.get("content-length", "0")))


def parse_head(head):
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Backend:
    """A backend on a free port. `answer(backend, sock, request)` answers each whole request; it returns
    False to end the connection. By default it answers 200 with the id of the request."""

    def __init__(self, name, record, answer=None, serve=None, recv_buffer=None, address=None, backlog=512):
        self.name = name
        self.record = record
        self.answer = answer or answer_with_id
        self.serve = serve or Backend.serve_http
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if recv_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, recv_buffer)
        self.socket.bind(address or ("127.0.0.1", 0))
        self.socket.listen(backlog)
        self.address = self.socket.getsockname()
        self.lock = threading.Lock()
        self.requests = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guarded, args=(connection,), daemon=True).start()

    def guarded(self, connection):
        try:
            self.serve(self, connection)
        except OSError as error:
            self.record(f"{self.name}: connection ended: {error}")
        finally:
            connection.close()

    def serve_http(self, connection):
        reader = Reader(connection)
        while True:
            head = reader.head()
            if head is None:
                return
            first, headers = parse_head(head)
            if first.startswith("GET /alive"):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            body = reader.body(headers)
            if body is None:
                return
            request = {"first": first, "headers": headers, "body": body, "id": headers.get("request-id", ""),
                       "at": self.record.now(), "backend": self.name}
            with self.lock:
                self.requests.append(request)
            self.record(f"{self.name}: run {request['id']} {first} "
                        f"timeout {headers.get('request-timeout-ms')} body {len(body)}")
            if self.answer(self, connection, request) is False:
                return

    def entry(self, status="ready", zone="toledo-hall", group=0, since=0):
        return {"name": self.name, "address": text_address(self.address), "zone": zone, "type": "front-2c",
                "group": group, "status": status, "weight": 1.0, "since_ms": since}


class UnreachableBackend:
    """A backend whose machine takes no connection: its queue is full, so that connects don't come up."""

    def __init__(self, name):
        self.name = name
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.address = self.socket.getsockname()
        self.queued = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.queued.append(sock)

    entry = Backend.entry


def answer_with_id(_backend, sock, request):
    body = f"answer to {request['id']}".encode()
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    return True


class Discovery:
    """The discovery service: the whole list, and watches that tell each change at once. `delay(call)` may
    wait, as behind the calls of other proxies, before a call is answered."""

    def __init__(self, record, entries, index=41, delay=None):
        self.record = record
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = index
        self.changes = []
        self.condition = threading.Condition()
        self.delay = delay
        self.socket = listener()
        self.address = self.socket.getsockname()
        self.closed = False
        self.connections = []
        self.told = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.guarded, args=(connection,), daemon=True).start()

    def guarded(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, *entries):
        """Makes a change: entries by name; those that are gone leave the list."""
        with self.condition:
            self.index += 1
            for entry in entries:
                if entry["status"] == "gone":
                    self.entries.pop(entry["name"], None)
                else:
                    self.entries[entry["name"]] = entry
            self.changes.append((self.index, list(entries)))
            self.condition.notify_all()
        names = ", ".join(f"{entry['name']} {entry['status']}" for entry in entries)
        self.record(f"discovery: change {self.index}: {names}")

    def close_listener(self):
        # Wakes the thread that accepts, which would keep the socket open.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def close(self):
        self.closed = True
        if self.socket.fileno() >= 0:
            self.close_listener()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, connection):
        reader = Reader(connection)
        while True:
            head = reader.head()
            if head is None:
                return
            first, _ = parse_head(head)
            path = first.split(" ")[1]
            self.record(f"discovery {self.address[1]}: call {path}")
            if self.delay:
                self.delay(path)
            if "stream=1" in path:
                return self.watch(connection, int(path.rsplit("index=", 1)[1]))
            with self.condition:
                body = json.dumps(self.whole()).encode()
                told = self.index
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            self.told.append((self.record.now(), told))
            self.record(f"discovery {self.address[1]}: told the whole list {told}")

    def watch(self, connection, index):
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = index
        first = True
        while not self.closed:
            with self.condition:
                if first and (index > self.index or index < self.index - len(self.changes)):
                    line = self.whole()
                elif sent < self.index:
                    entries = {}
                    for number, changed in self.changes:
                        if number > sent:
                            entries.update({entry["name"]: entry for entry in changed})
                    line = {"index": self.index, "snapshot": False, "endpoints": list(entries.values())}
                elif first or not self.condition.wait(2.0):
                    line = None
                else:
                    continue
            text = (json.dumps(line) if line else "").encode() + b"\n"
            if first and line is None:
                text = json.dumps({"index": self.index, "snapshot": False, "endpoints": []}).encode() + b"\n"
            first = False
            connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            if line:
                sent = line["index"]
                self.told.append((self.record.now(), sent))
                self.record(f"discovery {self.address[1]}: told {sent} on a watch")


class Proxy:
    """A proxy, started with the `run` of the deploy file as the platform does."""

    def __init__(self, record, discovery, known, conf=None, sockets=512, memory_mb=128, name="n1", folder=None,
                 listen=None):
        self.record = record
        self.folder = folder or tempfile.mkdtemp(prefix="review-")
        self.owns_folder = folder is None
        self.listen = listen or ("127.0.0.1", free_port())
        self.admin = ("127.0.0.1", free_port())
        self.config_path = os.path.join(self.folder, f"config-{self.admin[1]}.json")
        self.config = {
            "name": name, "listen": text_address(self.listen), "discovery": text_address(discovery.address),
            "admin_addr": text_address(self.admin), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": known["index"], "snapshot": True, "endpoints": known["endpoints"]},
            "settings": conf or settings(),
        }
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"', file.read(), re.MULTILINE).group(1)
        temporary = os.path.join(self.folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "HILLSTALL_"))}
        environment.update({
            "NODE_NAME": name, "NODE_LISTEN": self.config["listen"], "NODE_DISCOVERY": self.config["discovery"],
            "NODE_ADMIN_ADDR": self.config["admin_addr"], "NODE_CONFIG": self.config_path, "TMPDIR": temporary,
        })
        self.log = open(os.path.join(self.folder, f"log-{self.admin[1]}.txt"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        record(f"proxy {name}: started, process {self.process.pid}, listens at {self.config['listen']}")

    def write_config(self):
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(temporary, self.config_path)

    def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise NotRun(f"the proxy ended with {self.process.returncode}: {self.log_text()}")
            try:
                with socket.create_connection(self.listen, 1.0) as sock:
                    sock.settimeout(1.0)
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record("proxy: /up answers 200")
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise NotRun("the proxy was not ready in time")

    def signal(self, number):
        self.record(f"platform: {signal.Signals(number).name} to the proxy")
        self.process.send_signal(number)

    def admin_call(self, line):
        with socket.create_connection(self.admin, 2.0) as sock:
            sock.settimeout(2.0)
            sock.sendall(line.encode() + b"\n")
            answer = b""
            while True:
                data = sock.recv(4096)
                if not data:
                    return answer.decode()
                answer += data

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self):
        with open(self.log.name, "rb") as file:
            return file.read().decode("utf-8", "replace")[-2000:]

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)


def request_head(request_id, cls="browse", timeout=1000, path="/api", method=None, length=None, key=None,
                 extra=()):
    method = method or ("GET" if cls == "browse" else "POST")
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Request-Id: {request_id}",
             f"Request-Class: {cls}", "Tenant: harbor-raiders", f"Request-Timeout-Ms: {timeout}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines.extend(extra)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def connect(proxy, timeout=10.0):
    sock = socket.create_connection(proxy.listen, 2.0)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(timeout)
    return sock


def read_answer(sock, reader=None):
    """Status and body of the next answer; (None, why) if there is no whole one."""
    reader = reader or Reader(sock)
    try:
        head = reader.head()
        if head is None:
            return None, b"closed"
        first, headers = parse_head(head)
        status = int(first.split(" ")[1])
        body = reader.body(headers)
        if body is None:
            return None, b"cut short after status %d" % status
        return status, body
    except socket.timeout:
        return None, b"no answer in time"
    except OSError as error:
        return None, f"reset: {error}".encode()


def run_case(folder, case):
    """Runs `case(record, ends)`; it appends what has to be ended to `ends` and returns whether the rule
    held. Exits with the code of the result."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    ends = []
    try:
        held = case(record, ends)
        code = HELD if held else BROKEN
    except NotRun as error:
        record(f"not run: {error}")
        code = NOT_RUN
    except Exception as error:  # The case itself failed, which is no statement about the rule.
        record(f"not run: {type(error).__name__}: {error}")
        import traceback
        record(traceback.format_exc())
        code = NOT_RUN
    finally:
        for thing in ends:
            thing.end()
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}[code])
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read().splitlines()[-1])
    sys.stdout.flush()
    os._exit(code)
