"""A recurring submission grows beyond the largest record of the store: the next loss of all
processes loses it."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_platform as platform  # noqa: E402

JOB = "00000000000000a1"
TASKS = 600
RUN_MS = 300
# Ends of tasks after which the case goes on: about a third more than the record has room for.
ENDS = 33000
TROUBLE_BY_S = 75
DOWN_S = 1.0
# visible_ms and contact-ms of the settings are 3 s.
SETTLE_S = 5


def main(trouble):
    system = platform.System(HERE, 3, keep_s=20)
    system.workers = [platform.Worker(system.record, system.store, f"i-{n:010x}", quiet=True,
                                      run_ms=lambda task: RUN_MS) for n in range(6)]

    async def ask():
        status, body = await system.agents[0].call("GET", platform.PREFIX + JOB)
        system.record(f"GET {JOB}: {status} {body.decode()}; {ended()} tasks have ended, the "
                      f"store has rejected {system.store.rejected} appends, the largest record "
                      f"had {system.store.largest_record} bytes")
        return status

    def ended():
        return sum(worker.done_tasks for worker in system.workers)

    async def work():
        if not await system.begin():
            return 2
        began = time.monotonic()
        status, _ = await system.agents[0].call("POST", platform.PREFIX + JOB, {
            "spec": "sensor sweep", "start-time-ms": int(time.time() * 1000), "interval-ms": 1000,
            "repeat-count": 500, "steps": [{"count": TASKS, "cpu": 100, "mem-mb": 16,
                                            "estimate-ms": RUN_MS}]})
        system.record(f"POST {JOB}, {TASKS} tasks each second: {status}")
        if status != 200:
            return 2
        too_large_at = None
        while time.monotonic() - began < TROUBLE_BY_S:
            await asyncio.sleep(1)
            if too_large_at is None and system.store.rejected:
                too_large_at = time.monotonic()
            if (too_large_at is not None and ended() >= ENDS
                    and time.monotonic() - too_large_at > system.store.keep_s + 1):
                break
        if await ask() != 200:
            return 2
        if trouble:
            await system.kill_all(DOWN_S)
        if not await system.until(system.all_ready, 20, "the agents to be ready again"):
            return 2
        await asyncio.sleep(SETTLE_S)
        status = await ask()
        return {200: 0, 410: 1}.get(status, 2)

    return system, work()


platform.run(main)
