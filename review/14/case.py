"""Case 14: a minion with a lasting subtask that serves crashes, while lasting work fills all others."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))
import standins

MINIONS = 8
RESTART_S = 6 + 3
WATCHED_S = 30
SERVING, FILLING = "1000000000000001", "2000000000000002"


async def case(world, has_trouble):
    web, batch = standins.route("web", 1), standins.route("batch", 2)
    await world.build(nodes=3, minions=MINIONS, routes=[web, batch], tenants=[standins.tenant("owner")])

    serving = {"count": 1, "cpu": 16_000, "mem-mb": 8192, "long-running": True, "image": "web", "target-ms": 200}
    await world.submit(0, web, SERVING, "key-owner", [serving], {})
    while not world.starts(SERVING):
        await asyncio.sleep(0.1)
    # One subtask that fills on each other minion.
    filling = {"count": MINIONS - 1, "cpu": 16_000, "mem-mb": 8192, "long-running": True, "image": "batch", "fills": True, "max-per-server": 1}
    await world.submit(1, batch, FILLING, "key-owner", [filling], {})
    while len(world.starts(FILLING)) < MINIONS - 1:
        await asyncio.sleep(0.1)
    await asyncio.sleep(8)

    if has_trouble:
        task = world.starts(SERVING)[-1][0]
        next(m for m in world.minions if task in m.runs).crash()
    crashed = world.record.now()
    await asyncio.sleep(WATCHED_S)
    state = await world.state(2, web, SERVING, "key-owner")
    runs = [r for r in world.starts(SERVING) if r[3] is None]
    since = next((r[2] for r in runs), None)
    world.record.add("check", f"after {WATCHED_S} s the serving job is {state}, runs since {since}, the minion crashed at {crashed:.3f}")
    return since is not None and since <= crashed + RESTART_S


standins.play(Path(__file__).parent, case)
