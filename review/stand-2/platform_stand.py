"""Stand-ins of the platform for the scripts of this review: the store, engines, clients, and a launcher that
starts gateways with the command and the template of the deploy file. Standard library only."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - START:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def detail(self, text):
        """Writes to the file only: one line for each request."""
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store by its page: items with revisions, leases, transactions, watches, ranges, and a
    restore from a copy."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.leases = {}
        self.rev = 100
        self.next_lease = 7
        self.era = 1
        self.history = []
        self.changed = asyncio.Event()
        self.copies = []
        self.away = False
        self.log_keys = ()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    # What the operator and the engines do.

    def put(self, key, value, lease=0):
        self.rev += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "createRev": old["createRev"] if old else self.rev,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        if any(key.startswith(prefix) for prefix in self.log_keys):
            self.record(f"store: era {self.era} rev {self.rev}: {key} = {value.decode()[:300]}")
        self.wake()
        return self.rev

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.rev, "removed": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Takes a copy that a later restore may come back from."""
        return (dict(self.items), {k: dict(v) for k, v in self.leases.items()}, self.rev)

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, leases too, and revisions go back."""
        items, _leases, rev = copy
        self.items = {k: v for k, v in items.items() if v["lease"] == 0}
        self.leases = {}
        self.rev = rev
        self.history = []
        self.oldest = rev
        self.era += 1
        self.record(f"store: back from a copy, era {self.era}, revision {self.rev}")

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.away:
                continue
            now = time.monotonic()
            for lease in [l for l, s in self.leases.items() if s["until"] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    # Calls of the system.

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.away:
                    break
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                if self.away:
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def go_away(self):
        """Answers nothing and closes the connections, until `away` is cleared."""
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path.removeprefix("/mulberrymill/")
        if path == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.rev}) if item else (404, {"asOf": self.rev})
        if path == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "asOf": self.rev}
        if path == "kv-watch":
            return await self.watch(query)
        if path == "kv-txn":
            return self.transact(json.loads(body))
        if path == "kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = {"ttl": ttl / 1000, "until": time.monotonic() + ttl / 1000}
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease]["until"] = time.monotonic() + self.leases[lease]["ttl"]
            return 200, {"lease": lease, "ttlMs": int(self.leases[lease]["ttl"] * 1000)}
        if path.startswith("kv-lease-end/"):
            return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}

    async def watch(self, query):
        after, prefix, era = int(query["after"]), query.get("prefix", ""), self.era
        if after > self.rev or after < getattr(self, "oldest", 0):
            return 410, {}
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.era != era:
                return 410, {}
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.rev}
            changed = self.changed
            await asyncio.wait([asyncio.ensure_future(changed.wait())], timeout=min(left, 0.2))

    def transact(self, txn):
        rows = txn.get("precondition", [])
        if any(self.items.get(r["key"], {"rev": 0})["rev"] != r["rev"] for r in rows):
            items = [self.items.get(r["key"], {"key": r["key"], "rev": 0}) for r in rows]
            return 412, {"items": items}
        puts = txn.get("setKeys", [])
        if any(p["lease"] and p["lease"] not in self.leases for p in puts):
            return 404, {}
        if any(p["key"].startswith(("op/", "servers/")) for p in puts):
            return 403, {}
        for p in puts:
            self.put(p["key"], base64.b64decode(p["value"]), p["lease"])
        for key in txn.get("deleteKeys", []):
            self.remove(key)
        return 200, {"rev": self.rev}


def entry(service, address, state="ready", slots=64, seq=1, born=None, zone="zone-a"):
    """An engine's entry in the store."""
    return {
        "service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
        "state": state, "coldLeftMs": 0, "seq": seq, "born": born or int(time.time() * 1000),
    }


def route(name, kind, service, **more):
    return {
        "name": name, "host": "site.example", "prefix": f"/{name}/", "routeKind": kind,
        "service": service, "timeoutMs": 10_000, "targetLatencyMs": 300, "priority": 1,
        "maxAttempts": 2, **more,
    }


class Gateway:
    """A gateway process, started with the command, the template and the variables of the deploy file."""

    def __init__(self, name, folder, store, bounds, memory_mb=260, cloud=None, zone="zone-a"):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.role = deploy["roles"]["gateway"]
        self.name, self.folder = name, folder
        frontend, ready, peers = free_ports(3)
        self.frontend = ("127.0.0.1", frontend)
        self.ready = ("127.0.0.1", ready)
        self.fields = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"frontend": f"127.0.0.1:{frontend}", "readyAddr": f"127.0.0.1:{ready}"},
            "portRange": [peers, peers + 15], "platform": {"address": store.address},
            "heartbeatMs": 1200, "bounds": bounds, "limits": {"memoryMb": memory_mb},
            "cloud": cloud or {},
        }
        self.process = None

    def start(self):
        template = open(os.path.join(ROOT, self.role["template"]), encoding="utf-8").read()
        settings = os.path.join(self.folder, f"{self.name}.jsonc")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill(template, self.fields))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MULBERRYMILL_CONFIG"] = settings
        for key, text in self.role["env"].items():
            env[key] = fill(text, self.fields)
        program, *arguments = self.role["run"].split()
        program = os.path.join(ROOT, program)
        if not os.path.exists(program):
            raise CannotRun("the program is not built")
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [program, *arguments], cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )

    async def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.process.returncode}")
            try:
                status, _, _ = await call(self.ready, "GET", "/mulberrymill/readyz")
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def listening(window=None):
    """A listening socket on a free port; its connections have small windows if asked for."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if window:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    listener.bind(("127.0.0.1", 0))
    return listener


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def fill(text, fields):
    """Fills in the part of the platform's template language that the deploy file uses."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if part.isdigit() and int(part) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                return None
        return found

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    while section.search(text):
        text = section.sub(
            lambda m: m[2] if value(m[1]) not in (None, False, "", {}, []) else "", text
        )

    def place(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


async def call(address, method, target, headers=None, body=b"", timeout=15):
    """Sends one request on a connection of its own. Returns status, headers and body of a whole answer."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: site.example", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for at in range(0, len(body), 65536):
                writer.write(body[at:at + 65536])
                await writer.drain()
            status_line, answered = await read_head(reader)
            if "content-length" in answered or "transfer-encoding" in answered:
                data = await read_body(reader, answered)
            else:
                data = await reader.read()
            return int(status_line.split(" ")[1]), answered, data
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


def run_case(main, folder):
    """Runs a case. Exits with 10 if the rule was broken, 0 if it held, and 2 if the case could not run; `run.sh`
    turns 10 into 1, so that a fault of the script itself is not taken for a broken rule."""
    record = Record(folder)
    gateways = []
    # Ends the gateways also if the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: os.kill(os.getpid(), signal.SIGINT))

    async def bounded():
        with tempfile.TemporaryDirectory() as work:
            try:
                return await asyncio.wait_for(main(record, work, gateways), 110)
            finally:
                for gateway in gateways:
                    gateway.stop()
                for gateway in gateways:
                    if os.environ.get("KEEP_LOGS"):
                        log = os.path.join(work, f"{gateway.name}.log")
                        os.system(f"cp {log} {os.environ['KEEP_LOGS']}/")

    try:
        broken = asyncio.run(bounded())
    except CannotRun as error:
        record(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:  # The case itself failed, which says nothing about the rule.
        record(f"cannot run: {type(error).__name__}: {error}")
        sys.exit(2)
    except KeyboardInterrupt:
        sys.exit(2)
    record("RULE BROKEN" if broken else "the rule held")
    sys.exit(10 if broken else 0)
