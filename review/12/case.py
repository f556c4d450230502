"""A large submission of small tasks, and then submissions of the usual size."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_3  # noqa: E402

WORKERS = 3
CPU = 32000  # thousandths of a core of a worker, as in the sheet
MEM_MB = 65536
SMALL = {"cpu": 5, "mem-mb": 5}
SMALL_S = 75.0
USUAL = {"cpu": 3000, "mem-mb": 3100}  # the mean of term-lookup
USUAL_S = 0.9
N_TASKS = 2
N_USUAL = 10
WATCH_S = 25.0


def duration(task, _spec):
    return SMALL_S if task.startswith("5c0e7a21d94b36f8") else USUAL_S


def case(platform):
    platform.quiet = True
    platform.put_manifest(["compile"], [("batch", "compile", 2, 2), ("lookup", "compile", 4, 0)])
    for i in range(WORKERS):
        platform.add_worker("i-%02d" % i, "compile", duration, CPU, MEM_MB)
    for name in platform.names:
        platform.start_agent(name)
    if not platform.wait_ready(platform.names):
        raise RuntimeError("the machines aren't ready")
    time.sleep(1.0)
    n_small = 3600 if platform.trouble else 2400
    large = {"spec": "x", "steps": [dict(SMALL, count=n_small, **{"estimate-ms": 75000})]}
    if not platform.submit("/batch/5c0e7a21d94b36f8", large):
        raise RuntimeError("the large submission wasn't accepted")
    running, since = 0, platform.now()
    while platform.now() - since < 4.0:  # until no more of it start
        time.sleep(0.25)
        now_running = sum(len(worker.running) for worker in platform.workers)
        if now_running != running:
            running, since = now_running, platform.now()
    paths = ["/lookup/%016x" % (0x5c0e7a2200000000 + i) for i in range(N_USUAL)]
    for path in paths:
        body = {"spec": "x", "steps": [dict(USUAL, count=N_TASKS, **{"estimate-ms": 900})]}
        if not platform.submit(path, body):
            raise RuntimeError("a submission wasn't accepted")
    accepted = platform.now()
    states = {}
    idle_since = {path: accepted for path in paths}
    worst = (0.0, None)
    while platform.now() < accepted + WATCH_S and any(states.get(p) != "completed" for p in paths):
        time.sleep(0.25)
        now = platform.now()
        cpu = sum((SMALL if task.startswith("5c0e7a21d94b36f8") else USUAL)["cpu"]
                  for worker in platform.workers for task in list(worker.running))
        mem = sum((SMALL if task.startswith("5c0e7a21d94b36f8") else USUAL)["mem-mb"]
                  for worker in platform.workers for task in list(worker.running))
        is_free = cpu < CPU * WORKERS / 2 and mem < MEM_MB * WORKERS / 2
        ended = {}
        for end in list(platform.ends):
            ended[end[1].split(".")[0]] = ended.get(end[1].split(".")[0], 0) + 1
        at_work = {task.split(".")[0] for worker in platform.workers for task in list(worker.running)}
        for path in paths:
            status, answer = platform.request(platform.names[0], "GET", path, quiet=True)
            if status == 200 and answer["state"] != states.get(path):
                states[path] = answer["state"]
                platform.note("consumer", "GET %s -> 200 %s", path, answer["state"])
            if path[-16:] in at_work or not is_free or ended.get(path[-16:], 0) == N_TASKS:
                idle_since[path] = now
            worst = max(worst, (now - idle_since[path], path), key=lambda pair: pair[0])
        platform.note("workers", "%d runs, %d of %d thousandths of a core and %d of %d MB in use",
                      sum(len(w.running) for w in platform.workers), cpu, CPU * WORKERS, mem, MEM_MB * WORKERS)
    pending = [path for path in paths if states.get(path) != "completed"]
    if worst[0] > 3.0:
        return ("LOST: %d of %d submissions haven't completed; %s had nothing running for %.1f s, with "
                "under half of the service's capacity in use" % (len(pending), N_USUAL, worst[1], worst[0]))
    if pending:
        raise RuntimeError("not all submissions have completed: %r" % states)
    return None


platform_3.main(case, FOLDER, 2)
