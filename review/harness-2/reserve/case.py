"""A lasting job loses its minion for good while urgent jobs come at intervals. See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))

import standin  # noqa: E402

URGENT = standin.Queue("scoring", priority=0, latency=250, slack=1.5)
SERVING = standin.Queue("serving", priority=1)
FILL = "00000000000000f3"
JOB = "00000000000000a3"
WAITING = "00000000000000c3"
# One of eight is 0.125; the largest share of `srv_crash` is 0.14.
MINIONS = 8
WHOLE = (8000, 16384, 8)
HALF = (4000, 8192, 4)
URGENT_S = 0.9
INTERVAL_S = 5.0
BEFORE_S = 12.0
WATCHED_S = 50.0
# LOST: from 6 s after its last run, and after 4 s of calm, which begins contact-ms after the loss.
LAST_RUN_S = 6.0
CALM_S = 3.0 + 4.0
WITHOUT_RUN_S = 3.0


async def urgent_traffic(site):
    """Hands in an urgent job at intervals, of a tenant without a guarantee."""
    for n in range(1000):
        spec = {"takes": URGENT_S, "need": WHOLE}
        job = f"{0xE000 + n:016x}"
        await site.submit(URGENT, job, "t1", spec, [standin.step(1, WHOLE, URGENT_S)])
        await asyncio.sleep(INTERVAL_S)


def free_twice(site):
    """Returns whether a minion has room for the subtask twice over."""
    def free(minion, i, room):
        return room - sum(r.spec["need"][i] for r in minion.running.values())
    rooms = lambda m: (m.capacity["cpu"], m.capacity["mem-mb"], m.capacity["gpu"])
    return any(m.up and all(free(m, i, room) >= 2 * HALF[i] for i, room in enumerate(rooms(m)))
               for m in site.minions)


async def story(site, trouble):
    lasts = {"long-running": True, "image": "front"}
    fill = {"lasts": True, "need": WHOLE}
    await site.submit(SERVING, FILL, "t2", fill, [
        standin.step(MINIONS - 2, WHOLE, 60, **{"max-per-server": 1}, **lasts)])
    if not await standin.wait_until(lambda: len(site.running(FILL)) == MINIONS - 2, 15):
        raise standin.Unusable("the other lasting job was not started")
    await site.submit(SERVING, JOB, "t2", {"lasts": True, "need": HALF}, [standin.step(1, HALF, 60, **lasts)])
    if not await standin.wait_until(lambda: len(site.running(JOB)) == 1, 15):
        raise standin.Unusable("the job was not started")
    # A job that waits for two whole minions, as large jobs do in a full service.
    await site.submit(SERVING, WAITING, "t2", {"takes": 5.0, "need": WHOLE}, [standin.step(2, WHOLE, 5.0, gang=True)])
    traffic = asyncio.create_task(urgent_traffic(site))
    await asyncio.sleep(BEFORE_S)
    if trouble:
        minion = site.running(JOB)[0][0]
        await minion.crash()
        await site.store.put("servers", minion.name, None)
    lost = time.monotonic()
    since, longest = None, 0.0
    while time.monotonic() < lost + WATCHED_S:
        now = time.monotonic()
        is_open = not site.running(JOB) and free_twice(site) and now >= lost + max(LAST_RUN_S, CALM_S)
        since = (since or now) if is_open else None
        longest = max(longest, now - since if since else 0.0)
        await asyncio.sleep(0.02)
    traffic.cancel()
    state = await site.state(SERVING, JOB, "t2")
    away = not site.running(JOB)
    site.record(f"job {JOB}: shown as {state}, {'not ' if away else ''}at work {WATCHED_S} s later; without a run "
                f"for {longest:.1f} s on end beside room for it twice over")
    if longest >= WITHOUT_RUN_S:
        return (f"LOST: the lasting job had nothing running for {longest:.1f} s on end beside room for it twice "
                f"over, and is {'not ' if away else ''}at work {WATCHED_S} s after its minion was lost")
    return None


def build(record):
    return standin.Site(record, [URGENT, SERVING], {"t1": 0, "t2": 0}, minions=MINIONS)


standin.main(HERE, build, story)
