#!/usr/bin/env python3
"""Builds, and shows one of each kind of work on two data centres.

Starts the stand-ins for the platform, two data centres with two daemons each
and the workers of one deployment on loopback, publishes its tables, runs the
work, prints where each ran and why, and stops what it started.
"""

import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / "build"
WAIT_S = 40

DEPLOYMENTS = {
    "ravi": {
        "sites": [("lahore-gulberg", "lahore"), ("karachi-saddar", "karachi")],
        "work": ["term-lookup", "concordance-watch", "index-build", "proof-render"],
    },
    "cairnedge": {
        "sites": [("inverness-a", "highlands"), ("glasgow-a", "lowlands")],
        "work": ["seat-hold", "booking-charge", "waitlist-watch", "nightly-roster",
                 "reduction-model"],
    },
}

LOG = "127.0.0.1:20070"
LIST = "127.0.0.1:20071"


class Fleet:
    """The processes that this run started; only these are stopped."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = []

    def start(self, name, program, *args):
        output = open(self.folder / f"{name}.log", "w", encoding="utf-8")
        command = [str(BUILD / program), *map(str, args)]
        self.processes.append(subprocess.Popen(command, stdout=output, stderr=output))

    def stop(self):
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()


def build():
    if not (BUILD / "build.ninja").exists():
        subprocess.run(["meson", "setup", str(BUILD), str(ROOT)], check=True,
                       stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-C", str(BUILD)], check=True, stdout=subprocess.DEVNULL)


def ctl(*args, check=True):
    command = [str(BUILD / "cli" / "bamboothreadctl"), *args]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if check and done.returncode != 0:
        sys.exit(f"demo: {' '.join(args)} failed:\n{done.stdout}{done.stderr}")
    return done


def wait_for(what, ready):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        value = ready()
        if value:
            return value
        time.sleep(0.1)
    sys.exit(f"demo: {what} did not come in {WAIT_S} s")


def start_workers(fleet, tables, sites):
    """One process plays all workers of a pool in a data centre."""
    for pool in tables["pools"]:
        for site, _region in sites:
            vms = [vm for vm in pool["vms"] if vm["data_centre"] == site]
            first = vms[0]
            fleet.start(f"worker-{pool['name']}-{site}", "standins/bamboothread-fake-worker",
                        "--name", f"{pool['name']}-{site}", "--count", len(vms),
                        "--port", first["address"].split(":")[1], "--cpus", first["cpus"],
                        "--memory-mb", first["memory_mb"], "--gpus", first.get("gpus", 0))


def start_daemons(fleet, sites):
    peers = [f"127.0.0.1:{20100 + i}" for i in range(2 * len(sites))]
    http = []
    for i, (site, region) in enumerate(site for site in sites for _ in range(2)):
        settings = {"name": f"{site}-d{i % 2 + 1}", "address": peers[i],
                    "http": f"127.0.0.1:{20200 + i}", "data_centre": site, "region": region,
                    "log": LOG, "vm_list": LIST, "seeds": peers}
        path = fleet.folder / f"{settings['name']}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        fleet.start(settings["name"], "daemon/bamboothreadd", path)
        http.append(settings["http"])
    return http


def dump(address):
    done = ctl("--raw", "dump", address, check=False)
    return json.loads(done.stdout) if done.returncode == 0 else None


def owners(http):
    states = [dump(address) for address in http]
    if not all(states):
        return None
    leading = [s for s in states if s["leading"] and s["settled"] and s["journal_caught_up"]]
    return leading if len(leading) == len(http) // 2 else None


def show_outcome(daemon, name, outcome):
    print(f"\n== {name}: {outcome['status']}, job {outcome.get('job', '-')}")
    if "answer_base64" in outcome:
        answer = base64.b64decode(outcome["answer_base64"]).decode()
        print("   answer:", answer[:160])
    for line in ctl("--daemon", daemon, "explain", outcome["job"]).stdout.splitlines():
        print("  ", line)


def run_work(daemon, folder, name):
    done = ctl("--raw", "--daemon", daemon, "submit", str(folder / f"{name}.json"))
    outcome = json.loads(done.stdout)
    if outcome["status"] != "accepted":
        return outcome

    def settled():
        state = json.loads(ctl("--raw", "--daemon", daemon, "status", outcome["job"]).stdout)
        up = state["kind"] == "service" and all(
            task.get("phase") == "running" for task in state["tasks"])
        return state if up or state["status"] in ("done", "failed", "unknown") else None

    return wait_for(f"an end of {name}", settled)


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "ravi"
    if name not in DEPLOYMENTS:
        sys.exit(f"usage: tools/demo [{'|'.join(DEPLOYMENTS)}]")
    build()
    deployment = DEPLOYMENTS[name]
    folder = ROOT / "examples" / name
    tables = json.loads((folder / "tables.json").read_text(encoding="utf-8"))
    with tempfile.TemporaryDirectory(prefix="bamboothread-demo-") as scratch:
        fleet = Fleet(scratch)
        try:
            fleet.start("log", "standins/bamboothread-fake-log", "--listen", LOG)
            fleet.start("list", "standins/bamboothread-fake-list", "--listen", LIST)
            start_workers(fleet, tables, deployment["sites"])
            http = start_daemons(fleet, deployment["sites"])
            wait_for("the log", lambda: ctl("--log", LOG, "tables", "show",
                                            check=False).returncode == 0)
            print(ctl("--log", LOG, "--author", "demo", "tables", "edit",
                      str(folder / "tables.json")).stdout.splitlines()[-1])
            for state in wait_for("an owner in each data centre", lambda: owners(http)):
                workers = [w for w in state["workers"] if w["startable"]]
                print(f"{state['data_centre']}: owned by {state['name']}, "
                      f"{len(workers)} workers ready")
            failed = 0
            for work in deployment["work"]:
                outcome = run_work(http[1], folder, work)
                show_outcome(http[1], work, outcome)
                failed += outcome["status"] not in ("done", "running")
            print(f"\n{len(deployment['work']) - failed} of {len(deployment['work'])} "
                  "kinds of work ran")
        finally:
            fleet.stop()
            if os.environ.get("DEMO_LOGS"):
                for path in sorted(fleet.folder.glob("*.log")):
                    print(f"--- {path.name}\n{path.read_text(encoding='utf-8')}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
