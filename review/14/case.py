"""Sound requests that share their first part with a part that crashes engines, after a kill of all processes."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-3"))
sys.dont_write_bytecode = True
import stand  # noqa: E402

ENGINES = 9
GATEWAYS = 3
STABLE_WINDOW_S = 3.0
BACK_AFTER_S = 2.5
SOUND_EVERY_S = 1.9
SOUND_S = 21.5 * SOUND_EVERY_S
FIRST, CRASHING = "f1bd3f06:200", "11bd3f06:300"
KILL = stand.TROUBLE and os.environ.get("KILL", "1") != "0"
PART = stand.TROUBLE and os.environ.get("PART", "1") != "0"


def case(record, temporary, gateways):
    platform = stand.Platform(record)
    lock = threading.Lock()
    crashes = []

    def respond(engine, request, connection):
        engine.note_run(request)
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nServer-Stamp: {engine.stamp(request)}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        if CRASHING in request.headers.get("prefix-hash", "") and PART:
            time.sleep(0.02)
            if engine.crash():
                with lock:
                    crashes.append(time.monotonic())
                record.line("crash", engine=engine.id, request=request.id)
                threading.Timer(BACK_AFTER_S, come_back, (engine,)).start()
            return False
        connection.sendall(head.encode())
        for number in range(1, 9):
            time.sleep(0.05)
            event = f"id: {number}\ndata: x\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True

    def come_back(engine):
        engine.start()
        platform.write_engine(engine)
        record.line("back", engine=engine.id)

    for number, port in enumerate(stand.free_ports(ENGINES)):
        platform.add_engine(stand.Engine(f"i-{number}", "lm", port, record, slots=64, answer=respond))
    routes = [stand.route("chat", "/chat/", "streaming", "lm", sticky=True, gapAimMs=250)]
    platform.write_config(stand.config(5, routes))
    for number in range(GATEWAYS):
        gateway = stand.Gateway(f"edge-a-{number}", platform.store, temporary)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        gateway.await_ready()
    time.sleep(1)

    counter = [0]
    outcomes = []

    def ask(kind):
        with lock:
            counter[0] += 1
            number = counter[0]
        first = FIRST if kind in ("part", "sound") else f"{number % 40 + 1:08x}:200"
        second = CRASHING if kind == "part" else f"{number % 300 + 0x2000:08x}:300"
        identity = f"{kind}-{number}"
        gateway = gateways[number % GATEWAYS]
        at = time.monotonic()
        answer = stand.send(
            gateway.port, "POST", f"/chat/{number}", identity, b"x" * 300, timeout=8,
            headers={"Model": "m", "Token-Count": "600,20", "Deadline-Ms": "6000",
                     "Prefix-Hash": f"{first},{second},{number + 0x1000000:08x}:100"})
        record.line("client", request=identity, gateway=gateway.name, status=answer.status, whole=answer.whole,
                    error=answer.error, retry_after=answer.headers.get("retry-after"))
        with lock:
            outcomes.append((kind, at, answer.status == 200))

    stop = threading.Event()

    def every(pause, kind, until):
        while not until.wait(pause):
            threading.Thread(target=ask, args=(kind,), daemon=True).start()

    def begin(pause, kind, until):
        threading.Thread(target=every, args=(pause, kind, until), daemon=True).start()

    calm_over = threading.Event()
    begin(0.05, "other", stop)
    begin(SOUND_EVERY_S, "sound", calm_over)
    time.sleep(SOUND_S)
    calm_over.set()
    calm_until = time.monotonic()
    if KILL:
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        record.line("killed", gateways=GATEWAYS)
        for gateway in gateways:
            gateway.kill()
            gateway.start()
        for gateway in gateways:
            gateway.await_ready()
        record.line("ready again")
    begin(0.5, "part", stop)
    begin(SOUND_EVERY_S, "sound", stop)
    time.sleep(8 + SOUND_S)
    stop.set()
    time.sleep(1.5)

    with lock:
        last = sorted(crashes)[:5]
        bound_from = (last[-1] if last else calm_until) + 2 * STABLE_WINDOW_S
        before = [ok for kind, at, ok in outcomes if kind == "sound" and at < calm_until]
        after = [ok for kind, at, ok in outcomes if kind == "sound" and at > bound_from]
    record.line("result", crashes=len(crashes), sound_before=len(before), begun_before=sum(before),
                sound_after=len(after), begun_after=sum(after))
    if len(before) < 20 or len(after) < 20 or (PART and not crashes):
        raise stand.CannotRun("too few requests")
    return sum(after) / len(after) >= 0.5 * sum(before) / len(before)


stand.run_case(FOLDER, case)
