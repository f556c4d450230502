"""A worker rejects starts for some seconds: submissions that have not begun aren't counted as
pending."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_platform as platform  # noqa: E402

WORKERS = 13
JOBS = 6
LABEL = "kind-x"
UNHEALTHY_S = 6.5
# RULES.md, MIXED: visible_ms and 2 s.
KNOWN_S = 3.0 + 2.0


def main(trouble):
    system = platform.System(HERE, 3)
    system.workers = [platform.Worker(system.record, system.store, f"i-{n:010x}",
                                      labels=[LABEL] if n == 0 else [])
                      for n in range(WORKERS)]
    grey = system.workers[0]
    accepted = {}

    async def begun():
        return {task.split(".")[0] for worker in system.workers for task in worker.begun}

    async def count(agent):
        status, body = await agent.call("GET", platform.PREFIX)
        system.record(f"GET {platform.PREFIX} from agent {agent.number}: {status} {body.decode()}")
        return json.loads(body)["pending-count"] if status == 200 else None

    async def work():
        if not await system.begin():
            return 2
        await asyncio.sleep(3)
        grey.unhealthy = trouble
        until = time.monotonic() + UNHEALTHY_S
        system.record(f"{grey.id}: unhealthy for {UNHEALTHY_S} s" if trouble else "no disruption")
        for n in range(JOBS):
            job = f"{0xc000 + n:016x}"
            status, _ = await system.agents[n % 3].call("POST", platform.PREFIX + job, {
                "spec": "x", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 500,
                                        "requires": LABEL}]})
            system.record(f"POST {job}: {status}")
            if status != 200:
                return 2
            accepted[job] = time.monotonic()
        broken = 0
        while time.monotonic() < until - 0.2:
            await asyncio.sleep(0.25)
            known = {job for job, at in accepted.items() if time.monotonic() - at > KNOWN_S}
            if len(known) < JOBS:
                continue
            for agent in system.agents:
                pending = await count(agent)
                # What has begun by now may not be counted; what had not has to be.
                waiting = len(known - await begun())
                if pending is not None and pending < waiting / 2:
                    broken += 1
                    system.record(f"{waiting} submissions accepted over {KNOWN_S} s ago haven't "
                                  f"begun, {pending} are counted")
        for job in accepted:
            status, body = await system.agents[0].call("GET", platform.PREFIX + job)
            system.record(f"GET {job}: {status} {body.decode()}; begun: {job in await begun()}")
        grey.unhealthy = False
        await asyncio.sleep(4)
        system.record(f"{len(await begun())} of {JOBS} have begun at the end; "
                      f"{broken} counts were too low")
        return 1 if broken else 0

    return system, work()


platform.run(main)
