"""Stand-ins of the platform's store, of workers and of consumers, and a starter of agents.

They speak what PROTOCOL.md says of the store ("a log"), of workers ("rpc") and of consumers, and
behave like sound peers where it says nothing. All sockets are on loopback addresses. A case
brings its own disruption through the hooks of Store and Worker and through signals to agents.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
AGENT = os.path.join(ROOT, "target/platform/bamboothread-agent")
HOST = "jobs.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The variables that the deploy file sets for the role.
AGENT_ENV = {"GSETTINGS_BACKEND": "memory", "GIO_USE_VFS": "local", "GIO_MODULE_DIR": "/nonexistent"}
# Bounds as on the sheets of SYSTEM.md.
BOUNDS = {
    "contact-ms": 3000, "ack-ms": 4000, "sync-s": 4, "drain-ms": 2500, "grace-s": 6, "slack-ms": 200,
    "apply-ms": 2500, "hold-max-ms": 10000, "stop-ms": 900, "gang-timeout-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint-s": 2, "restore-ms": 100, "lease-ms": 3000, "enforce-fencing": False,
}


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Hang(Exception):
    """Raised by a handler: the request gets no answer, and its channel returns nothing further."""


class HttpServer:
    """An HTTP/1.1 server; handle(method, target, headers, body) returns (status, type, body)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.writers = set()

    async def open(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def close(self):
        """Ends the server and resets its channels, as the end of its process would."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode("latin-1").strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, kind, data = await self.handle(method, target, headers, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                    % (status, kind.encode(), len(data)) + data)
                await writer.drain()
        except Hang:
            await asyncio.sleep(3600)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def as_json(status, value):
    return status, "application/json", json.dumps(value, separators=(",", ":")).encode()


class Topic:
    def __init__(self):
        self.records = []  # (offset, time, data)
        self.first = 0
        self.end = 0
        self.newest = {}  # of a keyed topic: key to (offset, value)


class Store:
    """The platform's store, a log with one partition a topic.

    Each caller gets an address of its own, so that a case can tell them apart. before_call(caller,
    path, query, body) may be set by a case: a coroutine function that runs before a call is looked
    at, and may raise Hang.
    """

    def __init__(self, keep_s=300):
        self.keep_s = keep_s
        self.topics = {}
        self.changed = asyncio.Event()
        self.before_call = None
        self.servers = []

    async def open_for(self, caller):
        """Opens an address for a caller and returns it."""

        async def handle(method, target, headers, body):
            return await self.handle(caller, target, body)

        server = HttpServer(handle)
        await server.open()
        self.servers.append(server)
        return server.address

    def topic(self, name):
        topic = self.topics.setdefault(name, Topic())
        if not name.startswith("keyed."):
            limit = time.monotonic() - self.keep_s
            while topic.records and topic.records[0][1] < limit:
                topic.records.pop(0)
            topic.first = topic.records[0][0] if topic.records else topic.end
        return topic

    def append(self, name, records):
        topic = self.topic(name)
        offset = topic.end
        for data in records:
            if name.startswith("keyed."):
                key = data[1:1 + data[0]]
                value = data[1 + data[0]:]
                topic.newest.pop(key, None)
                if value:
                    topic.newest[key] = (topic.end, value)
            topic.records.append((topic.end, time.monotonic(), data))
            topic.end += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, name, key, value):
        """The operator or a worker writes a keyed record; bytes, or what is to be sent as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.append(name, [bytes([len(key)]) + key.encode() + data])

    async def handle(self, caller, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.before_call is not None:
            await self.before_call(caller, url.path, query, body)
        name = query.get("topic", "")
        if url.path == "/api/log-append":
            await asyncio.sleep(0.004)
            offset = self.append(name, split_records(body))
            return as_json(200, {"offset": offset, "end": self.topic(name).end})
        if url.path == "/api/log-read":
            return await self.read(name, int(query["from"]), int(query.get("max-kb", "1024")) * 1024,
                                   int(query.get("wait-ms", "0")))
        if url.path == "/api/log-newest":
            await asyncio.sleep(0.004)
            topic = self.topic(name)
            after = query.get("after", "").encode()
            keys = sorted(k for k in topic.newest if k > after or not after)
            items = [{"key": k.decode(), "value": base64.b64encode(topic.newest[k][1]).decode(),
                      "offset": topic.newest[k][0]} for k in keys[:500]]
            return as_json(200, {"items": items, "has-more": len(keys) > 500, "end": topic.end})
        return as_json(400, {})

    async def read(self, name, start, max_bytes, wait_ms):
        await asyncio.sleep(0.004)
        until = time.monotonic() + wait_ms / 1000
        while True:
            topic = self.topic(name)
            if start < topic.first:
                return as_json(410, {"first": topic.first})
            if start < topic.end or time.monotonic() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", topic.end, topic.first)]
        size = 0
        for offset, _, data in topic.records[max(start - topic.first, 0) if topic.records else 0:]:
            if offset < start:
                continue
            if size > 0 and size + len(data) > max_bytes:
                break
            out.append(struct.pack(">I", len(data)) + data)
            size += len(data)
        return 200, "application/octet-stream", b"".join(out)


def split_records(body):
    records = []
    at = 0
    while at < len(body):
        size = struct.unpack_from(">I", body, at)[0]
        records.append(body[at + 4:at + 4 + size])
        at += 4 + size
    return records


class Run:
    def __init__(self, task, number, spec, end_at):
        self.task = task
        self.number = number
        self.spec = spec
        self.end_at = end_at


class Worker:
    """One worker; restart() begins a new life at the same id and address.

    work_ms(task) says how long a task works; None if it lasts.
    """

    def __init__(self, store, record, ident, service, cpu, mem, labels, work_ms, heartbeat_s=1.5):
        self.age_s = 60  # it was up before the agents were started
        self.store = store
        self.record = record
        self.id = ident
        self.service = service
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.labels = labels
        self.work_ms = work_ms
        self.heartbeat_s = heartbeat_s
        self.http = HttpServer(self.handle)
        self.address = None
        self.started = []  # (time, task, run, spec, labels)
        self.ended = []  # (time, task, run, how)
        self.tasks = []
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def begin_life(self):
        self.born = int((time.time() - self.age_s) * 1000)
        self.life_began = time.monotonic() - self.age_s
        self.age_s = 0
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.stopped = {}
        self.ends = []
        self.last_end = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.up = True
        if self.address is None:
            await self.http.open()
            self.address = self.http.address
        else:
            ip, port = self.address.split(":")
            await self.http.open(ip, int(port))
        self.write_entry()
        self.tasks = [asyncio.ensure_future(self.live()), asyncio.ensure_future(self.beat())]

    async def crash(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            self.record.write(f"worker {self.id} lost {run.task} run {run.number} in a crash")
            self.ended.append((self.record.now(), run.task, run.number, "crashed"))
        self.runs = {}
        await self.http.close()

    def cut_off(self):
        """No call arrives and no answer leaves until heal(); what runs goes on."""
        self.reachable.clear()

    def heal(self):
        """Calls that were on their way are lost with their channels."""
        for writer in list(self.http.writers):
            writer.transport.abort()
        self.reachable.set()

    def clock_ms(self):
        return int((time.monotonic() - self.life_began) * 1000)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-remaining-ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock-ms": self.clock_ms(), "born": self.born,
                "sequence": self.sequence}

    def write_entry(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            await self.reachable.wait()
            self.write_entry()

    def finish(self, run, how):
        del self.runs[run.task]
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record.write(f"worker {self.id} ended {run.task} run {run.number} {how}")
        self.ended.append((self.record.now(), run.task, run.number, how))
        self.changed.set()
        self.changed = asyncio.Event()

    async def live(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock_ms() > self.deadline_ms:
                    self.finish(run, "lapsed")
                elif run.end_at is not None and now >= run.end_at:
                    self.finish(run, "done")

    def reply(self, status, **more):
        return as_json(status, {"clock-ms": self.clock_ms(), "born": self.born, **more})

    def extend(self, order):
        wanted = order.get("deadline-ms", 0)
        self.deadline_ms = max(self.deadline_ms,
                               min(wanted, self.clock_ms() + BOUNDS["hold-max-ms"]))

    async def handle(self, method, target, headers, body):
        if not self.reachable.is_set():
            raise Hang
        reply = await self.answer(target, headers, body)
        if not self.reachable.is_set():
            raise Hang
        return reply

    async def answer(self, target, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return self.reply(421)
        order = json.loads(body) if body else {}
        fence = order.get("fence", 0)
        if fence < self.fence:
            return self.reply(409, reason="fence")
        self.fence = fence
        if target == "/api/run-start":
            return self.start(order)
        if target == "/api/run-stop":
            run = self.runs.get(order["task"])
            self.stopped[order["task"]] = max(self.stopped.get(order["task"], 0), order["run"])
            if run is not None and run.number <= order["run"]:
                self.finish(run, "stopped")
            return self.reply(200)
        if target == "/api/hold":
            return await self.hold(order)
        return self.reply(400)

    def start(self, order):
        self.extend(order)
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return self.reply(200)
        if run is not None or number <= self.stopped.get(task, 0):
            return self.reply(409, reason="old")
        if order.get("deadline-ms", 0) <= self.clock_ms():
            return self.reply(409, reason="late")
        work = self.work_ms(task)
        end_at = None if work is None else time.monotonic() + work / 1000
        self.runs[task] = Run(task, number, order["spec"], end_at)
        self.started.append((self.record.now(), task, number, order["spec"], list(self.labels)))
        self.record.write(f"worker {self.id} {self.labels} started {task} run {number}")
        return self.reply(200)

    async def hold(self, order):
        self.extend(order)
        acked = order.get("ack-seq", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[run.task, run.number, "", 100, 0] for run in self.runs.values()]
        return self.reply(200, running=running, finished=self.ends[:500])


class Agent:
    """A process of the scheduler, started as the deploy file says."""

    def __init__(self, folder, number, net, store_address, keep_s):
        self.name = f"front-{number}"
        self.ip = f"127.{net[0]}.{net[1]}.{10 + number}"
        self.process = None
        self.log = os.path.join(folder, self.name + ".log")
        self.boot = os.path.join(folder, self.name + ".json")
        ports = free_ports(self.ip, 3)
        self.front = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        settings = {
            "node": self.name, "role": "scheduler", "machine-class": "front", "serves": ["front"],
            "ip": self.ip, "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a"},
            "listen": {"front": self.front, "ready": self.ready},
            "port-range": [ports[2], ports[2]], "seeds": [], "bootstrap": True,
            "in-tolerance": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "bandwidth-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "commands": "rpc", "recommendation": "",
            "platform": {"address": store_address, "form": "log", "writes-per-s": 600,
                         "reads-per-s": 2000, "parts": 12, "append-ms": 2.0,
                         "partition-mb-s": 20.0, "read-mb-s": 80.0, "record-bytes": 262144,
                         "call-bytes": 2097152, "keep_s": keep_s, "part-mb": 200,
                         "min-ttl-ms": 1000},
        }
        with open(self.boot, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "BAMBOOTHREAD_BOOT": self.boot, **AGENT_ENV}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                AGENT, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()


def free_ports(ip, n):
    sockets = []
    for _ in range(n):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def call(address, method, path, body=None, timeout_s=3.0, deadline_ms=None):
    """A call of a consumer or of the platform; returns (status, body), (0, None) if unanswered."""
    writer = None

    async def talk():
        nonlocal writer
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        deadline = int(timeout_s * 1000) if deadline_ms is None else deadline_ms
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline: {deadline}\r\n"
                      f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
                     .encode() + data)
        status = int((await reader.readline()).split()[1])
        length = 0
        while True:
            line = (await reader.readline()).decode("latin-1").strip().lower()
            if not line:
                break
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        return status, await reader.readexactly(length)

    try:
        return await asyncio.wait_for(talk(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Scene:
    """A store, workers and agents, and what consumers send to them."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="bamboothread-review-")
        self.net = (random.randint(10, 250), random.randint(1, 250))
        self.keep_s = None
        self.store = None
        self.agents = []
        self.workers = []

    async def open(self, n_agents, routes, services, keep_s=300):
        if not os.access(AGENT, os.X_OK):
            raise CannotRun("the agent isn't built")
        self.store = Store(keep_s)
        self.keep_s = keep_s
        self.version = 3
        self.put_tables(routes, services)
        for number in range(n_agents):
            address = await self.store.open_for(f"front-{number + 1}")
            self.agents.append(Agent(self.folder, number + 1, self.net, address, keep_s))

    def put_tables(self, routes, services):
        rows = [{"name": "r-" + prefix.strip("/"), "host": HOST, "path-prefix": prefix,
                 "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 3000,
                 "priority": 1, "service": service, "max-attempts": 3, "stretch": 4.0}
                for prefix, service in routes.items()]
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": rows,
            "services": [{"name": name, "health-path": "/health", "max-conns": 64,
                          "preconditions": False} for name in services],
            "limits": {"max-body-bytes": 262144}})

    async def add_worker(self, *args, **kwargs):
        worker = Worker(self.store, self.record, *args, **kwargs)
        await worker.begin_life()
        self.workers.append(worker)
        return worker

    async def start_agents(self):
        await asyncio.gather(*(agent.start() for agent in self.agents))
        await self.wait_ready()

    async def wait_ready(self, limit_s=15.0):
        until = time.monotonic() + limit_s
        for agent in self.agents:
            while (await call(agent.ready, "GET", "/api/ready", timeout_s=0.5))[0] != 200:
                if time.monotonic() > until or not agent.is_running():
                    raise CannotRun(f"{agent.name} doesn't become ready")
                await asyncio.sleep(0.1)

    async def ask(self, agent, method, path, body=None, timeout_s=3.0, deadline_ms=None):
        status, data = await call(agent.front, method, path, body, timeout_s, deadline_ms)
        text = "" if not data else " " + data.decode("utf-8", "replace")
        self.record.write(f"consumer {method} {path} at {agent.name}: "
                          f"{status if status else 'no answer'}{text}")
        return status, json.loads(data) if data else None

    def owner(self):
        """The agent that the newest log lines name as the owner."""
        newest = (0, None)
        for agent in self.agents:
            for line in agent.log_text().splitlines():
                if "event=owner " in line and "owner=none" not in line:
                    term = int(line.split("term=")[1].split()[0])
                    name = line.split("owner=")[-1].split("/")[0]
                    newest = max(newest, (term, name))
        return next((a for a in self.agents if a.name == newest[1]), None)

    def starts(self):
        return sorted(start for worker in self.workers for start in worker.started)

    async def close(self, keep_logs):
        for agent in self.agents:
            agent.send_signal(signal.SIGCONT)
            await agent.kill()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        if keep_logs:
            for agent in self.agents:
                if os.path.exists(agent.log):
                    shutil.copy(agent.log, keep_logs)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, limit_s=115):
    """Plays a case: play(scene) returns why the rule is broken, or None. Ends the program."""

    async def main():
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        scene = Scene(folder)
        try:
            broken = await asyncio.wait_for(play(scene), limit_s)
        except (Exception, asyncio.CancelledError) as error:  # says nothing about the rule
            scene.record.write(f"the case couldn't run: {error!r}")
            print(f"couldn't run: {error!r}")
            return 2
        finally:
            await scene.close(os.environ.get("KEEP_LOGS"))
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
        scene.record.write(verdict)
        print(verdict)
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
