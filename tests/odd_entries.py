#!/usr/bin/env python3
"""Odd entries of another writer among those of the workers, against real processes.

Starts two agents with stand-ins of the store and of workers on loopback addresses. Guards against
an agent that ends, stops following the registry or sends tasks astray for one odd entry: after each
one a worker is added that alone has the label that the next job requires, and the job has to end.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review"))
import standin  # noqa: E402

# Brackets that overflow a stack of 8 MB if each of them is a call, and fit into a record.
DEEP = 100000
# An agent reads the registry every 0.9 s, and a job takes 0.1 s.
FOLLOW_S = 12
JOB_MS = 100
WORKER_CPU = 8000
N_SCENES = 4
WRAPS = "port_wraps_to_a_worker"


def entry(**fields):
    plain = {"service": "svc", "address": "127.0.0.1:9", "zone": "z", "version": "1", "slots": 8,
             "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1700000000000,
             "labels": ["odd"], "capacity": {"cpu": 64000, "mem-mb": 65536, "gpu": 0}}
    plain.update(fields)
    return json.dumps(plain).encode()


def nested(before, after=b""):
    return before + b"[" * DEEP + b"]" * DEEP + after


# name: (key, value)
ODD = {
    "nested": ("odd", nested(b'{"x":', b"}")),
    "nested_behind_a_comment": ("odd", nested(b'/*"*/')),
    "nested_behind_a_single_quote": ("odd", nested(b"['\"',", b"]")),
    "unfinished_nesting": ("odd", b'/*"*/' + b"[" * DEEP),
    "nested_objects": ("odd", b'/*"*/' + b'{"a":' * DEEP),
    "number_of_many_digits": ("odd", entry(born=10 ** 30)),
    "number_that_overflows": ("odd", entry().replace(b"1700000000000", b"1e999")),
    "capacity_too_large": ("odd", entry(capacity={"cpu": 2 ** 64, "mem-mb": 1e300, "gpu": 2 ** 32})),
    "capacity_at_the_limit": ("odd", entry(capacity={"cpu": 2 ** 32 - 1, "mem-mb": 2 ** 32 - 1,
                                                     "gpu": 2 ** 32 - 1})),
    "port_out_of_range": ("odd", entry(address="127.0.0.1:65536")),
    "port_zero": ("odd", entry(address="127.0.0.1:0")),
    "port_missing": ("odd", entry(address="127.0.0.1:")),
    "port_of_many_digits": ("odd", entry(address="127.0.0.1:" + "9" * 40)),
    "address_is_a_name": ("odd", entry(address="worker.invalid:80")),
    "address_out_of_range": ("odd", entry(address="127.0.0.256:80")),
    "address_is_empty": ("odd", entry(address=":")),
    "id_with_line_ends": ("odd\r\nX: y", entry()),
    "id_is_empty": ("", entry()),
    "not_json": ("odd", b"\xff\xfe\x00{"),
    "other_types": ("odd", entry(labels={"a": 1}, state=7, zone=[])),
    **{f"{field}_of_another_type": ("odd", entry(**{field: [{"a": 1}]})) for field in (
        "service", "address", "zone", "version", "slots", "state", "cold-remaining-ms", "sequence",
        "born", "labels", "capacity", "remaining-ms")},
}

# name: records of the topics that agents read beside the registry
RECORDS = {
    "tables_nested": ("keyed.op", b"\x06config" + nested(b'/*"*/')),
    "tables_with_large_numbers": ("keyed.op", b"\x06config" + b'{"version":1e300,"routes":[]}'),
    "tables_cut_off": ("keyed.op", b"\x06config" + b'{"version":99,"routes":['),
    "journal_of_other_bytes": ("journal", b"\xff" * 100),
    "journal_nested": ("journal", nested(b'/*"*/')),
    "journal_empty": ("journal", b""),
    "journal_kept_nested": ("journal", b"\x4a\x7f" + b"\x0a\x7f" * 60),
}


def port_wraps_to(worker):
    """An address whose port has more than 16 bits, the lower ones those of a worker."""
    host, port = worker.address.split(":")
    return f"{host}:{int(port) + 65536}"


class Play:
    def __init__(self, scene):
        self.scene = scene
        self.n_jobs = 0

    async def is_followed(self, name):
        """Whether a worker added now is used."""
        label = f"l-{name}"
        worker = await self.scene.add_worker(f"w-{name}", "svc", WORKER_CPU, 8192, [label],
                                             lambda task: JOB_MS)
        self.n_jobs += 1
        path = f"/jobs/{self.n_jobs:016x}"
        agent = self.scene.agents[self.n_jobs % len(self.scene.agents)]
        status, _ = await self.scene.ask(agent, "POST", path, {"spec": "s", "steps": [
            {"count": 1, "cpu": 1000, "mem-mb": 64, "requires": label}]})
        if status != 200:
            return f"the job was answered {status}"
        loop = asyncio.get_running_loop()
        until = loop.time() + FOLLOW_S
        while loop.time() < until:
            _, state = await self.scene.ask(agent, "GET", path)
            if state is not None and state["state"] == "completed":
                break
            await asyncio.sleep(0.1)
        else:
            return "the worker isn't used"
        await worker.crash()
        self.scene.store.put("keyed.servers", worker.id, b"")
        return None

    async def play_record(self, name, topic, record):
        self.scene.store.append(topic, [record])
        wrong = await self.is_followed(name)
        if topic == "keyed.op":
            self.scene.put_tables({"/jobs/": "svc"}, ["svc"])
        ended = await self.stop_if_ended()
        return ended or wrong

    async def play_entry(self, name, key, value):
        self.scene.store.put("keyed.servers", key, value)
        wrong = await self.is_followed(name)
        self.scene.store.put("keyed.servers", key, b"")
        ended = await self.stop_if_ended()
        if ended:
            await self.scene.start_agents()
        return ended or wrong

    async def stop_if_ended(self):
        """Which agents have ended, or None. The others are ended, too."""
        ended = [agent.name for agent in self.scene.agents if not agent.is_running()]
        if not ended:
            return None
        for agent in self.scene.agents:
            await agent.kill()
        return f"{', '.join(ended)} ended"


async def play(scene, names):
    await scene.open(2, {"/jobs/": "svc"}, ["svc"])
    sound = await scene.add_worker("w", "svc", WORKER_CPU, 8192, ["sound"], lambda task: JOB_MS)
    await scene.start_agents()
    await asyncio.sleep(1.0)
    one = Play(scene)
    odd = {**ODD, WRAPS: ("odd", entry(address=port_wraps_to(sound)))}
    return {name: await (one.play_record(name, *RECORDS[name]) if name in RECORDS
                         else one.play_entry(name, *odd[name])) for name in names}


async def run_scene(folder, names):
    os.mkdir(folder)
    scene = standin.Scene(folder)
    try:
        return await play(scene, names)
    finally:
        await scene.close(os.environ.get("KEEP_LOGS"))


async def run(folder):
    """Plays the entries in some installations side by side: most of the time is spent on waiting."""
    names = [*ODD, WRAPS, *RECORDS]
    parts = await asyncio.gather(*(run_scene(os.path.join(folder, str(i)), names[i::N_SCENES])
                                   for i in range(N_SCENES)))
    return {name: text for part in parts for name, text in part.items()}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=str(ROOT / "build"), help="folder of the programs")
    args = parser.parse_args()
    standin.AGENT = os.path.join(args.build, "platform", "bamboothread-agent")
    with tempfile.TemporaryDirectory(prefix="bamboothread-entries-") as folder:
        results = asyncio.run(run(folder))
    failed = {name: text for name, text in results.items() if text is not None}
    for name, text in failed.items():
        print(f"tests/odd_entries.py:1:F:odd_entries:entry_{name}:0: {text}")
    print(f"counts: {len(results) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
