"""A request that must run once has a long body. Its engine answers before it has read the body, as our pages
allow, and leaves by plan while it works on the request."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-2"))
from platform_stand import *  # noqa: E402,F403

BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "leaseMs": 3000}
BODY = 4_000_000
# A sound server may fall silent for a second or so.
WORK_S = 1.2
# Links have small windows (DEPLOY.md).
WINDOW = 65536


class Engine:
    """Runs a request on its head, answers before the long body is in, and reads on slowly."""

    def __init__(self, name, record):
        self.name, self.record, self.runs = name, record, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=listening(WINDOW), limit=32768)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                request = headers.get("request-id", "-")
                if headers.get("expect-instance") not in (None, self.name):
                    writer.write(b"HTTP/1.1 421 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append(request)
                self.record(f"{self.name}: begins to work on {request} ({line})")
                work = asyncio.create_task(self.answer(writer, request))
                left, whole = int(headers.get("content-length", "0")), True
                while left:
                    part = await reader.read(min(left, 32768))
                    if not part:
                        whole = False
                        break
                    left -= len(part)
                    await asyncio.sleep(0.03)
                self.record(f"{self.name}: body of {request} is {'in' if whole else 'cut'}")
                await work
                if not whole:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError) as error:
            self.record(f"{self.name}: connection ended: {type(error).__name__}")
        finally:
            writer.close()

    async def answer(self, writer, request):
        await asyncio.sleep(WORK_S)
        body = f"done by {self.name}".encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: stamp-{self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        self.record(f"{self.name}: has done the work of {request} and answers")


async def main(record, work, gateways):
    store = Store(record)
    await store.start()
    # The service has three engines, as on the small site; the fourth is to take the place of one of them.
    *engines, successor = [Engine(f"e{number}", record) for number in range(1, 5)]
    for engine in [*engines, successor]:
        await engine.start()
    store.put_json("op/config", {
        "version": 3, "routes": [route("pay", "non_idempotent", "app", maxAttempts=1)],
        "services": [{"name": "app"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 30000},
    })
    born = int(time.time() * 1000)
    for engine in engines:
        store.put_json(f"servers/{engine.name}", entry("app", engine.address, born=born))
    gateway = Gateway("edge-a-1", work, store, BOUNDS)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()

    leaving, seq = set(), 1

    def beat(engine):
        nonlocal seq
        seq += 1
        state = "draining" if engine.name in leaving else "ready"
        store.put_json(f"servers/{engine.name}",
                       entry("app", engine.address, state, seq=seq, born=born))

    async def beats():
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                beat(engine)

    heartbeats = asyncio.create_task(beats())
    await asyncio.sleep(1)
    record("client: sends request r1, 4 MB, which must run once at most")
    sent = asyncio.create_task(call(
        gateway.frontend, "POST", "/pay/1",
        {"Request-Id": "r1", "Deadline-Ms": "10000"}, b"x" * BODY,
    ))
    while not any(engine.runs for engine in engines):
        await asyncio.sleep(0.02)
        if sent.done():
            break
    await asyncio.sleep(0.05)
    if TROUBLE:
        first = next((e for e in engines if e.runs), None)
        if first is None:
            raise CannotRun("no engine got the request")
        engines.append(successor)
        beat(successor)
        record(f"store: has acknowledged {successor.name}, which replaces {first.name}")
        leaving.add(first.name)
        beat(first)
        record(f"store: has acknowledged that {first.name} is draining; it serves on for drainMs and longer")
    try:
        status, headers, body = await sent
        record(f"client: answer {status}, {headers.get('server-stamp')}, {body[:80]!r}")
    except Exception as error:
        status = None
        record(f"client: no answer: {error!r}")
    await asyncio.sleep(3)
    heartbeats.cancel()
    runs = sum(engine.runs.count("r1") for engine in engines)
    record(f"request r1 ran {runs} times; final status {status}")
    if runs == 0:
        raise CannotRun("the request did not run")
    return runs > 1 or (status in (408, 421, 429, 503) and runs > 0)


run_case(main, FOLDER)
