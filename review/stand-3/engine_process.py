"""An engine as a process of its own, which a case can kill. It answers without a length or chunks if told so:
such an answer ends with its connection. Arguments: id, service, port, `framed` or `unframed`."""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
import stand  # noqa: E402

EVENTS = 12
PARTS = 4
PAUSE_S = 0.05


def events(identity):
    """The whole stream for a request."""
    return [f"id: {number}\ndata: {identity}-{number}\n\n".encode() for number in range(1, EVENTS + 1)]


def parts(identity):
    """The whole body for a request that is no stream."""
    return [f"{identity}:{number};".encode() * 20 for number in range(1, PARTS + 1)]


class Printed:
    """Writes what runs to standard output."""

    def line(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(what, text, flush=True)


def main():
    identity, service, port, framing = sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]
    record = Printed()

    def respond(engine, request, connection):
        engine.note_run(request)
        is_stream = request.target.startswith("/chat/")
        body = events(request.id) if is_stream else parts(request.id)
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nServer-Stamp: {engine.stamp(request)}\r\n"
            f"Content-Type: {'text/event-stream' if is_stream else 'text/plain'}\r\n"
        )
        if framing == "framed":
            head += "Transfer-Encoding: chunked\r\n"
        connection.sendall((head + "\r\n").encode())
        for part in body:
            time.sleep(PAUSE_S)
            if framing == "framed":
                part = b"%x\r\n%s\r\n" % (len(part), part)
            connection.sendall(part)
        if framing == "framed":
            connection.sendall(b"0\r\n\r\n")
            return True
        connection.shutdown(socket.SHUT_WR)
        return False

    stand.Engine(identity, service, port, record, answer=respond)
    print("listening", flush=True)
    while True:
        time.sleep(1)


if __name__ == "__main__":
    main()
