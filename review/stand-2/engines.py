"""Engines and the platform's API for duties, as small stand-ins."""

import asyncio
import json
import time

from platform_stand import listening, read_body, read_head


class Service:
    """A sound engine of a plain service. `delay(request)` gives the time that a request takes."""

    def __init__(self, name, record, delay=lambda request: 0.03, answer=b"done"):
        self.name, self.record, self.delay, self.body = name, record, delay, answer
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=listening())
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                _line, headers = await read_head(reader)
                await read_body(reader, headers)
                request = headers.get("request-id", "-")
                self.runs.append((request, headers))
                self.record.detail(f"{self.name}: runs {request}")
                await asyncio.sleep(self.delay(request))
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: stamp-{self.name}\r\n"
                    f"Content-Length: {len(self.body)}\r\n\r\n".encode() + self.body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Cloud:
    """The platform's API. While `silent`, it executes calls and does not answer them."""

    def __init__(self, record):
        self.record, self.silent, self.accepted = record, False, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=listening())
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            line, headers = await read_head(reader)
            body = json.loads(await read_body(reader, headers))
            holder, token = headers["duty-holder"], int(headers["fencing-token"])
            silent = self.silent
            self.accepted.append((time.time(), holder, token, body["windowId"], body["counts"]))
            self.record(
                f"cloud: {line} by {holder}, token {token}: window {body['windowId']}, counts "
                f"{json.dumps(body['counts'], sort_keys=True)}; {'no answer' if silent else '200'}"
            )
            if silent:
                await asyncio.sleep(30)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()
