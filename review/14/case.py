"""A burst of large submissions, and then a rolling restart of the machines."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

JOBS = 48
STEPS = 700
IMAGE = "registry.example/index/compile-%04d@sha256:" + "5c0e7a21d94b36f8" * 4
RESTART_AT_S = 30.0  # after the last ack
END_AT_S = 60.0


def case(platform):
    platform.put_manifest(["compile"], [("batch", "compile", 2)])
    for i in range(10):
        platform.add_worker("i-%02d" % i, "compile", lambda _task, _spec: 150.0)
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    time.sleep(1.0)
    steps = [{"count": 1, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 150000, "image": IMAGE % 0}]
    steps += [{"count": 1, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 2000, "image": IMAGE % i,
               "after": [0]} for i in range(1, STEPS)]
    paths = ["/batch/%016x" % (0x5c0e7a2100000000 + i) for i in range(JOBS)]
    accepted = []

    def submit(first):
        name = platform.names[first % len(platform.names)]
        for path in paths[first::8]:
            if platform.submit(path, {"spec": "x", "steps": steps}, [name]):
                accepted.append(path)

    threads = [threading.Thread(target=submit, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(accepted) < JOBS:
        raise RuntimeError("%d of %d submissions were accepted" % (len(accepted), JOBS))
    acked = platform.now()
    up_since = {name: 0.0 for name in platform.names}
    restarts = list(platform.names) if platform.trouble else []
    restart_at = acked + RESTART_AT_S
    gone = {}
    while platform.now() < acked + END_AT_S:
        time.sleep(1.0)
        if restarts and platform.now() >= restart_at:
            name = restarts.pop(0)
            platform.signal_agent(name, signal.SIGTERM)
            platform.agents[name].wait(platform_3.BOUNDS["grace-s"])
            time.sleep(0.5)
            platform.start_agent(name)
            up_since[name] = platform.now()
            restart_at = platform.now() + 2.0
        for name in platform.names:
            answers = {}
            for path in accepted:
                status, answer = platform.request(name, "GET", path, quiet=True)
                answers.setdefault(answer["state"] if status == 200 else status, []).append(path)
            platform.note("consumer", "GET of all to %s -> %s", name,
                          ", ".join("%s: %d" % (k, len(v)) for k, v in answers.items()))
            if platform.now() - up_since[name] > platform_3.BOUNDS["contact-ms"] / 1000 + 1:
                for path in answers.get(410, []):
                    gone.setdefault(path, (name, platform.now()))
    platform.note("store", "%d calls refused for their size", platform.store.refused)
    if gone:
        path, (name, when) = next(iter(gone.items()))
        return ("LOST: %d of %d submissions, acked by %.1f s and cancelled by nobody, were answered 410 "
                "by machines in touch, %s first by %s at %.1f s" % (
                    len(gone), JOBS, acked, path, name, when))
    return None


platform_3.main(case, FOLDER, 2)
