"""Stand-ins for the platform's store, workers, advice and consumers, as PROTOCOL.md has them.

A Platform keeps a store, an operator's manifest and workers on loopback addresses, starts the
processes of the deploy file, and writes what was sent, answered and run to a record.
"""
import asyncio
import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
AGENT = "target/platform/bamboothread-agent"  # `run` of deploy/system.toml
AGENT_ENV = {"GSETTINGS_BACKEND": "memory", "GIO_USE_VFS": "local", "GIO_MODULE_DIR": "/nonexistent"}

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}

# Bounds of the small sites (ravi-hq and cairnedge-bt), as `fleetbench wire` prints them.
BOUNDS = {"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2500, "grace-s": 6, "slack-ms": 200,
          "apply-ms": 2500, "recovery-s": 12, "hold-max-ms": 10000, "stop-ms": 900,
          "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
          "finish_s": 14, "status_s": 120, "checkpoint-s": 2, "restore-ms": 100,
          "notice-ms": 4500, "lease-ms": 3000}
RECORD_BYTES = 262144
CALL_BYTES = 2097152
KEEP_S = 20  # "20 s of history" in the sheets


class HttpServer(asyncio.Protocol):
    """One connection of a small HTTP/1.1 server. The handler is a coroutine or a function that
    returns (status, body), or None to leave the request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.buffer = bytearray()
        self.queue = []
        self.busy = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.handler.connections.add(transport)

    def connection_lost(self, _exc):
        self.handler.connections.discard(self.transport)

    def data_received(self, data):
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
            method, target, _version = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = bytes(self.buffer[end + 4:end + 4 + length])
            del self.buffer[:end + 4 + length]
            self.queue.append((method, target, headers, body))
            self.next()

    def next(self):
        if self.busy or not self.queue:
            return
        self.busy = True
        request = self.queue.pop(0)
        result = self.handler.handle(*request)
        if asyncio.iscoroutine(result):
            asyncio.get_running_loop().create_task(self.finish(result))
        else:
            self.respond(result)

    async def finish(self, coroutine):
        self.respond(await coroutine)

    def respond(self, result):
        self.busy = False
        if result is None:  # no answer: nothing more comes on this channel
            self.busy = True
            return
        status, body = result
        if isinstance(body, (dict, list)):
            body = json.dumps(body, separators=(",", ":")).encode()
        head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
            status, REASONS.get(status, ""), "application/json", len(body))
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)
        self.next()


class Log:
    def __init__(self, keyed):
        self.keyed = keyed
        self.first = 0
        self.records = []  # (time, bytes)
        self.newest = {}  # key -> (offset, value)
        self.arrived = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, data, now):
        if self.keyed:
            n = data[0]
            key = data[1:1 + n].decode("utf-8", "replace")
            if len(data) > 1 + n:
                self.newest[key] = (self.end, data[1 + n:])
            else:
                self.newest.pop(key, None)
        self.records.append((now, data))
        event, self.arrived = self.arrived, asyncio.Event()
        event.set()

    def expire(self, before):
        n = 0
        while n < len(self.records) and self.records[n][0] < before:
            n += 1
        if n > 0:
            del self.records[:n]
            self.first += n


class Store:
    def __init__(self, platform):
        self.platform = platform
        self.connections = set()
        self.logs = {}
        self.refused = 0
        self.largest_call = 0
        self.append_s = 0.004  # "4 ms an answer"
        self.way_s = 0.0  # there and back, for machines of another region than the store's

    def log(self, topic):
        if topic not in self.logs:
            self.logs[topic] = Log(topic.startswith("keyed."))
        log = self.logs[topic]
        log.expire(time.monotonic() - KEEP_S)
        return log

    def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "POST" and url.path == "/api/log-append":
            return self.append(query, body)
        if method == "GET" and url.path == "/api/log-read":
            return self.read(query)
        if method == "GET" and url.path == "/api/log-newest":
            return self.newest(query)
        return 404, {}

    async def append(self, query, body):
        records = []
        at = 0
        while at + 4 <= len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        largest = max(map(len, records), default=0)
        total = sum(map(len, records))
        self.largest_call = max(self.largest_call, total)
        if at != len(body) or largest > RECORD_BYTES or total > CALL_BYTES:
            self.refused += 1
            if self.refused <= 20:
                self.platform.note("store", "append refused: topic=%s records=%d largest=%d (at most %d) "
                                   "call=%d (at most %d)", query["topic"], len(records), largest,
                                   RECORD_BYTES, total, CALL_BYTES)
            return 400, {"reason": "size"}
        await asyncio.sleep(self.append_s + self.way_s)
        log = self.log(query["topic"])
        offset = log.end
        now = time.monotonic()
        for record in records:
            log.add(record, now)
        return 200, {"offset": offset, "end": log.end}

    async def read(self, query):
        log = self.log(query["topic"])
        start = int(query["from"])
        await asyncio.sleep(self.way_s)
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while start >= log.end and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(log.arrived.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        log = self.log(query["topic"])
        if start < log.first:
            return 410, {"first": log.first}
        out = [log.end.to_bytes(8, "big"), log.first.to_bytes(8, "big")]
        left = int(query.get("max-kb", "1024")) * 1024
        for _, data in log.records[start - log.first:]:
            # One record is always returned, as readers would not get on otherwise.
            if len(out) > 2 and left < len(data) + 4:
                break
            out.append(len(data).to_bytes(4, "big") + data)
            left -= len(data) + 4
        return 200, b"".join(out)

    def newest(self, query):
        log = self.log(query["topic"])
        keys = sorted(key for key in log.newest if key > query.get("after", ""))
        items = [{"key": key, "value": base64.b64encode(log.newest[key][1]).decode(),
                  "offset": log.newest[key][0]} for key in keys[:500]]
        return 200, {"items": items, "has-more": len(keys) > 500, "end": log.end}

    def put(self, topic, key, value):
        data = json.dumps(value, separators=(",", ":")).encode()
        self.log(topic).add(bytes([len(key)]) + key.encode() + data, time.monotonic())


class Worker:
    """A worker of the kind that starts whatever it is told to (`preconditions` is false)."""

    def __init__(self, platform, worker_id, service, cpu, mem_mb, labels, duration):
        self.platform = platform
        self.id = worker_id
        self.service = service
        self.capacity = {"cpu": cpu, "mem-mb": mem_mb, "gpu": 0}
        self.labels = labels
        self.duration = duration  # task name, spec -> seconds, or None for one that lasts
        self.way_s = 0.0  # there and back, for one in another region than the machines
        self.connections = set()
        self.server = None
        self.address = None
        self.sequence = 0
        self.up = False
        self.lives = 0

    async def listen(self):
        loop = asyncio.get_running_loop()
        port = int(self.address.split(":")[1]) if self.address else 0
        self.server = await loop.create_server(lambda: HttpServer(self), "127.0.0.1", port,
                                               reuse_address=True)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def begin(self):
        await self.listen()
        self.born_ms = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.running = {}  # task -> [run, began, saved, base, timer]
        self.finished = []
        self.last_end = 0
        self.barred = {}  # task -> highest run stopped or ended here
        self.deadline_ms = 0
        self.changed = asyncio.Event()
        self.up = True
        self.lives += 1
        self.beats = asyncio.get_running_loop().create_task(self.beat())
        self.leases = asyncio.get_running_loop().create_task(self.watch_lease())

    def crash(self):
        """Ends this life at once; channels are reset."""
        self.up = False
        self.beats.cancel()
        self.leases.cancel()
        self.server.close()
        for transport in list(self.connections):
            transport.abort()
        lost = ["%s run %d" % (task, run[0]) for task, run in self.running.items()]
        for run in self.running.values():
            if run[4] is not None:
                run[4].cancel()
        self.running = {}
        return lost

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def beat(self):
        while True:
            self.sequence += 1
            self.platform.store.put("keyed.servers", self.id, {
                "service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-remaining-ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock-ms": self.clock_ms(), "born": self.born_ms,
                "sequence": self.sequence})
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.deadline_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def checkpoint(self, run):
        worked = int(time.monotonic() - run[1])
        if worked >= BOUNDS["checkpoint-s"]:
            run[2] = "%016x" % (run[3] + worked)
        return run[2]

    def end(self, task, how):
        run = self.running.pop(task)
        if run[4] is not None:
            run[4].cancel()
        self.last_end += 1
        saved = "" if how == "done" else self.checkpoint(run)
        self.finished.append([self.last_end, task, run[0], how, saved])
        self.barred[task] = max(self.barred.get(task, 0), run[0])
        self.platform.on_end(self, task, run[0], how)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def handle(self, method, target, headers, body):
        return self.far(method, target, headers, body) if self.way_s > 0 else self.act(
            method, target, headers, body)

    async def far(self, *request):
        life = self.lives
        await asyncio.sleep(self.way_s / 2)
        if life != self.lives or not self.up:
            return None
        result = self.act(*request)
        if asyncio.iscoroutine(result):
            result = await result
        await asyncio.sleep(self.way_s / 2)
        return result

    def act(self, method, target, headers, body):
        if headers.get("expect-instance") not in (None, self.id):
            return 421, {"clock-ms": self.clock_ms()}
        if method != "POST":
            return 200, {}
        order = json.loads(body)
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if target == "/api/hold":
            return self.hold(order)
        if target == "/api/run-start":
            return self.start(order)
        if target == "/api/run-stop":
            return self.stop(order)
        return 404, {}

    def extend(self, order):
        asked = min(order.get("deadline-ms", 0), self.clock_ms() + BOUNDS["hold-max-ms"])
        self.deadline_ms = max(self.deadline_ms, asked)

    def start(self, order):
        task, run = order["task"], order["run"]
        if order["deadline-ms"] <= self.clock_ms():
            return 409, {"clock-ms": self.clock_ms(), "reason": "late"}
        self.extend(order)
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock-ms": self.clock_ms()}
        if task in self.running or run <= self.barred.get(task, 0):
            return 409, {"clock-ms": self.clock_ms(), "reason": "old"}
        seconds = self.duration(task, order["spec"])
        saved = order.get("checkpoint", "")
        timer = None
        if seconds is not None:
            timer = asyncio.get_running_loop().call_later(seconds, self.end, task, "done")
        self.running[task] = [run, time.monotonic(), saved, int(saved or "0", 16), timer]
        self.platform.on_start(self, task, run, fence=order.get("fence", 0))
        return 200, {"clock-ms": self.clock_ms()}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.barred[task] = max(self.barred.get(task, 0), run)
        if task in self.running and self.running[task][0] == run:
            self.end(task, "stopped")
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, order):
        self.extend(order)
        self.finished = [row for row in self.finished if row[0] > order.get("ack-seq", 0)]
        life, deadline = self.lives, time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline and life == self.lives:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        rows = [[task, run[0], self.checkpoint(run), 100, 0] for task, run in self.running.items()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born_ms, "running": rows,
                     "finished": self.finished[:500]}


class Platform:
    def __init__(self, folder, n_agents, keep_log=False):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.temporary = tempfile.mkdtemp(prefix="bamboothread-review-")
        self.store = Store(self)
        self.workers = []
        self.agents = {}
        self.names = ["front-%d" % (i + 1) for i in range(n_agents)]
        self.starts = []  # (time, task, run, worker, fence)
        self.ends = []  # (time, task, run, worker, how)
        self.quiet = False  # leave single starts and ends out of the record
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store_address = self.call(self.listen_store())
        self.write_settings()

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, text, *values):
        with self.lock:
            if not self.record.closed:
                self.record.write("%8.3f %s: %s\n" % (self.now(), who, text % values if values else text))
                self.record.flush()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def listen_store(self):
        server = await asyncio.get_running_loop().create_server(
            lambda: HttpServer(self.store), "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def on_start(self, worker, task, run, fence):
        self.starts.append((self.now(), task, run, worker.id, fence))
        if not self.quiet:
            self.note(worker.id, "starts %s run %d", task, run)

    def on_end(self, worker, task, run, how):
        self.ends.append((self.now(), task, run, worker.id, how))
        if not self.quiet:
            self.note(worker.id, "%s run %d ends %s", task, run, how)

    # Machines of the system: each has a loopback address of its own and the same ports.

    def write_settings(self):
        ports = free_ports(4, ["127.0.1.%d" % (i + 1) for i in range(len(self.names))])
        self.hosts = {}
        for i, name in enumerate(self.names):
            ip = "127.0.1.%d" % (i + 1)
            settings = {
                "node": name, "role": "scheduler", "machine-class": "front", "serves": ["front"],
                "ip": ip, "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a"},
                "listen": {"front": "%s:%d" % (ip, ports[0]), "ready": "%s:%d" % (ip, ports[1])},
                "port-range": [ports[2], ports[2] + 1], "seeds": [], "bootstrap": True,
                "in-tolerance": False,
                "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                           "bandwidth-mbps": 1000.0, "disk-mb": 0},
                "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
                "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                              "advice"],
                "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "commands": "rpc",
                "platform": {"address": self.store_address, "form": "log", "writes-per-s": 600,
                             "reads-per-s": 2000, "parts": 12, "append-ms": 2.0,
                             "partition-mb-s": 20.0, "read-mb-s": 80.0,
                             "record-bytes": RECORD_BYTES, "call-bytes": CALL_BYTES,
                             "keep_s": KEEP_S, "part-mb": 200, "min-ttl-ms": 1000}}
            path = os.path.join(self.temporary, name + ".json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.hosts[name] = (ip, ports[0], ports[1], path)

    def start_agent(self, name):
        log = open(os.path.join(self.temporary, name + ".log"), "a", encoding="utf-8")
        env = dict(AGENT_ENV, PATH=os.environ.get("PATH", ""), HOME=self.temporary, LANG="C.UTF-8",
                   BAMBOOTHREAD_BOOT=self.hosts[name][3])
        self.agents[name] = subprocess.Popen([os.path.join(REPO, AGENT)], cwd=REPO, env=env,
                                             stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.note(name, "started, pid %d", self.agents[name].pid)

    def signal_agent(self, name, number):
        self.note(name, "gets %s", signal.Signals(number).name)
        self.agents[name].send_signal(number)

    def wait_ready(self, names, seconds=15):
        left = set(names)
        deadline = time.monotonic() + seconds
        while left and time.monotonic() < deadline:
            left = {name for name in left if self.ready(name) != 200}
            time.sleep(0.05)
        return not left

    def ready(self, name):
        ip, _front, port, _path = self.hosts[name]
        try:
            connection = http.client.HTTPConnection(ip, port, timeout=1)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status
        except OSError:
            return None

    # Operator, workers and consumers.

    def put_manifest(self, services, routes):
        self.loop.call_soon_threadsafe(self.store.put, "keyed.op", "config", {
            "version": 3,
            "routes": [dict({"name": "r-" + name, "host": "queue.example",
                             "path-prefix": "/%s/" % name, "kind": "non_idempotent",
                             "timeout-ms": 3000, "target-latency-ms": 1200,
                             "priority": priority[0] if priority else 1, "service": service,
                             "max-attempts": attempts, "stretch": 2.0})
                       for name, service, attempts, *priority in routes],
            "services": [{"name": name, "health-path": "/health", "max-conns": 64,
                          "protocol": "h1", "tls": False, "preconditions": False,
                          "standby": False} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    def add_worker(self, worker_id, service, duration, cpu=32000, mem_mb=65536, labels=("a", "r1-1")):
        worker = Worker(self, worker_id, service, cpu, mem_mb, list(labels), duration)
        self.workers.append(worker)
        self.call(worker.begin())
        self.note(worker_id, "begins at %s with %d thousandths of a core", worker.address, cpu)
        return worker

    def request(self, name, method, path, body=None, timeout=3.0, quiet=False):
        """A consumer's request to one machine; returns (status or None, parsed body)."""
        ip, port, _ready, _path = self.hosts[name]
        headers = {"Host": "queue.example", "Deadline": str(int(timeout * 1000))}
        data = None
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers["Content-Type"] = "application/json"
        status, answer = None, None
        try:
            connection = http.client.HTTPConnection(ip, port, timeout=timeout)
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, text = response.status, response.read()
            answer = json.loads(text) if text else None
            connection.close()
        except (OSError, http.client.HTTPException, ValueError):
            pass
        if not quiet:
            self.note("consumer", "%s %s%s to %s -> %s %s", method, path,
                      "" if data is None else " (%d bytes)" % len(data), name, status,
                      "" if answer is None else json.dumps(answer))
        return status, answer

    def submit(self, path, body, names=None, tries=6):
        """Hands a submission in as a consumer does: again after no answer, 502, 503 or 504."""
        names = names or self.names
        for i in range(tries):
            status, _ = self.request(names[i % len(names)], "POST", path, body)
            if status is not None and 200 <= status < 300:
                return True
            time.sleep(0.5)
        return False

    def close(self):
        for process in self.agents.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            os.makedirs(logs, exist_ok=True)
            for name in self.names:
                path = os.path.join(self.temporary, name + ".log")
                if os.path.exists(path):
                    shutil.copy(path, logs)
        self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def free_ports(n, addresses):
    """Port numbers that are free at all the addresses."""
    found = []
    while len(found) < n:
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
        probe.close()
        try:
            for address in addresses:
                with socket.socket() as sock:
                    sock.bind((address, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def main(case, folder, n_agents):
    """Runs a case: it returns the text of what broke the rule, or None. Exit codes: 1 if the rule
    was broken, 0 if it held, 2 if the case couldn't run."""
    platform = Platform(folder, n_agents)
    code = 2
    try:
        if not os.path.exists(os.path.join(REPO, AGENT)):
            raise RuntimeError("%s isn't built" % AGENT)
        broken = case(platform)
        code = 0 if broken is None else 1
        platform.note("result", broken or "the rule held")
        print(broken or "the rule held")
    except Exception as error:  # the case couldn't run
        platform.note("result", "couldn't run: %r", error)
        print("couldn't run: %r" % error, file=sys.stderr)
    finally:
        platform.close()
    sys.stdout.flush()
    os._exit(code)
