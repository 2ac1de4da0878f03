"""The desired state grows by many routes, on narrow links. See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-2"))

import standin  # noqa: E402

QUEUE = standin.Queue("scoring", priority=1)
NEED = (1000, 1024, 1)
# Link of a machine and largest dose of `big_config` in the site file; see claim.txt.
LINK_MBPS = 2.0
ROUTES = 1400
TAKES_S = 1.0
FINISH_S = 14.0


async def story(site, trouble):
    spec = {"takes": TAKES_S, "need": NEED}
    jobs = [f"{0xD000 + n:016x}" for n in range(5)]
    for job in jobs:
        await site.submit(QUEUE, job, "t1", spec, [standin.step(2, NEED, TAKES_S)])
    await asyncio.sleep(4.0)
    if trouble:
        site.queues += [standin.Queue(f"r-{n:07x}", priority=2) for n in range(ROUTES)]
    await site.put_config()
    acknowledged = time.monotonic()
    refused = []
    while time.monotonic() < acknowledged + 30.0:
        status, _ = await site.call("POST", QUEUE, f"{0xD100 + len(refused):016x}", "t1", standin.job_body(
            spec, [standin.step(1, NEED, TAKES_S)]), attempts=1)
        refused.append(status != 200)
        await asyncio.sleep(1.0)
    await asyncio.sleep(FINISH_S)
    states = [await site.state(QUEUE, job, "t1") for job in jobs]
    site.record(f"{sum(refused)} of {len(refused)} submissions refused; 44 s after the desired state: {states}")
    if any(state not in ("queued", "running", "completed") for state in states):
        return f"LOST: {FINISH_S} s after the traffic jobs that were accepted get no answer: {states}"
    return None


def build(record):
    return standin.Site(record, [QUEUE], {"t1": 8}, minions=4, link_mbps=LINK_MBPS)


standin.main(HERE, build, story)
