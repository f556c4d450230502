"""Tasks of a step start before the step that they depend on is done.

A worker is cut off and runs on: its tasks end `done` there, and the owner starts them again
elsewhere after the lease. The owner is killed just before these second runs end, while the cut
heals. The next owner finds two ends `done` of one task and counts both.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import TROUBLE, CannotRun, Hang, run_case  # noqa: E402

N_WORKERS = 7
N_JOBS = 5
SHORT_MS = 2000
LONG_MS = 14000
CUT_AFTER_S = 1.2
CUT_MAX_S = 5.5
KILL_BEFORE_END_S = 0.3


def work_ms(task):
    _, _, step, index = task.split(".")
    return LONG_MS if (step, index) == ("0", "1") else SHORT_MS


def job():
    return {"spec": "index", "steps": [
        {"count": 2, "cpu": 2000, "mem-mb": 256, "estimate-ms": 3000, "anti-affinity": 1},
        {"count": 2, "cpu": 2000, "mem-mb": 256, "estimate-ms": 3000, "after": [0]}]}


def early_starts(scene):
    """Starts of step 1 before both tasks of step 0 of their job had ended `done`."""
    done = {}
    for worker in scene.workers:
        for at, task, _, how in worker.ended:
            if how == "done":
                done[task] = min(at, done.get(task, at))
    return [start for start in scene.starts() if start[1].split(".")[2] == "1" and any(
        done.get(f"{start[1].split('.')[0]}.0.0.{i}", 1e9) > start[0] for i in (0, 1))]


async def cut_and_kill(scene, owner):
    runs = {run.task: worker for worker in scene.workers for run in worker.runs.values()}
    cut = runs.get(f"{1:016x}.0.0.0")
    if cut is None:
        raise CannotRun("the first task doesn't run")
    cut.cut_off()
    scene.record.write(f"worker {cut.id} is cut off and runs on")
    began = scene.record.now()
    second = None
    while second is None:
        await asyncio.sleep(0.01)
        if scene.record.now() - began > CUT_MAX_S - SHORT_MS / 1000 + KILL_BEFORE_END_S:
            raise CannotRun("the task was not started again in time")
        second = next((s for s in scene.starts()
                       if s[0] > began and s[1] == f"{1:016x}.0.0.0"), None)
    await asyncio.sleep(SHORT_MS / 1000 - KILL_BEFORE_END_S)
    await owner.kill()
    scene.record.write(f"owner {owner.name} is killed")
    cut.heal()
    scene.record.write(f"worker {cut.id} is reached again after {scene.record.now() - began:.2f} s")
    await asyncio.sleep(1.0)
    await owner.start()


async def play(scene):
    await scene.open(3, {"/jobs/": "svc"}, ["svc"])
    for i in range(N_WORKERS):
        await scene.add_worker(f"i-{i}", "svc", 32000, 65536, ["a", "r1-1"], work_ms)
    await scene.start_agents()
    await asyncio.sleep(2)
    owner = scene.owner()
    if owner is None:
        raise CannotRun("no owner")
    for i in range(N_JOBS):
        status, _ = await scene.ask(scene.agents[i % 3], "POST", f"/jobs/{i + 1:016x}", job())
        if status != 200:
            raise CannotRun("a job was not accepted")
    if TROUBLE:
        await asyncio.sleep(CUT_AFTER_S)
        await cut_and_kill(scene, owner)
    await asyncio.sleep(LONG_MS / 1000 + 4)
    early = early_starts(scene)
    if early:
        return (f"ORDER: {len(early)} starts before all tasks of the step in `after` had ended "
                f"done, the first at {early[0][0]:.3f}: {early[0][1]}")
    return None


run_case(FOLDER, play)
