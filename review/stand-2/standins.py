"""Stand-ins of the users' platform for the cases of the second review.

One Python process plays the store, the servers, the operator and the clients.
The daemons are separate processes, started with the command of the deploy file.
Everything listens on loopback addresses only.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
STORE_LATENCY_S = 0.004
# Clients abandon a stream after a gap of two seconds, or four times the objective (500 ms).
GAP_S = 2.0
BEGAN = time.monotonic()


class Unrunnable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - BEGAN:8.3f} s  {text}\n")
            self.file.flush()


class Gate:
    """A port of the store. While it is down, callers of this port get 503 ("busy")."""

    def __init__(self, store, address):
        self.store = store
        self.down = False
        gate = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *_args):
                pass

            def do_GET(self):
                self.answer(b"")

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.answer(self.rfile.read(length))

            def answer(self, body):
                try:
                    time.sleep(STORE_LATENCY_S)
                    status, kind, reply = gate.store.call(gate, self.path, body)
                    self.send_response(status)
                    self.send_header("Content-Type", kind)
                    self.send_header("Content-Length", str(len(reply)))
                    self.send_header("Store-Era", str(gate.store.era))
                    self.end_headers()
                    self.wfile.write(reply)
                    self.wfile.flush()
                except OSError:
                    self.close_connection = True

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_args):
                pass

        server = Server((address, 0), Handler)
        self.address = f"{address}:{server.server_address[1]}"
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def set_down(self, down):
        """Refuses all calls that come by this port, or serves again."""
        with self.store.condition:
            self.down = down
            self.store.condition.notify_all()


class Store:
    """The platform's store in its log form, with partition 0 of each topic."""

    def __init__(self, address, keep_s=300):
        self.keep_s = keep_s
        self.topics = {}
        self.condition = threading.Condition()
        self.down = False
        self.era = 0
        self.host = address
        self.address = Gate(self, address).address

    def gate(self):
        """A further port, whose callers can be turned away."""
        return Gate(self, self.host)

    def topic(self, name):
        return self.topics.setdefault(name, {"first": 0, "records": [], "newest": {}})

    def expire(self, topic):
        limit = time.monotonic() - self.keep_s
        records = topic["records"]
        old = 0
        while old < len(records) and records[old][0] < limit:
            old += 1
        del records[:old]
        topic["first"] += old

    def append(self, name, records):
        """Appends records; returns the first and the end offset."""
        with self.condition:
            topic = self.topic(name)
            offset = topic["first"] + len(topic["records"])
            for record in records:
                if name.startswith("keyed."):
                    key = record[1 : 1 + record[0]]
                    value = record[1 + record[0] :]
                    if value:
                        end = topic["first"] + len(topic["records"])
                        topic["newest"][key] = (value, end)
                    else:
                        topic["newest"].pop(key, None)
                topic["records"].append((time.monotonic(), record))
            self.condition.notify_all()
            return offset, topic["first"] + len(topic["records"])

    def write(self, name, key, value):
        """Writes a keyed record as the operator or a server; False if the store is down."""
        if self.down:
            return False
        key = key.encode()
        self.append(name, [bytes([len(key)]) + key + value])
        return True

    def call(self, gate, path, body):
        if self.down or gate.down:
            return 503, "application/json", b"{}"
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = query.get("topic", "")
        call = parts.path.rsplit("/", 1)[-1]
        if call == "log-append":
            return self.log_append(name, query, body)
        if call == "log-read":
            return self.log_read(gate, name, query)
        if call == "log-newest":
            return self.log_newest(name, query)
        return 404, "application/json", b"{}"

    def log_append(self, name, query, body):
        if name in ("keyed.op", "keyed.servers"):
            return 403, "application/json", b"{}"
        records = []
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at : at + 4], "big")
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        with self.condition:
            topic = self.topic(name)
            end = topic["first"] + len(topic["records"])
            if "at" in query and int(query["at"]) != end:
                reply = json.dumps({"end-offset": end}).encode()
                return 412, "application/json", reply
            offset, end = self.append(name, records)
        reply = json.dumps({"offset": offset, "end-offset": end}).encode()
        return 200, "application/json", reply

    def log_read(self, gate, name, query):
        start = int(query.get("from", 0))
        limit = int(query.get("max-kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.condition:
            while True:
                if self.down or gate.down:
                    return 503, "application/json", b"{}"
                topic = self.topic(name)
                self.expire(topic)
                first = topic["first"]
                end = first + len(topic["records"])
                if start < first:
                    reply = json.dumps({"first-offset": first}).encode()
                    return 410, "application/json", reply
                left = until - time.monotonic()
                if start < end or left <= 0:
                    break
                self.condition.wait(left)
            page = end.to_bytes(8, "big") + first.to_bytes(8, "big")
            for _at, record in topic["records"][max(0, start - first) :]:
                if len(page) > 16 and len(page) + len(record) > limit:
                    break
                page += len(record).to_bytes(4, "big") + record
        return 200, "application/octet-stream", page

    def log_newest(self, name, query):
        after = query.get("after", "").encode()
        with self.condition:
            topic = self.topic(name)
            self.expire(topic)
            items = []
            for key in sorted(topic["newest"]):
                if after and key <= after:
                    continue
                value, offset = topic["newest"][key]
                items.append(
                    {
                        "key": key.decode(),
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                )
            end = topic["first"] + len(topic["records"])
        page = {"items": items, "has-more": False, "end-offset": end}
        return 200, "application/json", json.dumps(page).encode()

    def copy(self):
        """A copy of all topics, from which the store may come back."""
        with self.condition:
            return {
                name: {
                    "first": topic["first"],
                    "records": list(topic["records"]),
                    "newest": dict(topic["newest"]),
                }
                for name, topic in self.topics.items()
            }

    def come_back_from(self, copy):
        """Comes back from `copy`; what the operator wrote since is written again at once,
        and the servers write their entries with their next heartbeats."""
        with self.condition:
            lost = self.topics
            self.topics = copy
            self.era += 1
            for key, (value, offset) in lost["keyed.op"]["newest"].items():
                topic = self.topic("keyed.op")
                if offset >= topic["first"] + len(topic["records"]):
                    self.append("keyed.op", [bytes([len(key)]) + key + value])
            self.condition.notify_all()

    def set_down(self, down):
        """The store refuses all calls with 503 ("busy"), or serves again."""
        with self.condition:
            self.down = down
            self.condition.notify_all()


def read_head(stream):
    """Reads the head of a request or response; None at the end of the connection."""
    lines = []
    while True:
        line = stream.readline(65536)
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            if lines:
                return lines
            continue
        lines.append(line)


def split_head(lines):
    headers = {}
    for line in lines[1:]:
        name, _colon, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode()
    return lines[0].decode(), headers


class Server:
    """A server of a service. `serve` answers one request and names what it ran."""

    def __init__(self, store, record, name, service, address, version="v1", slots=96, events=20):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.events = events
        self.pause_s = 0.05
        self.body = b"answer"
        self.sequence = 0
        self.lock = threading.Lock()
        self.connections = set()
        self.listener = None
        self.host = address
        self.port = 0
        self.runs = []
        self.alive = False
        self.left = False
        self.start()
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(256)
        self.port = listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = listener
        self.alive = True
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def stop(self):
        """The process ends: its port and all its connections close."""
        with self.lock:
            self.alive = False
            connections = list(self.connections)
            self.connections.clear()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.line(f"server {self.name} ({self.version}, born {self.born}) ends")

    def restart(self, version):
        """Starts again under the same id and at the same address."""
        self.version = version
        self.start()
        self.record.line(
            f"server {self.name} starts again as {self.version}, born {self.born}"
        )

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "zone-a",
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    def beat(self):
        if self.alive and not self.left:
            if self.store.write("keyed.servers", self.name, self.entry()):
                if self.sequence == 1:
                    self.record.line(
                        f"server {self.name} ({self.version}, born {self.born}) has"
                        " written its entry"
                    )

    def beats(self):
        while True:
            time.sleep(HEARTBEAT_S)
            self.beat()

    def accept(self, listener):
        while True:
            try:
                connection, _peer = listener.accept()
            except OSError:
                return
            with self.lock:
                if not self.alive:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(
                target=self.converse,
                args=(connection, self.version, self.born),
                daemon=True,
            ).start()

    def converse(self, connection, version, born):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                lines = read_head(stream)
                if lines is None:
                    return
                line, headers = split_head(lines)
                body = stream.read(int(headers.get("content-length", 0)))
                if line.startswith("GET /hibiscusswitch/report "):
                    state = json.dumps(
                        {"stage": "unified", "models": [], "busy": False, "born": born}
                    ).encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(state)}\r\n\r\n"
                    connection.sendall(head.encode() + state)
                    continue
                request = headers.get("request-id", "")
                expected = headers.get("expect-instance")
                if expected not in (None, self.name):
                    head = f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
                    connection.sendall(head.encode())
                    continue
                self.serve(connection, line, headers, body, version)
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def serve(self, connection, line, headers, body, version):
        request = headers.get("request-id", "")
        with self.lock:
            self.runs.append((time.monotonic(), request, version, dict(headers), line))
        self.record.line(
            f"server {self.name} ({version}) runs {request} {line.split()[0]}"
            f" last-event-id={headers.get('last-event-id')}"
            f" resumes={headers.get('resumes')} tenant={headers.get('tenant')}"
        )
        if "last-event-id" in headers or "token-counts" in headers:
            self.stream(connection, request, headers, version)
        else:
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: s.{request}\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n"
            )
            connection.sendall(head.encode() + self.body)

    def stream(self, connection, request, headers, version):
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: s.{request}\r\n"
            "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        connection.sendall(head.encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            time.sleep(self.pause_s)
            event = self.event(number, version).encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")

    def event(self, number, version):
        return f"id: {number}\ndata: {version} {self.name} piece {number}\n\n"


class Fleet:
    """The daemons of one small deployment, one address for each machine."""

    def __init__(self, record, store, machines, base, keep_s=300, prefix="front"):
        self.record = record
        self.store = store
        self.folder = tempfile.mkdtemp(prefix="hibiscus-review-")
        self.processes = [None] * machines
        self.names = [f"{prefix}-{number + 1}" for number in range(machines)]
        self.addresses = [f"{base}.{number + 10}" for number in range(machines)]
        self.keep_s = keep_s
        self.stores = [store.address] * machines
        self.program = self.command()

    @staticmethod
    def command():
        """The program of the deploy file's role."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            for line in file:
                if line.startswith("run = "):
                    words = line.split('"')[1].split()
                    if os.path.exists(os.path.join(ROOT, words[0])):
                        return words
        raise Unrunnable("the program of the deploy file is not built")

    def settings(self, number, bootstrap):
        ip = self.addresses[number]
        return f"""node-name = "{self.names[number]}"
role = "front"
machine-class = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal-port-range = [7340,7355]
seeds = []
bootstrap = {"true" if bootstrap else "false"}
discovery = "platform"
entry = "directory"
heartbeat-interval-ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
directory = "{ip}:8224"
[limits]
cpu-share = 0.25
cpu-cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
stable-window-ms = 3000
drain-timeout-ms = 2000
grace-period-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
ttl_max_s = 5
[platform]
address = "{self.stores[number]}"
form = "log"
writes-per-s = 600
reads-per-s = 2000
parts = 24
record-bytes = 262144
max-request-bytes = 2097152
keep_s = {self.keep_s}
partition-mb = 200
min-ttl-ms = 1000
"""

    def start(self, number, bootstrap=False):
        path = os.path.join(self.folder, f"{self.names[number]}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, bootstrap))
        log = open(os.path.join(self.folder, f"{self.names[number]}.log"), "ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["HIBISCUSSWITCH_NODE_FILE"] = path
        self.processes[number] = subprocess.Popen(
            self.program, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.line(f"machine {self.names[number]} starts")

    def start_all(self):
        for number in range(len(self.processes)):
            self.start(number, bootstrap=True)
        for number in range(len(self.processes)):
            self.wait_ready(number)

    def is_ready(self, number):
        try:
            answer = Client.exchange(
                (self.addresses[number], 8220),
                b"GET /hibiscusswitch/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                2,
            )
            return answer.status == 200
        except OSError:
            return False

    def wait_ready(self, number, limit_s=20):
        until = time.monotonic() + limit_s
        while not self.is_ready(number):
            if time.monotonic() > until:
                raise Unrunnable(f"{self.names[number]} did not become ready")
            time.sleep(0.05)
        self.record.line(f"machine {self.names[number]} is ready")

    def signal(self, number, kind):
        self.processes[number].send_signal(kind)
        self.record.line(f"machine {self.names[number]} gets {kind.name}")

    def kill(self, number):
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait(10)

    def end(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status, headers, bytes, and whether the answer is complete."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.fault = ""

    def events(self):
        """The complete events: number and software version."""
        found = []
        blocks = self.body.decode(errors="replace").split("\n\n")
        for block in blocks[:-1]:
            number = None
            version = None
            for line in block.split("\n"):
                if line.startswith("id:"):
                    number = int(line[3:])
                if line.startswith("data:"):
                    version = line.split()[1]
            if number is not None:
                found.append((number, version))
        return found


class Client:
    """Requests of clients."""

    @staticmethod
    def exchange(address, request, timeout_s, on_head=None, receive_buffer=None):
        """Sends a request on a new connection and reads the answer to its end.

        `on_head` is called after the head has been read, before the body is.
        """
        answer = Answer()
        connection = socket.socket()
        try:
            if receive_buffer:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            connection.settimeout(1)
            connection.connect(address)
            connection.settimeout(timeout_s)
            connection.sendall(request)
            # No bytes beyond the head are read early, so a slow reader really is slow.
            stream = connection.makefile("rb", buffering=1 if receive_buffer else -1)
            try:
                lines = read_head(stream)
                if lines is None:
                    answer.fault = "closed without an answer"
                    return answer
                line, answer.headers = split_head(lines)
                answer.status = int(line.split()[1])
                if on_head:
                    on_head()
                Client.read_body(stream, answer)
            except (OSError, ValueError) as error:
                answer.fault = f"{type(error).__name__}: {error}"
        finally:
            connection.close()
        return answer

    @staticmethod
    def read_body(stream, answer):
        headers = answer.headers
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                line = stream.readline()
                if not line.endswith(b"\n"):
                    answer.fault = "ended inside the body"
                    return
                size = int(line, 16)
                if size == 0:
                    answer.complete = True
                    stream.readline()
                    return
                chunk = stream.read(size + 2)
                answer.body += chunk[:size]
                if len(chunk) < size + 2:
                    answer.fault = "ended inside the body"
                    return
        length = int(headers.get("content-length", 0))
        while len(answer.body) < length:
            part = stream.read(min(4096, length - len(answer.body)))
            if not part:
                answer.fault = "ended inside the body"
                return
            answer.body += part
        answer.complete = True


def request_id():
    return f"{random.getrandbits(64):016x}"


def post(path, request, deadline_ms, more="", body=b"body", key="key-a"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n{more}\r\n"
    )
    return head.encode() + body


def route(name, prefix, kind, service, timeout_ms, attempts, **more):
    entry = {
        "name": name,
        "hostname": "h.example",
        "path-prefix": f"/{prefix}/",
        "route-type": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": attempts,
        "allow-anonymous": False,
    }
    entry.update({key.replace("_", "-"): value for key, value in more.items()})
    return entry


def config(version, routes, prepaid=None, stride=3):
    tenant = {"name": "tenant-a", "api-keys": ["key-a"]}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": "engine",
                    "max-connections": 490,
                    "engine": {"slots": 96, "kv-capacity-tokens": 281360, "stride": stride},
                },
                {"name": "plain", "max-connections": 100},
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [tenant],
        }
    ).encode()


class StreamClient:
    """A client of a resumable route: begins a stream and takes it up while it is broken."""

    def __init__(self, fleet, record, number, deadline_s, retries):
        self.fleet = fleet
        self.record = record
        self.number = number
        self.until = time.monotonic() + deadline_s
        self.retries = retries
        self.events = []
        self.complete = False
        self.take_ups = 0
        self.went_on = False

    def run(self, first_machine, later_machines):
        """Sends to `first_machine`, and retries at one of `later_machines`."""
        resumes = None
        for attempt in range(self.retries + 1):
            left = self.until - time.monotonic()
            if left < 0.2:
                return
            request = request_id()
            more = (
                "Model: m\r\nToken-Counts: 100,120\r\n"
                f"Prompt-Prefix: 5c1e07a2:80,{self.number + 1:x}:20\r\n"
            )
            what = "begins"
            if resumes:
                what = f"resumes {resumes} after {self.events[-1][0]}"
                self.take_ups += 1
                more += f"Last-Event-Id: {self.events[-1][0]}\r\nResumes: {resumes}\r\n"
            machine = random.choice([first_machine] if attempt == 0 else later_machines)
            name = self.fleet.names[machine]
            self.record.line(f"client {self.number} sends {request} to {name}: {what}")
            wait = 0.0
            try:
                message = post("/resume/x", request, int(left * 1000), more)
                address = (self.fleet.addresses[machine], 8227)
                answer = Client.exchange(address, message, min(left, GAP_S))
            except OSError as error:
                self.record.line(f"client {self.number} {request}: {error}")
                continue
            got = answer.events()
            ends = [f"{at} {version}" for at, version in got[:1] + got[-1:]]
            reason = answer.body[:30] if answer.status != 200 else answer.fault
            self.record.line(
                f"client {self.number} {request}: status {answer.status},"
                f" first and last event {ends}, complete={answer.complete} {reason}"
            )
            if answer.status == 200:
                self.went_on |= bool(got) and resumes is not None
                if got and resumes is None:
                    resumes = request
                self.events += got
                if answer.complete:
                    self.complete = True
                    return
            elif answer.status == 503:
                wait = float(answer.headers.get("retry-after", "0"))
                if wait > (self.until - time.monotonic()) / 3:
                    return
            elif answer.status is not None:
                return
            time.sleep(wait)

    def versions(self):
        return {version for _at, version in self.events}


def loopback_base():
    """The first three numbers of a loopback network of which no port is in use."""
    for _attempt in range(200):
        base = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for last in range(10, 18):
                for port in (8227, 8220, 8224, 7340):
                    probe = socket.socket()
                    probe.bind((f"{base}.{last}", port))
                    probe.close()
            return base
        except OSError:
            continue
    raise Unrunnable("no free loopback addresses")


def main(case, folder):
    """Runs `case(record, trouble)`, which returns the broken rule's text or None."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"TROUBLE={1 if trouble else 0}")
    # Ends the daemons too if the time limit of run.sh is reached.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(2))
    try:
        broken = case(record, trouble)
    except Exception as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.stdout.flush()
        os._exit(2)
    verdict = f"broken: {broken}" if broken else "held"
    record.line(verdict)
    print(verdict)
    sys.stdout.flush()
    # Threads of the stand-ins may still be blocked; the daemons have ended.
    os._exit(1 if broken else 0)
