"""A wide submission on workers of the other region, which is cancelled."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

PATH = "/batch/5c0e7a21d94b36f8"
WORKERS = 5
TASKS = int(os.environ.get("TASKS", "3500"))


def case(platform):
    platform.quiet = True
    platform.put_manifest(["compile"], [("batch", "compile", 2)])
    for i in range(WORKERS):
        worker = platform.add_worker("i-%02d" % i, "compile", lambda _task, _spec: 90.0)
        worker.way_s = 0.016
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    time.sleep(1.0)
    body = {"spec": "x", "steps": [{"count": TASKS, "cpu": 40, "mem-mb": 80, "estimate-ms": 90000}]}
    if not platform.submit(PATH, body):
        raise RuntimeError("the submission wasn't accepted")
    running = lambda: sum(len(worker.running) for worker in platform.workers)
    deadline = platform.now() + 60
    while running() < TASKS and platform.now() < deadline:
        time.sleep(0.5)
        platform.note("workers", "%d runs", running())
    if not platform.trouble:
        return None if running() > 0 else "nothing runs"
    status, _ = platform.request(platform.names[0], "DELETE", PATH)
    acked = platform.now()
    if status != 200:
        raise RuntimeError("DELETE got %r" % status)
    bound = acked + (platform_3.BOUNDS["cancel_ms"] + platform_3.BOUNDS["stop-ms"]) / 1000
    late = None
    while running() > 0 and platform.now() < acked + 30:
        time.sleep(0.1)
        platform.note("workers", "%d runs %.1f s after the ack", running(), platform.now() - acked)
        if platform.now() > bound and late is None:
            late = running()
    if late:
        return "UNASKED: %d tasks of the cancelled submission run on after the bound, the last %.1f s after the ack" % (
            late, platform.now() - acked)
    return None


platform_3.main(case, FOLDER, 2)
