"""Case 14: the settings get another grace time, and the machines are stopped and started in turn."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))
import standins

# A fraction is the trouble; without it the grace time changes as well.
FRACTION, WHOLE = 6.5, 7
GAP_S, RESTART_S, FINISH_S = 2.0, 1.0, 14
JOB = "1000000000000001"


async def roll(world, node):
    """Stops a process and starts it again; one that ends by itself is started again after a short delay."""
    node.process.send_signal(signal.SIGTERM)
    world.record.add(node.name, "gets SIGTERM")
    while True:
        while (code := node.process.poll()) is None:
            await asyncio.sleep(0.05)
        last = node.settings.with_suffix(".log").read_text().strip().splitlines()[-1]
        error = last.replace(str(world.folder), ".") if code else ""
        world.record.add(node.name, f"ends with {code} {error}")
        await asyncio.sleep(RESTART_S)
        node.start()


async def case(world, has_trouble):
    batch = standins.route("batch", 2)
    await world.build(nodes=3, minions=4, routes=[batch], tenants=[standins.tenant("owner")])
    await world.wait_until_ready()
    step = {"count": 1, "cpu": 4000, "mem-mb": 8192, "gpu": 1, "estimated-ms": 10_000}
    await world.submit(0, batch, JOB, "key-owner", [step], {"takes-ms": 10_000})
    await asyncio.sleep(standins.VISIBLE_S)

    grace = FRACTION if has_trouble else WHOLE
    world.record.add("platform", f"grace-s is {grace} in the settings")
    for node in world.nodes:
        node.write_settings(standins.BOUNDS | {"grace-s": grace})
    rolls = []
    for node in world.nodes:
        rolls.append(asyncio.create_task(roll(world, node)))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(FINISH_S)
    states = [await world.state(i, batch, JOB, "key-owner") for i in range(3)]
    world.record.add("check", f"{FINISH_S} s after the last signal the job is {states} at the three nodes")
    return any(states)


standins.play(Path(__file__).parent, case)
