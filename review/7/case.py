"""A usage report is executed and not answered; right after it, the store comes back from a copy some seconds
old. The new term reports the window again, with other counts."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-2"))
from platform_stand import *  # noqa: E402,F403
from engines import Cloud, Service  # noqa: E402

BOUNDS = {
    "stableWindowMs": 4000, "drainMs": 3000, "graceS": 8, "leaseMs": 3000, "fencingEnforced": False,
    "revokeStrict": True, "revokeMs": 5000, "windowS": 5, "usageLateS": 10,
}
# A sound server may fall silent for a second or so.
PAUSE_S = 1.4
# The store is away for two seconds, and its copy is nine seconds old.
AWAY_S, COPY_AGE_S = 2.0, 9.0


async def main(record, work, gateways):
    store, cloud = Store(record), Cloud(record)
    await store.start()
    await cloud.start()
    store.log_keys = ("duties/", "mulberrymill/authority")
    pauses = {}
    engine = Service("e1", record, delay=lambda request: pauses.get(request, 0.03))
    await engine.start()
    store.put_json("op/config", {
        "version": 3, "routes": [route("book", "non_idempotent", "app", maxAttempts=1, timeoutMs=4000)],
        "services": [{"name": "app"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 30000},
        "tenants": [{"name": "t1", "apiKeys": ["key-1"]}],
    })
    born, seq = int(time.time() * 1000), 0

    async def beats():
        nonlocal seq
        while True:
            seq += 1
            if not store.away:
                store.put_json("servers/e1", entry("app", engine.address, seq=seq, born=born))
            await asyncio.sleep(1.2)

    heartbeats = asyncio.create_task(beats())
    duties = {"address": cloud.address, "duties": ["usage"], "dutyPerS": 50.0}
    for name in ("edge-a-1", "edge-a-2"):
        gateway = Gateway(name, work, store, BOUNDS, cloud=duties)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()

    async def send(gateway, request):
        try:
            status, _, _ = await call(
                gateway.frontend, "POST", "/book/1",
                {"Request-Id": request, "Deadline-Ms": "4000", "Authorization": "Bearer key-1"}, b"x",
            )
        except Exception as error:
            status = repr(error)
        record.detail(f"client: {request} to {gateway.name}: {status}")
        if status != 200:
            record(f"client: {request}: {status}")

    async def traffic():
        number = 0
        while True:
            number += 1
            asyncio.create_task(send(gateways[number % 2], f"r{number}"))
            await asyncio.sleep(0.1)

    clients = asyncio.create_task(traffic())

    async def until(moment):
        await asyncio.sleep(max(0.0, moment - time.time()))

    # The holder has reported at least one window.
    while not cloud.accepted:
        await asyncio.sleep(0.1)
        if time.monotonic() - START > 50:
            raise CannotRun("no usage was reported")
    end = (int(time.time() / 5) + 2) * 5
    window = end // 5 - 1
    record(f"window {window} ends in {end - time.time():.1f} s")
    if TROUBLE:
        asyncio.get_running_loop().call_later(
            end + 1.4 + AWAY_S - COPY_AGE_S - time.time(), lambda: copies.append(store.copy()))
    copies = []
    await until(end - 0.1)
    for gateway in gateways:
        for number in range(3):
            request = f"{gateway.name}-late-{number}"
            pauses[request] = PAUSE_S
            asyncio.create_task(send(gateway, request))
    record(f"client: six requests of window {window} begin at an engine that is silent for {PAUSE_S} s")
    if TROUBLE:
        await until(end + 0.2)
        cloud.silent = True
        record("cloud: executes calls and does not answer")
        # The report of the window has been executed.
        while not any(call[3] == window for call in cloud.accepted):
            await asyncio.sleep(0.02)
            if time.time() > end + 4:
                raise CannotRun("the window was not reported in time")
        await asyncio.sleep(0.1)
        record("store: away")
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(copies[0])
        store.away = False
        store.put("op/config", base64.b64decode(copies[0][0]["op/config"]["value"]))
        await until(end + 4.1)
        cloud.silent = False
        record("cloud: answers again")
    await until(end + 18)
    clients.cancel()
    heartbeats.cancel()
    reports = [call for call in cloud.accepted if call[3] == window]
    different = {json.dumps(call[4], sort_keys=True) for call in reports}
    record(f"window {window}: {len(reports)} reports accepted, with these counts: {sorted(different)}")
    if not reports:
        raise CannotRun("the window was not reported")
    return len(different) > 1


run_case(main, FOLDER)
