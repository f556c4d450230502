"""A recurring submission with many tasks, and then a rolling restart of the machines."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = "/batch/" + JOB
WIDTH = 4000  # tasks of the first step
TIMES = 8
SHORT_S = 0.5
LONG_S = 62.0
RESTART_AT_S = 40.0  # after the ack: twice the store's history
END_AT_S = 90.0


def duration(task, _spec):
    return SHORT_S if task.split(".")[2] == "0" else LONG_S


def case(platform):
    platform.quiet = True
    platform.put_manifest(["compile"], [("batch", "compile", 2)])
    for i in range(14):
        platform.add_worker("i-%02d" % i, "compile", duration)
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    body = {"spec": "x", "start-time-ms": int(time.time() * 1000), "interval-ms": 2000,
            "repeat-count": TIMES,
            "steps": [{"count": WIDTH, "cpu": 5, "mem-mb": 5, "estimate-ms": 500},
                      {"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 60000, "after": [0]}]}
    if not platform.submit(PATH, body):
        raise RuntimeError("the submission wasn't accepted")
    acked = platform.now()
    up_since = {name: 0.0 for name in platform.names}
    gone = []
    restarts = list(platform.names) if platform.trouble else []
    restart_at = acked + RESTART_AT_S
    state = None
    while platform.now() < acked + END_AT_S and state != "completed" and len(gone) < 10:
        time.sleep(1.0)
        if restarts and platform.now() >= restart_at:
            name = restarts.pop(0)
            platform.signal_agent(name, signal.SIGTERM)
            platform.agents[name].wait(platform_3.BOUNDS["grace-s"])
            time.sleep(0.5)
            platform.start_agent(name)
            up_since[name] = platform.now()
            restart_at = platform.now() + 2.0
        done = sum(1 for end in platform.ends if end[4] == "done")
        platform.note("workers", "%d starts, %d ends done, %d others", len(platform.starts), done,
                      len(platform.ends) - done)
        for name in platform.names:
            status, answer = platform.request(name, "GET", PATH)
            state = answer["state"] if status == 200 else state
            in_touch = platform.now() - up_since[name] > platform_3.BOUNDS["contact-ms"] / 1000 + 1
            if status == 410 and in_touch:
                gone.append((name, round(platform.now(), 1)))
    platform.note("store", "%d calls refused for their size", platform.store.refused)
    if gone:
        return ("LOST: the submission was acked at %.1f s and cancelled by nobody; GET was answered "
                "410 %d times by machines in touch, first by %s at %.1f s" % (
                    acked, len(gone), gone[0][0], gone[0][1]))
    if state != "completed":
        raise RuntimeError("the submission is %s after %d s" % (state, END_AT_S))
    return None


platform_3.main(case, FOLDER, 2)
