"""Case 12: a minion crashes three times and is sound afterwards; a lasting subtask on it keeps all other work away."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))
import standins

MINIONS = 8
CRASHES, DOWN_S, UP_S = 3, 2, 8
FINISH_S = 14
LASTING, JOB = "1000000000000001", "2000000000000002"


async def case(world, has_trouble):
    service, batch = standins.route("service", 1), standins.route("batch", 2)
    tenants = [standins.tenant("owner"), standins.tenant("other")]
    await world.build(nodes=3, minions=MINIONS, routes=[service, batch], tenants=tenants, labels={0: "big"})
    await world.wait_until_ready()
    minion = world.minions[0]

    # A lasting subtask that uses one of the eight accelerators of the only minion with the label.
    step = {"count": 1, "cpu": 4000, "mem-mb": 8192, "gpu": 1, "requirements": "big"}
    await world.submit(0, service, LASTING, "key-owner", [step | {"long-running": True}], {})
    await asyncio.sleep(3)
    for _ in range(CRASHES if has_trouble else 0):
        minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.start(keeps_id=True)
        await asyncio.sleep(UP_S)
    await asyncio.sleep(10)

    # The last job of the traffic needs one accelerator for 2 s.
    await world.submit(1, batch, JOB, "key-other", [step | {"estimated-ms": 2000}], {"takes-ms": 2000})
    await asyncio.sleep(FINISH_S + 3)
    state = await world.state(2, batch, JOB, "key-other")
    used = minion.used()["gpu"]
    world.record.add("check", f"the job is {state}, {used} of 8 accelerators of the minion are in use")
    if state != "queued":
        return True
    await asyncio.sleep(20)
    world.record.add("check", f"20 s later it is {await world.state(2, batch, JOB, 'key-other')}")
    return False


standins.play(Path(__file__).parent, case)
