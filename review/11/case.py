"""Reports of usage across a drill of the store in which all processes of the system are killed."""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-3"))
sys.dont_write_bytecode = True
import stand  # noqa: E402

GATEWAYS = 3
# The copy from which the store comes back is at least this old.
COPY_AGE_S = 3.0
# Parts of the disruption, for trials: both belong to the case.
KILL = stand.TROUBLE and os.environ.get("KILL", "1") != "0"
RESTORE = stand.TROUBLE and os.environ.get("RESTORE", "1") != "0"


def case(record, temporary, gateways):
    platform = stand.Platform(record)
    platform.store.keep_copies(0.25)
    api = stand.UsageApi(stand.free_ports(1)[0], record)
    for number, port in enumerate(stand.free_ports(3)):
        platform.add_engine(stand.Engine(f"i-{number}", "desk", port, record))
    tenants = [
        {"name": name, "apiKeys": [f"key-{name}"], "priority": 1} for name in ("hule930", "fida11")
    ]
    routes = [stand.route("lookup", "/lookup/", "idempotent", "desk", maxAttempts=2)]
    platform.write_config(stand.config(5, routes, tenants))
    for number in range(GATEWAYS):
        gateway = stand.Gateway(f"edge-a-{number}", platform.store, temporary, api=api, revoke_ms=5000)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        gateway.await_ready()
    record.line("ready", gateways=GATEWAYS)

    stop = threading.Event()

    def load():
        number = 0
        while not stop.wait(0.1):
            number += 1
            tenant = tenants[number % 2]["name"]
            gateway = gateways[number % GATEWAYS]
            answer = stand.send(
                gateway.port, "GET", f"/lookup/{number}", f"req-{number}",
                headers={"Authorization": f"Bearer key-{tenant}", "Deadline-Ms": "2000"}, timeout=3)
            record.line("client", request=f"req-{number}", tenant=tenant, gateway=gateway.name,
                        status=answer.status, error=answer.error)

    client = threading.Thread(target=load, daemon=True)
    client.start()

    def await_reports(count, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            counted = [call for call in api.seen() if call[3]["counts"]]
            if len(counted) >= count:
                return len(api.seen())
            time.sleep(0.01)
        raise stand.CannotRun("no usage was reported")

    # Two windows with requests are reported; then the drill begins.
    await_reports(2, 40)
    time.sleep(0.3)
    if KILL:
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        record.line("killed", gateways=GATEWAYS)
    if RESTORE:
        platform.store.away = True
        record.line("store away")
        time.sleep(1.0)
        age = platform.store.restore(COPY_AGE_S + 1.0)
        platform.rewrite()
        platform.store.away = False
        record.line("store back", copy_age_s=f"{age:.2f}", era=platform.store.era)
    if KILL:
        for gateway in gateways:
            gateway.kill()
            gateway.start()
        for gateway in gateways:
            gateway.await_ready()
        record.line("ready again")
    time.sleep(25)
    stop.set()
    client.join(5)

    reports = {}
    for at, holder, token, call in api.seen():
        content = json.dumps(call["counts"], sort_keys=True)
        contents = reports.setdefault(call["windowId"], [])
        if content not in contents:
            contents.append(content)
    held = True
    for window, contents in sorted(reports.items()):
        if len(contents) > 1:
            held = False
        record.line("window", id=window, contents=" then ".join(contents))
    last = max(at for at, *_ in api.seen())
    if last < time.monotonic() - 15:
        raise stand.CannotRun("no report has come for 15 s")
    return held


stand.run_case(FOLDER, case)
