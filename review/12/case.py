"""A burst of sound submissions, and three racks of workers that crash one after the other."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

RACKS = 7
RACK = 5  # workers a rack, as in the sheets
CRASHES = 3  # racks that crash, one after the other
JOBS = 60
TASKS = 6
TASK_S = 2.0
DOWN_S = 1.0
APART_S = 1.5  # from the crash of one rack to that of the next
END_AT_S = 60.0


def crash_rack(platform, rack):
    workers = platform.workers[rack * RACK:(rack + 1) * RACK]

    def strike():
        for worker in workers:
            lost = worker.crash()
            platform.note(worker.id, "crashes with %s", ", ".join(lost) or "nothing")

    async def restart():
        for worker in workers:
            await worker.begin()
            platform.note(worker.id, "starts again under its id")

    platform.loop.call_soon_threadsafe(strike)
    time.sleep(DOWN_S)
    platform.call(restart())


def case(platform):
    platform.put_manifest(["compile"], [("lookup", "compile", 4)])
    for i in range(RACKS * RACK):
        platform.add_worker("i-%02d" % i, "compile", lambda _task, _spec: TASK_S,
                            labels=("a", "r1-%d" % (i // RACK)))
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    time.sleep(1.0)
    paths = ["/lookup/%016x" % (0x5c0e7a2100000000 + i) for i in range(JOBS)]
    body = {"spec": "x", "steps": [{"count": TASKS, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 2000}]}
    accepted = []

    def submit(part):
        for path in part:
            if platform.submit(path, body):
                accepted.append(path)

    threads = [threading.Thread(target=submit, args=(paths[i::12],)) for i in range(12)]
    for thread in threads:
        thread.start()
    if platform.trouble:
        # The load of the burst is there.
        while len(platform.starts) < JOBS * TASKS // 3:
            time.sleep(0.01)
        strikes = []
        for rack in range(CRASHES):
            strikes.append(threading.Thread(target=crash_rack, args=(platform, rack)))
            strikes[-1].start()
            time.sleep(APART_S)
        for strike in strikes:
            strike.join()
    for thread in threads:
        thread.join()
    states = {}
    deadline = platform.now() + END_AT_S
    while platform.now() < deadline and sum(s in ("completed", "failed") for s in states.values()) < len(accepted):
        time.sleep(1.0)
        for path in accepted:
            status, answer = platform.request(platform.names[0], "GET", path, quiet=True)
            if status == 200 and states.get(path) != answer["state"]:
                states[path] = answer["state"]
                platform.note("consumer", "GET %s -> 200 %s", path, answer["state"])
    failed = [path for path in accepted if states.get(path) == "failed"]
    ends_failed = [end for end in platform.ends if end[4] == "failed"]
    platform.note("workers", "%d ends failed", len(ends_failed))
    if failed:
        return "LOST: %d of %d submissions are shown as failed, and no run has ended failed: %s" % (
            len(failed), len(accepted), " ".join(failed))
    if len(accepted) < JOBS or sum(s == "completed" for s in states.values()) < len(accepted):
        raise RuntimeError("not all submissions were accepted and completed: %r" % states)
    return None


platform_3.main(case, FOLDER, 2)
