"""The store is down; a worker's leaving is acknowledged; all nodes are killed
before the store is back; a heartbeat from before arrives late."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment as d

DRAIN_S = 2.0
OUTAGE_S = 4.5


async def scenario(site):
    record = site.record
    for number in range(4):
        site.add("zone-%d" % number, "shop")
    site.configure({"read": d.route("/read/", "safe", "shop")}, ["shop"])
    if not await site.start():
        return 2
    await asyncio.sleep(3.5)
    machine = site.machines[0]
    worker = machine.worker
    if not await site.requests("/read/", 1.0):
        return 2
    late = worker.beat("ready")
    record("BEAT sent: %s; it arrives later" % late)
    machine.may_beat = False
    outage_at = record.now()
    if d.TROUBLE:
        site.store.mode = "silent"
        record("STORE is down")
    await asyncio.sleep(0.5)
    worker.leaving = True
    status = await machine.leave()
    left_at = record.now()
    record("DELETE of %s answered %d" % (worker.name, status))
    if status != 200:
        return 2
    await asyncio.sleep(0.5)
    if d.TROUBLE:
        for it in site.machines:
            it.kill()
        await asyncio.sleep(0.6)
        for it in site.machines:
            it.start()
    await asyncio.sleep(0.4)
    status = 0
    while status == 0 and record.now() < outage_at + OUTAGE_S:
        status = await machine.send_beat(late)
        record("BEAT arrives, answered %d" % status)
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(0, outage_at + OUTAGE_S - record.now()))
    site.store.mode = "up"
    record("STORE is up")
    # More than stable_window_ms, so that all machines are in touch again.
    await asyncio.sleep(3.5)
    if not await site.wait_ready(site.machines, 1):
        return 2
    before = len(worker.runs)
    if not await site.requests("/read/", 1.5):
        return 2
    broken = [it for it in worker.runs[before:] if it[0] > left_at + DRAIN_S]
    record("%d requests reached %s later than %.1f s after the "
           "acknowledgement" % (len(broken), worker.name, DRAIN_S))
    return 1 if broken else 0


d.main(FOLDER, scenario)
