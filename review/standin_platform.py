"""Stand-ins of the platform for the scripts of this folder: the store (a log), workers, callers and
the starter of the processes. All of them follow PROTOCOL.md and DEPLOY.md and use loopback only.

Each worker and the store is a small HTTP server in this process; the agents are real processes,
each with an address of its own in 127.0.0.0/8.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "queue.example"
PREFIX = "/batch/"
ROUTE = {"name": "r-batch", "host": HOST, "path-prefix": PREFIX, "service": "compile-svc",
         "priority": 1, "max-attempts": 3, "stretch": 4.0, "target-latency-ms": 3000}


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def now_ms():
    return int(time.monotonic() * 1000)


async def read_request(reader):
    """One request: method, target, header fields, body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return method, target, fields, body


def response(status, body=b"", content="application/json"):
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {content}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(handler, reader, writer):
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            answer = await handler(*request)
            if answer is None:
                break
            writer.write(answer)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.times = []
        self.free_at = 0.0
        self.news = asyncio.Event()


class Store:
    """The platform's log. keep_s, append_ms, record and call sizes as in the settings."""

    def __init__(self, record, keep_s=20, append_ms=2.0, record_bytes=262144, call_bytes=2097152):
        self.record = record
        self.keep_s = keep_s
        self.append_ms = append_ms
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.partitions = {}
        self.newest = {}
        self.rejected = 0
        self.largest_call = 0
        self.largest_record = 0
        self.address = None

    async def start(self):
        server = await asyncio.start_server(lambda r, w: serve(self.handle, r, w), "127.0.0.1", 0,
                                            limit=1 << 25)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return server

    def partition(self, topic):
        return self.partitions.setdefault(topic, Partition())

    def expire(self, part):
        """Deletes the oldest records after keep_s."""
        limit = time.monotonic() - self.keep_s
        n = 0
        while n < len(part.times) and part.times[n] < limit:
            n += 1
        if n:
            del part.records[:n]
            del part.times[:n]
            part.first += n

    def store(self, topic, records):
        part = self.partition(topic)
        self.expire(part)
        offset = part.first + len(part.records)
        now = time.monotonic()
        for data in records:
            part.records.append(data)
            part.times.append(now)
            if topic.startswith("keyed."):
                length = data[0]
                key = data[1:1 + length].decode()
                value = data[1 + length:]
                keys = self.newest.setdefault(topic, {})
                if value:
                    keys[key] = (offset, value)
                else:
                    keys.pop(key, None)
            offset += 1
        part.news.set()
        part.news = asyncio.Event()

    def write_key(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        self.store(topic, [bytes([len(key)]) + key.encode() + data])

    async def append(self, topic, body):
        records = []
        at = 0
        while at < len(body):
            size = struct.unpack_from(">I", body, at)[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        largest = max(map(len, records), default=0)
        self.largest_call = max(self.largest_call, len(body))
        self.largest_record = max(self.largest_record, largest)
        if largest > self.record_bytes or len(body) > self.call_bytes:
            self.rejected += 1
            self.record(f"store: append to {topic} rejected, {len(body)} bytes in {len(records)} "
                        f"records, the largest of {largest}")
            return response(400)
        part = self.partition(topic)
        now = time.monotonic()
        if part.free_at - now > 2:
            return response(503)
        part.free_at = max(part.free_at, now) + self.append_ms / 1000 + len(body) / 20e6
        await asyncio.sleep(part.free_at - now)
        offset = part.first + len(part.records)
        self.store(topic, records)
        return response(200, json.dumps({"offset": offset, "end": offset + len(records)}).encode())

    async def read(self, query):
        part = self.partition(query["topic"])
        start = int(query["from"])
        room = int(query.get("max-kb", 1024)) * 1024
        end_by = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            self.expire(part)
            if start < part.first:
                return response(410, json.dumps({"first": part.first}).encode())
            left = end_by - time.monotonic()
            if start < part.first + len(part.records) or left <= 0:
                break
            try:
                await asyncio.wait_for(part.news.wait(), left)
            except asyncio.TimeoutError:
                pass
        parts = [struct.pack(">QQ", part.first + len(part.records), part.first)]
        used = 0
        for data in part.records[start - part.first:]:
            # The first record is returned whatever its size.
            if used and used + len(data) + 4 > room:
                break
            used += len(data) + 4
            parts.append(struct.pack(">I", len(data)) + data)
        return response(200, b"".join(parts), "application/octet-stream")

    def read_newest(self, query):
        keys = self.newest.get(query["topic"], {})
        after = query.get("after", "")
        names = sorted(k for k in keys if k > after)
        items = [{"key": k, "value": base64.b64encode(keys[k][1]).decode(), "offset": keys[k][0]}
                 for k in names[:500]]
        part = self.partition(query["topic"])
        return response(200, json.dumps({"items": items, "has-more": len(names) > 500,
                                         "end": part.first + len(part.records)}).encode())

    async def handle(self, method, target, fields, body):
        path, _, text = target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&") if item)
        if path == "/api/log-append":
            return await self.append(query["topic"], body)
        if path == "/api/log-read":
            return await self.read(query)
        if path == "/api/log-newest":
            return self.read_newest(query)
        return response(404)


class Worker:
    """A worker that runs tasks for their time and lists them. It guards nothing but its lease."""

    def __init__(self, record, store, name, service="compile-svc", cpu=32000, mem=65536,
                 run_ms=lambda task: 500, checkpoint_ms=0, quiet=False, labels=()):
        self.record = record
        self.store = store
        self.id = name
        self.service = service
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.run_ms = run_ms
        self.checkpoint_ms = checkpoint_ms
        self.quiet = quiet
        self.labels = ["kind-a", "r1-1", *labels]
        # While this is set, run-start is rejected: "429 or 503 from an unhealthy worker, which has
        # then done nothing".
        self.unhealthy = False
        # While this is set the worker is down: channels are reset.
        self.down = False
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.zero = now_ms()
        self.running = {}
        self.finished = []
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.highest = {}
        self.sequence = 0
        self.news = asyncio.Event()
        self.started_tasks = 0
        self.begun = set()
        self.done_tasks = 0

    def clock(self):
        return now_ms() - self.zero + 1000

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.work())

    async def accept(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await serve(self.handle, reader, writer)
        finally:
            self.writers.discard(writer)

    async def crash(self, down_s):
        """The worker loses all and starts again under its id."""
        self.record(f"{self.id}: crashes with {len(self.running)} runs, for {down_s} s")
        self.down = True
        for writer in list(self.writers):
            writer.transport.abort()
        self.running.clear()
        await asyncio.sleep(down_s)
        self.finished = []
        self.highest = {}
        self.seq = self.fence = self.lease_ms = self.sequence = 0
        self.zero = now_ms()
        self.born = int(time.time() * 1000)
        self.down = False
        self.record(f"{self.id}: is back")
        self.write_entry()

    async def beat(self):
        while True:
            if not self.down:
                self.write_entry()
            await asyncio.sleep(1.5)

    def write_entry(self):
        self.sequence += 1
        self.store.write_key("keyed.servers", self.id, {
            "service": self.service, "address": self.address, "zone": "lahore-gulberg",
            "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels,
            "born": self.born, "clock-ms": self.clock()})

    def end(self, key, how, saved=""):
        task, run = key
        del self.running[key]
        self.seq += 1
        self.finished.append([self.seq, task, run, how, saved])
        self.highest[task] = max(run, self.highest.get(task, 0))
        if not self.quiet:
            self.record(f"{self.id}: end {task} run {run} {how}")
        if how == "done":
            self.done_tasks += 1
        self.news.set()
        self.news = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for key, run in list(self.running.items()):
                if now > self.lease_ms:
                    self.end(key, "lapsed")
                elif run["until"] is not None and now >= run["until"]:
                    self.end(key, "done")

    def reply(self, status, more=None):
        body = {"clock-ms": self.clock()}
        body.update(more or {})
        return response(status, json.dumps(body).encode())

    def extend(self, deadline):
        if deadline:
            self.lease_ms = max(self.lease_ms, min(deadline, self.clock() + 10000))

    async def handle(self, method, target, fields, body):
        if fields.get("expect-instance", self.id) != self.id:
            return self.reply(421)
        if target not in ("/api/run-start", "/api/run-stop", "/api/hold"):
            return response(404)
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return self.reply(409, {"reason": "fence"})
        self.fence = order.get("fence", 0)
        if target == "/api/hold":
            return await self.hold(order)
        key = (order["task"], order["run"])
        if target == "/api/run-stop":
            self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
            if key in self.running:
                self.end(key, "stopped", self.checkpoint(self.running[key]))
            return self.reply(200)
        if self.unhealthy:
            self.record(f"{self.id}: start {key[0]} run {key[1]} rejected with 503")
            return self.reply(503)
        if key in self.running:
            return self.reply(200)
        if order.get("deadline-ms", 0) and order["deadline-ms"] < self.clock():
            return self.reply(409, {"reason": "late"})
        self.extend(order.get("deadline-ms", 0))
        if key[1] <= self.highest.get(key[0], 0):
            return self.reply(409, {"reason": "old"})
        ms = self.run_ms(key[0])
        self.running[key] = {"since": self.clock(), "until": None if ms is None
                             else self.clock() + ms, "spec": order["spec"]}
        self.started_tasks += 1
        self.begun.add(key[0])
        if not self.quiet:
            self.record(f"{self.id}: start {key[0]} run {key[1]} fence {self.fence}")
        return self.reply(200)

    def checkpoint(self, run):
        if not self.checkpoint_ms:
            return ""
        n = (self.clock() - run["since"]) // self.checkpoint_ms
        return "%08x%08x" % (n, run["since"] & 0xffffffff) if n else ""

    async def hold(self, order):
        self.extend(order.get("deadline-ms", 0))
        ack = order.get("ack-seq", 0)
        self.finished = [row for row in self.finished if row[0] > ack]
        if order.get("wait-ms") and not self.finished:
            try:
                await asyncio.wait_for(self.news.wait(), order["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[task, run, self.checkpoint(state), 100, 0]
                for (task, run), state in self.running.items()]
        return self.reply(200, {"running": rows, "finished": self.finished[:500],
                                "born": self.born})


class Agent:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, system, number):
        self.system = system
        self.number = number
        self.ip = system.ips[number]
        self.process = None
        self.lives = 0

    def settings(self):
        system = self.system
        return {
            "node": f"front-lahore-gulberg-{self.number + 1}", "role": "scheduler",
            "machine-class": "front", "serves": ["front"], "ip": self.ip,
            "zone": "lahore-gulberg", "region": "lahore",
            "port-range": [7380, 7395], "seeds": [], "bootstrap": self.lives == 0,
            "in-tolerance": False, "discovery": "platform", "entry": "vip",
            "heartbeat-ms": 1500, "contracts": ["base", "drain", "config", "cost", "recover",
                                                "sched", "platform", "advice", "upkeep",
                                                "sharing"],
            "commands": "rpc", "recommendation": "",
            "zones": {"lahore-gulberg": "lahore"},
            "listen": {"front": f"{self.ip}:8149", "ready": f"{self.ip}:8141"},
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": system.memory_mb,
                       "max-fds": 4100, "bandwidth-mbps": 1000.0, "disk-mb": 0},
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
                       "sync-s": 4, "drain-ms": 2500, "grace-s": 6, "slack-ms": 200,
                       "apply-ms": 2500, "rollback-slack-ms": 250, "max-skew-ms": 5000,
                       "recovery-s": 12, "hold-max-ms": 10000, "stop-ms": 900,
                       "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                       "early_ms": 250, "finish_s": 14, "status_s": 120, "remote-factor": 2,
                       "checkpoint-s": 2, "restore-ms": 100, "notice-ms": 4500,
                       "migrate-s": 1.5, "maintenance-s": 2, "enforce-fencing": False,
                       "lease-ms": 3000, "thaw-ms": 300, "rate-window-ms": 100,
                       "impact-ms": 4000},
            "platform": {"address": system.store.address, "form": "log", "writes-per-s": 600,
                         "reads-per-s": 2000, "parts": 12, "append-ms": system.store.append_ms,
                         "partition-mb-s": 20.0, "read-mb-s": 80.0,
                         "record-bytes": system.store.record_bytes,
                         "call-bytes": system.store.call_bytes, "keep_s": system.store.keep_s,
                         "part-mb": 200, "min-ttl-ms": 1000},
            "cloud": {"address": "127.0.0.1:9", "rate-per-s": 60.0, "duties": [],
                      "duty-per-s": 60.0},
        }

    async def start(self):
        path = self.system.folder / f"settings-{self.number}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        self.lives += 1
        log = open(self.system.folder / f"agent-{self.number}.log", "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "LANG": "C.UTF-8", "GSETTINGS_BACKEND": "memory", "GIO_USE_VFS": "local",
               "GIO_MODULE_DIR": "/nonexistent", "BAMBOOTHREAD_BOOT": str(path)}
        self.process = await asyncio.create_subprocess_exec(
            "target/platform/bamboothread-agent", cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.system.record(f"agent {self.number}: started, process {self.process.pid}")

    async def kill(self, why):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()
        self.system.record(f"agent {self.number}: killed ({why})")

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576
        except (OSError, IndexError, AttributeError):
            return 0.0

    async def call(self, method, path, body=None, timeout=3.0, host=HOST):
        """A request of a caller on a channel of its own. Returns status and body, or 0."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 8149), timeout)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline: "
                          f"{int(timeout * 1000)}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode()
                         + data)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout + 1)
            status = int(head.split(b" ", 2)[1])
            rest = await asyncio.wait_for(reader.read(), timeout + 1)
            return status, rest
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8141), 1)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False


class System:
    """A small deployment: a store, workers and agents."""

    def __init__(self, folder, n_agents=3, memory_mb=260, **store):
        self.here = pathlib.Path(folder)
        self.record = Record(folder)
        self.temp = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(os.environ.get("KEEP", self.temp.name))
        self.memory_mb = memory_mb
        self.store = Store(self.record, **store)
        net = random.randrange(2, 250)
        self.ips = [f"127.77.{net}.{i + 2}" for i in range(n_agents)]
        self.agents = [Agent(self, i) for i in range(n_agents)]
        self.workers = []

    async def begin(self, routes=None):
        await self.store.start()
        self.store.write_key("keyed.op", "config", {
            "version": 3, "routes": routes or [ROUTE],
            "services": [{"name": "compile-svc", "preconditions": False}],
            "limits": {"max-body-bytes": 262144}})
        for worker in self.workers:
            await worker.start()
        for agent in self.agents:
            await agent.start()
        return await self.until(self.all_ready, 30, "the agents to be ready")

    async def all_ready(self):
        return all([await agent.is_ready() for agent in self.agents])

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.2)
        self.record(f"waited {seconds} s for {what} in vain")
        return False

    async def kill_all(self, down_s):
        """All processes are killed at once and start again (herd_kill)."""
        for agent in self.agents:
            await agent.kill("all at once")
        await asyncio.sleep(down_s)
        for agent in self.agents:
            await agent.start()

    async def finish(self):
        for agent in self.agents:
            await agent.kill("end of the test")


def run(main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def whole():
        system = None
        try:
            system, work = main(trouble)
            return await asyncio.wait_for(work, 115)
        except asyncio.TimeoutError:
            system.record("not over after 115 s")
            return 2
        except Exception as error:  # pylint: disable=broad-except
            # A fault of the test itself is no fault of the system.
            if system is not None:
                system.record(f"the test itself failed: {error!r}")
            return 2
        finally:
            if system is not None:
                await system.finish()

    code = asyncio.run(whole())
    print({0: "held", 1: "BROKEN", 2: "couldn't run"}[code])
    sys.exit(code)
