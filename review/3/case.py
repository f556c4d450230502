"""A job runs that its consumer was told doesn't exist.

The store leaves one agent of three without answers for SILENT_S. A consumer hands a job in there
and gets no success. It cancels the job at another agent, which answers 410. Of the first agent's
appends without an answer the store carries the last one out, LATE_S after it was sent, and the
tasks are started.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import BOUNDS, TROUBLE, CannotRun, Hang, run_case, split_records  # noqa: E402

SILENT_S = 2.6
LATE_S = 5.5
JOB = "5c0e7a21d94b36f8"


def silence(scene, victim):
    """Lets the store leave the calls of an agent unanswered and do the last append late."""
    until = scene.record.now() + SILENT_S
    hanging = []

    async def append_late(name, body):
        hanging.append(body)
        await asyncio.sleep(LATE_S)
        if hanging[-1] is body:
            scene.store.append(name, split_records(body))
            scene.record.write(f"store does the last append of {victim} that got no answer")

    async def before_call(caller, path, query, body):
        if caller != victim or scene.record.now() >= until:
            return
        if path == "/api/log-append":
            scene.record.write(f"store leaves an append of {victim} to {query['topic']} unanswered")
            asyncio.ensure_future(append_late(query["topic"], body))
        raise Hang

    scene.store.before_call = before_call


async def play(scene):
    await scene.open(3, {"/jobs/": "svc"}, ["svc"])
    for i in range(3):
        await scene.add_worker(f"i-{i}", "svc", 32000, 65536, ["a", "r1-1"], lambda task: 2000)
    await scene.start_agents()
    await asyncio.sleep(2)
    owner = scene.owner()
    if owner is None:
        raise CannotRun("no owner")
    first, second = [agent for agent in scene.agents if agent is not owner]
    scene.record.write(f"owner {owner.name}; job at {first.name}, cancelled at {second.name}")
    if TROUBLE:
        silence(scene, first.name)
        scene.record.write(f"store leaves {first.name} without answers for {SILENT_S} s")
    job = {"spec": "lock 7", "steps": [{"count": 2, "cpu": 500, "mem-mb": 256,
                                        "estimate-ms": 2000}]}
    status, _ = await scene.ask(first, "POST", f"/jobs/{JOB}", job, timeout_s=3.0)
    if status in (429, 503):
        raise CannotRun("the job was rejected")
    status, _ = await scene.ask(second, "DELETE", f"/jobs/{JOB}")
    if status not in (200, 410):
        raise CannotRun("the cancelling was not acknowledged")
    cancelled = scene.record.now()
    scene.record.write("the cancelling is acknowledged")
    await asyncio.sleep(12)
    await scene.ask(second, "GET", f"/jobs/{JOB}")
    bound = cancelled + BOUNDS["cancel_ms"] / 1000
    late = [start for start in scene.starts() if start[0] > bound]
    if late:
        return (f"UNASKED: {len(late)} starts later than cancel_ms after the acknowledged cancel, "
                f"the first {late[0][0] - cancelled:.2f} s after it")
    return None


run_case(FOLDER, play)
