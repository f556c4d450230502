"""A lasting submission with more tasks than may run on the workers keeps the room of all of them
from all other submissions, for good."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_platform as platform  # noqa: E402

WORKERS = 7
CPU = 32000
# Three queues of the site file, with their priority, stretch and target-latency-ms: term-lookup,
# index-build and concordance-watch.
LOOKUPS = dict(platform.ROUTE, name="r-lookup", **{"path-prefix": "/lookup/", "priority": 0,
                                                   "stretch": 1.5, "target-latency-ms": 300})
BUILDS = dict(platform.ROUTE, name="r-build", **{"path-prefix": "/build/", "priority": 2,
                                                 "stretch": 4.0, "target-latency-ms": 3000})
WATCHES = dict(platform.ROUTE, name="r-watch", **{"path-prefix": "/watch/", "priority": 1,
                                                  "stretch": 2.2, "target-latency-ms": 2500})
LOOKUP = {"count": 6, "cpu": 3000, "mem-mb": 3100, "estimate-ms": 880}
BUILD = {"count": 4, "cpu": 6600, "mem-mb": 9400, "estimate-ms": 4500}
SMALL_WATCH = {"count": 1, "cpu": 100, "mem-mb": 100, "estimate-ms": 400, "long-running": True}
# At most one of its tasks may run on a worker; each takes 47 of 100 parts of one.
WATCH = {"cpu": 15000, "mem-mb": 15000, "estimate-ms": 400, "long-running": True,
         "anti-affinity": 1}
N_SMALL = 16
N_OTHERS = 5
# RULES.md, LOST.
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 8.0


def main(trouble):
    system = platform.System(HERE, 3)
    others = {}
    system.workers = [platform.Worker(system.record, system.store, f"i-{n:010x}", cpu=CPU,
                                      run_ms=lambda task: 900 if task.split(".")[0] in others
                                      else None)
                      for n in range(WORKERS)]

    async def submit(prefix, job, step):
        for attempt in range(5):
            agent = system.agents[attempt % 3]
            status, _ = await agent.call("POST", prefix + job, {"spec": "x", "steps": [step]})
            system.record(f"POST {prefix}{job}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def begun():
        return {task.split(".")[0] for worker in system.workers for task in worker.begun}

    async def work():
        if not await system.begin([LOOKUPS, BUILDS, WATCHES]):
            return 2
        await asyncio.sleep(2)
        for n in range(N_SMALL):
            if not await submit("/watch/", f"{0xd000 + n:016x}", SMALL_WATCH):
                return 2
        if not await submit("/watch/", f"{0xd0ff:016x}",
                            dict(WATCH, count=2 * WORKERS if trouble else WORKERS)):
            return 2
        await asyncio.sleep(2)
        for n in range(N_OTHERS):
            for prefix, base, step in (("/lookup/", 0xe000, LOOKUP), ("/build/", 0xf000, BUILD)):
                others[f"{base + n:016x}"] = prefix
                if not await submit(prefix, f"{base + n:016x}", step):
                    return 2
            await asyncio.sleep(1)
        system.record("end of the traffic")
        await asyncio.sleep(FINISH_S)
        idle = longest = 0.0
        last = time.monotonic()
        end = last + WATCH_S
        while time.monotonic() < end:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            idle = idle + now - last if set(others) - begun() else 0.0
            longest = max(longest, idle)
            last = now
        for job, prefix in others.items():
            status, body = await system.agents[0].call("GET", prefix + job)
            system.record(f"GET {prefix}{job}: {status} {body.decode()}")
        used = sum(WATCH["cpu"] if task.startswith(f"{0xd0ff:016x}") else SMALL_WATCH["cpu"]
                   for worker in system.workers for task, _ in worker.running)
        cpu = 100 * used / (WORKERS * CPU)
        system.record(f"{FINISH_S} s after the end of the traffic {len(set(others) - begun())} of "
                      f"{len(others)} submissions have not begun, for {longest:.1f} s; "
                      f"{cpu:.0f} of 100 parts of the processors are in use")
        return 1 if longest > IDLE_S and cpu < 50 else 0

    return system, work()


platform.run(main)
