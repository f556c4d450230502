"""One submission with many times that are already due takes process after process over its memory.

The platform's side of the memory limit is played here: a process over memory-mb is killed, and
started again after a short delay. Other callers hand in small submissions all the while.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_platform as platform  # noqa: E402

LENGTH_S = 60
# DEPLOY.md: "A process that exits or is killed is restarted after a short delay".
RESTART_S = 0.5
# RULES.md, Fault: three times, on a tenth of the machines in use, two at least.
ENDS = 3
MACHINES = 2
JOB = {"spec": "minute report", "start-time-ms": 0, "interval-ms": 60000, "repeat-count": 100000,
       "steps": [{"count": 40, "cpu": 500, "mem-mb": 256, "estimate-ms": 500}]}
# 1 January 2026.
PAST_MS = 1767225600000
SMALL = {"spec": "small", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 500}]}


def main(trouble):
    system = platform.System(HERE, 3, memory_mb=260)
    system.workers = [platform.Worker(system.record, system.store, f"i-{n:010x}", quiet=True)
                      for n in range(4)]
    ends = [0] * len(system.agents)
    accepted = {}

    async def watch(agent):
        while True:
            await asyncio.sleep(0.05)
            if agent.process.returncode is not None:
                system.record(f"agent {agent.number}: ended by itself, "
                              f"code {agent.process.returncode}")
            elif agent.rss_mb() > system.memory_mb:
                system.record(f"agent {agent.number}: {agent.rss_mb():.0f} MB, over its memory")
                await agent.kill("memory")
            else:
                continue
            ends[agent.number] += 1
            await asyncio.sleep(RESTART_S)
            await agent.start()

    async def call_often():
        for n in range(10000):
            job = f"{0xb000 + n:016x}"
            began = time.monotonic()
            for attempt in range(5):
                agent = system.agents[(n + attempt) % 3]
                status, _ = await agent.call("POST", platform.PREFIX + job, SMALL)
                system.record(f"POST {job} to agent {agent.number}: {status}")
                if status == 200:
                    accepted[job] = time.monotonic()
                    break
                await asyncio.sleep(0.5)
            await asyncio.sleep(max(0, 1 - (time.monotonic() - began)))

    async def work():
        await system.begin()
        tasks = [asyncio.ensure_future(watch(agent)) for agent in system.agents]
        tasks.append(asyncio.ensure_future(call_often()))
        await asyncio.sleep(5)
        start = PAST_MS if trouble else int(time.time() * 1000)
        for attempt in range(5):
            status, _ = await system.agents[attempt % 3].call(
                "POST", platform.PREFIX + "00000000000000a1", dict(JOB, **{"start-time-ms": start}))
            system.record(f"POST 00000000000000a1, 100,000 times from {start} on: {status}")
            if status == 200:
                break
            await asyncio.sleep(0.5)
        else:
            # A refusal would be a way to keep the rule.
            system.record("the submission was refused")
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end and sum(n >= ENDS for n in ends) < MACHINES:
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        states = {}
        for job in accepted:
            _, body = await system.agents[0].call("GET", platform.PREFIX + job)
            states[body.decode() or "none"] = states.get(body.decode() or "none", 0) + 1
        system.record(f"processes ended by themselves: {ends}; states of other submissions: "
                      f"{states}")
        return 1 if sum(n >= ENDS for n in ends) >= MACHINES else 0

    return system, work()


platform.run(main)
