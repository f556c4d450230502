"""What the tools share that start real processes on loopback."""

import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORTS_PER_RUN = 100
READY_S = 40
EXCHANGE_S = 60


def free_ports():
    """The first port of a block in which nobody listens."""
    blocks = list(range(23000, 32000, PORTS_PER_RUN))
    random.shuffle(blocks)
    for base in blocks:
        sockets = []
        try:
            for port in range(base, base + PORTS_PER_RUN):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    sys.exit("no free ports")


def exchange(address, method, path, body=None, timeout=EXCHANGE_S):
    """One HTTP exchange on a connection of its own."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if body is not None else None
        connection.request(method, path, data)
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"null")
    finally:
        connection.close()


def wait_for(what, ready):
    end = time.monotonic() + READY_S
    while time.monotonic() < end:
        if ready():
            return
        time.sleep(0.2)
    raise SystemExit(f"{what} did not come in {READY_S} s")


class Processes:
    """The processes that this run started; only these are ended."""

    def __init__(self, folder, build):
        self.folder = pathlib.Path(folder)
        self.build = pathlib.Path(build)
        self.processes = []

    def start(self, name, program, *args):
        with open(self.folder / f"{name}.log", "w", encoding="utf-8") as output:
            process = subprocess.Popen([str(self.build / program), *map(str, args)],
                                       stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def publish(self, log, tables):
        path = self.folder / "tables.json"
        path.write_text(json.dumps(tables), encoding="utf-8")
        command = [str(self.build / "cli/bamboothreadctl"), "--log", log, "--author", "bench",
                   "tables", "edit", str(path)]
        wait_for("the log", lambda: subprocess.run(command, capture_output=True,
                                                   check=False).returncode == 0)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def dump(address):
    """State of a daemon, or None while it does not answer."""
    try:
        return exchange(address, "GET", "/v1/dump", timeout=2)[1]
    except (OSError, http.client.HTTPException, ValueError):
        return None


def ready_workers(state):
    """How many workers a daemon may start work on; 0 unless it owns them."""
    if state is None or not (state["leading"] and state["settled"] and state["journal_caught_up"]):
        return 0
    return sum(worker["startable"] for worker in state["workers"])
