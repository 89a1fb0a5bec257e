"""Stand-ins of the platform, its engines and its clients, and the processes of the system, for the cases
11 to 15. Python 3.11, standard library only. All addresses are loopback addresses."""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler

HOST = "127.0.0.1"
REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.realpath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "mulberrymill")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_ports(count):
    """Ports that are free now. They are bound at the same time, so they differ."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {what} {text}\n")
            self.file.flush()


class QuietServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        error = sys.exc_info()[1]
        if not isinstance(error, (ConnectionError, TimeoutError, ValueError, OSError)):
            super().handle_error(request, client_address)


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it. It can be away, and can come back from a
    copy of an earlier state, in a new era."""

    def __init__(self, port):
        self.port = port
        self.address = f"{HOST}:{port}"
        self.changed = threading.Condition()
        self.state = {"rev": 100, "items": {}, "history": [], "leases": {}, "next_lease": 1}
        self.era = 1
        self.away = False
        self.copies = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                if store.away:
                    status, answer, era = 503, {}, store.era
                else:
                    status, answer, era = store.handle(self.command, self.path, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(era))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = serve

        self.server = QuietServer((HOST, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    # Calls of the platform's own writers: the operator and the engines.

    def put(self, key, value):
        with self.changed:
            self._set(key, json.dumps(value).encode(), 0)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self._remove(key)
            self.changed.notify_all()

    def keep_copies(self, every_s):
        """Copies the state at an interval, as a platform does before a drill."""

        def run():
            while True:
                with self.changed:
                    copy = json.dumps(self._frozen())
                    self.copies.append((time.monotonic(), copy))
                    del self.copies[:-200]
                time.sleep(every_s)

        threading.Thread(target=run, daemon=True).start()

    def restore(self, age_s):
        """Goes back to the newest copy that is at least this old. Leases are gone."""
        with self.changed:
            limit = time.monotonic() - age_s
            taken, copy = [one for one in self.copies if one[0] <= limit][-1]
            frozen = json.loads(copy)
            items = {
                key: (base64.b64decode(value), rev, created, lease)
                for key, (value, rev, created, lease) in frozen["items"].items()
                if lease == 0
            }
            self.state = {
                "rev": frozen["rev"],
                "items": items,
                "history": [],
                "leases": {},
                "next_lease": frozen["next_lease"],
                "compacted": frozen["rev"],
            }
            self.era += 1
            self.changed.notify_all()
            return time.monotonic() - taken

    def _frozen(self):
        return {
            "rev": self.state["rev"],
            "next_lease": self.state["next_lease"],
            "items": {
                key: (base64.b64encode(value).decode(), rev, created, lease)
                for key, (value, rev, created, lease) in self.state["items"].items()
            },
        }

    def _set(self, key, value, lease):
        state = self.state
        state["rev"] += 1
        known = state["items"].get(key)
        created = known[2] if known else state["rev"]
        state["items"][key] = (value, state["rev"], created, lease)
        state["history"].append((state["rev"], key, value, created, lease))

    def _remove(self, key):
        if key in self.state["items"]:
            self.state["rev"] += 1
            del self.state["items"][key]
            self.state["history"].append((self.state["rev"], key, None, 0, 0))

    def _expire(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                ended = [n for n, lease in self.state["leases"].items() if lease["until"] <= now]
                for number in ended:
                    self._end_lease(number)
                if ended:
                    self.changed.notify_all()

    def _end_lease(self, number):
        if self.state["leases"].pop(number, None) is not None:
            attached = [k for k, item in self.state["items"].items() if item[3] == number]
            for key in attached:
                self._remove(key)

    @staticmethod
    def _item(key, value, rev, created, lease):
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "rev": rev, "createRev": created, "lease": lease}

    def _listed(self, key):
        return self._item(key, *self.state["items"][key])

    def handle(self, method, target, body):
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        path = parsed.path.removeprefix("/mulberrymill/")
        call = json.loads(body) if body else {}
        if path == "kv-watch":
            return self._watch(query)
        with self.changed:
            status, answer = self._call(method, path, query, call)
            return status, answer, self.era

    def _call(self, method, path, query, call):
        state = self.state
        if path == "kv-key":
            if query["key"] not in state["items"]:
                return 404, {"asOf": state["rev"]}
            return 200, {**self._listed(query["key"]), "asOf": state["rev"]}
        if path == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in state["items"] if k.startswith(query["prefix"]) and k > after)
            listed = [self._listed(key) for key in keys[:500]]
            return 200, {"items": listed, "truncated": len(keys) > 500, "asOf": state["rev"]}
        if path == "kv-txn":
            return self._commit(call)
        if path == "kv-lease":
            number, ttl = state["next_lease"], call["ttlMs"]
            state["next_lease"] += 1
            state["leases"][number] = {"ttl": ttl, "until": time.monotonic() + ttl / 1000}
            return 200, {"lease": number, "ttlMs": ttl}
        name, _, number = path.partition("/")
        number = int(number) if number.isdigit() else 0
        if name == "kv-keep":
            lease = state["leases"].get(number)
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"] / 1000
            return 200, {"lease": number, "ttlMs": lease["ttl"]}
        if name == "kv-lease-end" and method == "DELETE":
            if number not in state["leases"]:
                return 404, {}
            self._end_lease(number)
            self.changed.notify_all()
            return 200, {}
        return 404, {}

    def _commit(self, call):
        state = self.state
        compared = call.get("precondition", [])
        revision = lambda key: state["items"][key][1] if key in state["items"] else 0
        if any(revision(row["key"]) != row["rev"] for row in compared):
            rows = [
                self._listed(row["key"]) if row["key"] in state["items"] else {"key": row["key"], "rev": 0}
                for row in compared
            ]
            return 412, {"items": rows}
        puts = call.get("setKeys", [])
        if any(put.get("lease", 0) and put["lease"] not in state["leases"] for put in puts):
            return 404, {}
        named = [put["key"] for put in puts] + call.get("deleteKeys", [])
        if any(key.startswith(("op/", "servers/")) for key in named):
            return 403, {}
        for put in puts:
            self._set(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("deleteKeys", []):
            self._remove(key)
        self.changed.notify_all()
        return 200, {"rev": state["rev"]}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(int(query["waitMs"]), 30_000) / 1000
        with self.changed:
            era = self.era
            while True:
                state = self.state
                if self.away:
                    return 503, {}, self.era
                if era != self.era or after > state["rev"] or after < state.get("compacted", 0):
                    return 410, {}, self.era
                events = [
                    self._item(key, value, rev, created, lease)
                    if value is not None
                    else {"key": key, "rev": rev, "removed": True}
                    for rev, key, value, created, lease in state["history"]
                    if rev > after and key.startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": state["rev"]}, self.era
                self.changed.wait(left)


class UsageApi:
    """The platform's API for usage reports. It accepts each report whose token it does not check."""

    def __init__(self, port, record):
        self.port = port
        self.address = f"{HOST}:{port}"
        self.lock = threading.Lock()
        self.calls = []
        api = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                call = json.loads(body)
                token = int(self.headers["Fencing-Token"])
                holder = self.headers["Duty-Holder"]
                with api.lock:
                    api.calls.append((time.monotonic(), holder, token, call))
                record.line("report", holder=holder, token=token, body=json.dumps(call, sort_keys=True))
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.server = QuietServer((HOST, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def seen(self):
        with self.lock:
            return list(self.calls)


def read_head(stream):
    """Reads the head of a message. Returns its first line and its headers, or None at the end."""
    first = stream.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").rstrip("\r\n"), headers
        if not line:
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers.setdefault(name.strip().lower(), value.strip())


def read_body(stream, headers):
    """Reads the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            part = stream.read(size)
            stream.readline()
            if size == 0:
                return b"".join(parts)
            parts.append(part)
    return stream.read(int(headers.get("content-length", 0)))


class Request:
    """A request that an engine has received."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")


class Engine:
    """An engine of a service. `answer(engine, request, connection)` writes its answers and returns whether
    the connection stays open; by default it runs the request and answers it whole."""

    def __init__(self, identity, service, port, record, slots=8, answer=None, stage=None):
        self.id, self.service, self.port = identity, service, port
        self.address = f"{HOST}:{port}"
        self.record, self.slots = record, slots
        self.answer = answer or Engine.answer_whole
        self.stage = stage
        self.lock = threading.Lock()
        self.connections = set()
        self.server = None
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.born = 0
        self.start()

    def start(self):
        engine = self
        self.born = int(time.time() * 1000)

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                engine.serve(self.request)

        self.server = QuietServer((HOST, self.port), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def crash(self):
        """Ends at once, as a killed process does: its port refuses connections, and all open ones are closed.
        Returns whether it ran."""
        with self.lock:
            server, self.server = self.server, None
        if server is None:
            return False
        server.shutdown()
        server.server_close()
        with self.lock:
            open_now, self.connections = list(self.connections), set()
        for connection in open_now:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        return True

    def entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": "1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
        return entry

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.connections.add(connection)
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                request = Request(*head, read_body(stream, head[1]))
                expected = request.headers.get("expect-instance")
                if expected is not None and expected != self.id:
                    answer(connection, 421, request, b"", {"Instance-Id": self.id, "Not-Executed": "1"})
                    continue
                if not self.answer(self, request, connection):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            stream.close()
            try:
                connection.close()
            except OSError:
                pass

    def note_run(self, request):
        with self.lock:
            self.runs.append((time.monotonic(), request.id))
        self.record.line("run", engine=self.id, request=request.id, target=request.target)

    def stamp(self, request):
        return f"{self.id}.{request.id}"

    def answer_whole(self, request, connection):
        self.note_run(request)
        time.sleep(0.01)
        answer(connection, 200, request, f"done by {self.id}".encode(), {"Server-Stamp": self.stamp(request)})
        return True


def answer(connection, status, request, body, headers):
    """Writes an answer with a length, as PROTOCOL.md shows it."""
    lines = [f"HTTP/1.1 {status} Status", f"Request-Id: {request.id}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    try:
        connection.close()
    except OSError:
        pass


class Platform:
    """The store, the operator, and the heartbeats of the engines."""

    def __init__(self, record):
        self.record = record
        self.store = Store(free_ports(1)[0])
        self.engines = []
        self.config = None
        self.beats = True
        threading.Thread(target=self._beat, daemon=True).start()

    def add_engine(self, engine):
        self.engines.append(engine)
        self.write_engine(engine)

    def write_engine(self, engine):
        self.store.put(f"servers/{engine.id}", engine.entry())

    def write_config(self, config):
        self.config = config
        self.store.put("op/config", config)
        self.record.line("config", version=config["version"])

    def rewrite(self):
        """Writes again what the operator and the engines wrote, after a restore."""
        self.store.put("op/config", self.config)
        for engine in self.engines:
            if engine.server is not None:
                self.write_engine(engine)

    def _beat(self):
        while True:
            time.sleep(1.2)
            if not self.store.away:
                for engine in list(self.engines):
                    if engine.server is not None:
                        self.write_engine(engine)


def route(name, prefix, kind, service, **more):
    """A route of the configuration."""
    return {
        "name": name, "host": "desk.example", "prefix": prefix, "routeKind": kind, "service": service,
        "timeoutMs": 8000, "targetLatencyMs": 300, "priority": 0, "maxAttempts": 1, "resumable": False,
        "sticky": False, **more,
    }


def config(version, routes, tenants=None):
    services = sorted({one["service"] for one in routes})
    document = {
        "version": version, "routes": routes, "services": [{"name": name} for name in services],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000,
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


class Gateway:
    """A process of the system, started with the command of deploy/system.toml and the template of
    deploy/gateway.jsonc."""

    def __init__(self, name, store, folder, api=None, revoke_ms=None):
        self.name = name
        self.folder = folder
        listen, ready, peers = free_ports(3)
        self.port, self.ready_port = listen, ready
        values = {
            "nodeName": name, "zone": "zone-a", "ip": HOST, "listen.frontend": f"{HOST}:{listen}",
            "listen.readyAddr": f"{HOST}:{ready}", "portRange.0": peers, "platform.address": store.address,
            "heartbeatMs": 1200, "bounds.drainMs": 2000, "bounds.graceS": 8,
        }
        with open(os.path.join(REPOSITORY, "deploy", "gateway.jsonc"), encoding="utf-8") as template:
            text = template.read()

        def fill(match):
            key, _, form = match.group(1).partition("|")
            return json.dumps(values[key]) if form == "json" else str(values[key])

        self.settings = os.path.join(folder, f"{name}.jsonc")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]*)\}\}", fill, text))
        duties = ""
        if api is not None:
            duties = json.dumps({
                "address": api.address, "lease": "3000ms", "tokens_checked": False, "calls_per_s": 50.0,
                "kinds": ["usage"], "usage": {"window": "5s", "lateness": "10s"},
            })
        self.environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": folder, "LANG": "C.UTF-8",
            "MULBERRYMILL_CONFIG": self.settings, "STORE_RECOVERY": "3000ms", "MEMORY_LIMIT": "260MiB",
            "MIMALLOC_ALLOW_THP": "0", "KEY_REVOCATION": f"{revoke_ms}ms" if revoke_ms else "",
            "DUTIES": duties,
        }
        self.process = None

    def start(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway"], cwd=REPOSITORY, env=self.environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
            connection.request("GET", "/mulberrymill/readyz")
            ready = connection.getresponse().status == 200
            connection.close()
            return ready
        except OSError:
            return False

    def await_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)


class Answer:
    """What a client got: a status, headers and a body; `whole` tells whether the framing is complete."""

    def __init__(self, status=None, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error


def send(port, method, target, identity, body=b"", headers=None, timeout=10.0):
    """Sends one request on a new connection and reads its answer."""
    lines = [f"{method} {target} HTTP/1.1", "Host: desk.example", f"Request-Id: {identity}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        with socket.create_connection((HOST, port), timeout=1) as connection:
            connection.settimeout(timeout)
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return read_answer(connection.makefile("rb"), method)
    except OSError as error:
        return Answer(error=type(error).__name__)


def read_answer(stream, method="GET"):
    head = read_head(stream)
    if head is None:
        return Answer(error="closed")
    status, headers = int(head[0].split(" ")[1]), head[1]
    body, whole = b"", True
    try:
        if method == "HEAD" or status in (204, 304):
            pass
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = stream.readline()
                if not line:
                    whole = False
                    break
                size = int(line.split(b";")[0], 16)
                part = stream.read(size)
                body += part
                stream.readline()
                if size == 0:
                    break
                if len(part) < size:
                    whole = False
                    break
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body = stream.read(length)
            whole = len(body) == length
        else:
            body = stream.read()
    except (OSError, ValueError) as error:
        return Answer(status, headers, body, False, type(error).__name__)
    return Answer(status, headers, body, whole)


def run_case(folder, case):
    """Runs `case(record, folder of temporary files, gateways to end)`, which returns whether the rule held.
    Exits with 0 if it held, 1 if it was broken, 2 if the case could not run."""
    def stop(number, _frame):
        raise CannotRun(f"stopped by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")
    gateways = []
    code = 2
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program is not built")
        record.line("begin", trouble=int(TROUBLE))
        code = 0 if case(record, temporary, gateways) else 1
    except CannotRun as error:
        record.line("cannot run", why=str(error))
        print(f"cannot run: {error}", file=sys.stderr)
    except Exception as error:  # a fault of the case is no result
        record.line("cannot run", why=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
    finally:
        for gateway in gateways:
            gateway.kill()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for name in os.listdir(temporary):
                shutil.copy(os.path.join(temporary, name), logs)
        shutil.rmtree(temporary, ignore_errors=True)
        record.line("end", code=code)
    print({0: "held", 1: "broken", 2: "not run"}[code])
    os._exit(code)
