"""A worker crashes, starts again under its id and leaves; the first heartbeat
of its new start arrives after the acknowledgement."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment as d

DRAIN_S = 2.0


async def scenario(site):
    record = site.record
    # One of seven is a share of 0.15 at most.
    for number in range(7):
        site.add("zone-%d" % (number % 4), "shop")
    site.configure({"read": d.route("/read/", "safe", "shop")}, ["shop"])
    if not await site.start():
        return 2
    # More than stable_window_ms, so that all machines are in touch.
    await asyncio.sleep(3.5)
    machine = site.machines[0]
    worker = machine.worker
    if not await site.requests("/read/", 1.0):
        return 2
    machine.may_beat = False
    if d.TROUBLE:
        worker.close()
        record("WORKER %s crashes" % worker.name)
        await asyncio.sleep(0.7)
        await worker.listen()
        worker.born = int(time.time() * 1000)
        worker.sequence = 0
        record("WORKER %s starts again under its id" % worker.name)
    late = worker.beat("ready")
    record("BEAT sent: %s; it arrives later" % late)
    await asyncio.sleep(0.7)
    worker.leaving = True
    status = await machine.leave()
    left_at = record.now()
    record("DELETE of %s answered %d" % (worker.name, status))
    if status != 200:
        return 2
    await asyncio.sleep(1.0)
    record("BEAT arrives, answered %d" % await machine.send_beat(late))
    await site.requests("/read/", 4.5)
    broken = [it for it in worker.runs if it[0] > left_at + DRAIN_S]
    record("%d requests reached %s later than %.1f s after the "
           "acknowledgement" % (len(broken), worker.name, DRAIN_S))
    return 1 if broken else 0


d.main(FOLDER, scenario)
