"""A wide submission whose tasks end all the time, and then a loss of power of all machines."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

PATH = "/batch/5c0e7a21d94b36f8"
TASKS = 2500
TASK_S = (0.2, 0.6)  # the shortest and the longest task
POWER_OFF_AT_S = 12.7  # after the ack
DOWN_S = 9.5  # herd_kill, how = "power"
END_AT_S = 60.0


def duration(task, _spec):
    share = int(task.split(".")[3]) * 7919 % 1000 / 1000
    return TASK_S[0] + (TASK_S[1] - TASK_S[0]) * share


def case(platform):
    platform.quiet = True
    platform.store.way_s = 0.016  # the machines are in the other region, 8 ms one way
    platform.put_manifest(["compile"], [("batch", "compile", 2)])
    for i in range(35):
        worker = platform.add_worker("i-%02d" % i, "compile", duration)
        worker.way_s = 0.016 if i % 2 else 0.0
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    time.sleep(1.0)
    body = {"spec": "x", "steps": [{"count": TASKS, "cpu": 16000, "mem-mb": 1000, "estimate-ms": 400}]}
    if not platform.submit(PATH, body):
        raise RuntimeError("the submission wasn't accepted")
    acked = platform.now()
    up_since = 0.0
    off = not platform.trouble
    gone = []
    state = None
    while platform.now() < acked + END_AT_S and state != "completed" and len(gone) < 10:
        if not off and platform.now() >= acked + POWER_OFF_AT_S:
            off = True
            for name in platform.names:
                platform.signal_agent(name, signal.SIGKILL)
                platform.agents[name].wait()
            time.sleep(DOWN_S)
            for name in platform.names:
                platform.start_agent(name)
            up_since = platform.now()
        time.sleep(0.5 if off else max(0.05, min(1.0, acked + POWER_OFF_AT_S - platform.now())))
        done = sum(1 for end in platform.ends if end[4] == "done")
        platform.note("workers", "%d starts, %d ends done, %d others", len(platform.starts), done,
                      len(platform.ends) - done)
        for name in platform.names:
            status, answer = platform.request(name, "GET", PATH)
            state = answer["state"] if status == 200 else state
            in_touch = platform.now() - up_since > platform_3.BOUNDS["contact-ms"] / 1000 + 1
            if status == 410 and in_touch:
                gone.append((name, round(platform.now(), 1)))
    if gone:
        return ("LOST: the submission was acked at %.1f s and cancelled by nobody; GET was answered "
                "410 %d times by machines in touch, first by %s at %.1f s" % (
                    acked, len(gone), gone[0][0], gone[0][1]))
    if state != "completed":
        raise RuntimeError("the submission is %s after %d s" % (state, END_AT_S))
    return None


platform_3.main(case, FOLDER, 2)
