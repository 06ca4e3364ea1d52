"""Stand-ins for a small deployment: the platform's store, workers, clients,
links, and the nodes' processes. Python 3 with its standard library only."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ID = "X-Plantainhatch-Request-Attempt-Id"
DEADLINE = "X-Plantainhatch-Deadline-Milliseconds"
SIGNATURE = "X-Plantainhatch-Server-Signature"
NOT_RUN = "X-Plantainhatch-Not-Executed"
EXPECTED = "X-Plantainhatch-Expected-Instance"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = int(os.environ.get("NET", "60"))


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "a", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_port(host):
    """Below the ports that the system gives out itself."""
    while True:
        port = random.randint(15000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue


def header(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_message(reader):
    """The first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = []
    while True:
        text = (await reader.readline()).decode("latin-1")
        if not text:
            return None
        if not text.strip():
            break
        name, value = text.split(":", 1)
        headers.append((name, value.strip()))
    body = b""
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif header(headers, "Content-Length"):
        body = await reader.readexactly(int(header(headers, "Content-Length")))
    return line.decode("latin-1").strip(), headers, body


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % it for it in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


class HttpServer:
    """Answers the requests of each connection one after the other."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.tasks = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 20)

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.server = None

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self.answer(reader, *request)
                if answer is None:
                    break
                if not await self.send(writer, *answer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def send(self, writer, status, headers, body):
        """Returns whether the connection goes on."""
        first = "HTTP/1.1 %d %s" % (status, REASONS.get(status, "-"))
        writer.write(message(first, headers, body))
        await writer.drain()
        return True


class Store(HttpServer):
    """The platform's store. In the mode "silent" it does nothing and answers
    nobody but the operator, who writes through put()."""

    def __init__(self, host):
        super().__init__(host, free_port(host))
        self.rows = {}
        self.history = []
        self.version = 0
        self.mode = "up"
        self.changed = asyncio.Condition()

    def put(self, table, key, value):
        self.version += 1
        self.write(table, "", key, value)

    def write(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.history.append((self.version, table, part, key, value))

    def row(self, place, value, version):
        table, part, key = place
        row = {"table": table, "part": part, "key": key,
               "version_number": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def answer(self, reader, line, headers, body):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        target = urlsplit(line.split(" ")[1])
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        kind = [("Content-Type", "application/json")]

        def result(status, content):
            content.update(version_number=self.version,
                           now_ms=int(time.monotonic() * 1000))
            return status, kind, json.dumps(content).encode()

        if target.path == "/rows-tx":
            return result(*self.transact(json.loads(body)))
        if target.path == "/rows-get":
            return result(200, self.read(query))
        if target.path == "/rows-feed":
            return await self.feed(query, result)
        return 404, kind, b"{}"

    def transact(self, order):
        place = lambda it: (it["table"], it["part"], it["key"])
        conflicts = []
        for it in order.get("expected", []):
            value, version = self.rows.get(place(it), (None, 0))
            if version != it["version_number"]:
                row = dict(it, version_number=version)
                if value is not None:
                    row["value"] = base64.b64encode(value).decode()
                conflicts.append(row)
        if conflicts:
            return 412, {"rows": conflicts}
        self.version += 1
        for it in order.get("writes", []):
            self.write(*place(it), base64.b64decode(it["value"]))
        for it in order.get("remove", []):
            self.write(*place(it), None)
        return 200, {}

    def read(self, query):
        found = sorted(
            (place[2], place) for place in self.rows
            if place[0] == query["table"] and place[1] == query.get("part", "")
            and place[2] >= query.get("from", "")
            and (not query.get("target") or place[2] < query["target"]))
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self.row(place, *self.rows[place])
                for _, place in found[:limit]]
        return {"rows": rows, "has_more": len(found) > limit}

    async def feed(self, query, result):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [self.row((it[1], it[2], it[3]), it[4], it[0])
                    for it in self.history
                    if it[0] > after and it[1] == query["table"]]
            if rows or time.monotonic() >= end:
                return result(200, {"rows": rows})
            await asyncio.sleep(0.01)
            if self.mode == "silent":
                await asyncio.sleep(3600)


async def end(task):
    """Ends a read that waits for the end of a connection."""
    task.cancel()
    try:
        await task
    except (asyncio.CancelledError, ConnectionError):
        pass


class Worker(HttpServer):
    """An application worker. work(method, path) gives the seconds that a
    request takes, and size(path) the bytes of its answer."""

    def __init__(self, record, host, name, service, slots=12, queue=48,
                 work=lambda method, path: 0.05, size=lambda path: 64):
        super().__init__(host, free_port(host))
        self.record, self.name, self.service = record, name, service
        self.slots, self.queue = slots, queue
        self.work, self.size = work, size
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.runs = []

    def beat(self, state):
        self.sequence += 1
        return {"address": "%s:%d" % (self.host, self.port),
                "born": self.born,
                "information": {"service": self.service, "version": "v1",
                                "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "sequence": self.sequence,
                           "cold_remaining_ms": 0}}

    def load(self):
        return ("X-Plantainhatch-Server-Load",
                "%d,%d,%d,100" % (self.running, self.waiting, self.slots))

    async def answer(self, reader, line, headers, body):
        method, path, _ = line.split(" ")
        if path == "/health":
            return (503 if self.leaving else 200,
                    [("X-Plantainhatch-Instance-Id", self.name), self.load()],
                    b"")
        request = header(headers, ID)
        echo = [(ID, request or ""), self.load()]
        expected = header(headers, EXPECTED)
        if expected and expected != self.name:
            return 421, echo + [("X-Plantainhatch-Instance-Id", self.name)], b""
        if not request:
            return 400, echo + [(NOT_RUN, "1")], b""
        if self.waiting >= self.queue:
            return 503, echo + [(NOT_RUN, "1")], b""
        deadline = time.monotonic() + int(header(headers, DEADLINE)) / 1000
        self.waiting += 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            ready = asyncio.ensure_future(self.free.acquire())
            await asyncio.wait({ready, gone}, return_when="FIRST_COMPLETED",
                               timeout=deadline - time.monotonic())
        finally:
            self.waiting -= 1
        if not ready.done():
            ready.cancel()
            await end(gone)
            return 503, echo + [(NOT_RUN, "1")], b""
        self.running += 1
        try:
            self.runs.append((self.record.now(), request, method, path))
            self.record("RUN %s at %s: %s %s" % (request, self.name, method,
                                                 path))
            needed = self.work(method, path)
            left = deadline - time.monotonic()
            await asyncio.wait({gone}, timeout=max(0, min(needed, left)))
            if gone.done():
                self.record("DROPPED %s at %s" % (request, self.name))
                return None
            status = 200 if needed <= left else 504
            content = b"x" * self.size(path)
            self.record("DONE %s at %s: %d" % (request, self.name, status))
            return status, echo + [(SIGNATURE, "sig." + self.name)], content
        finally:
            await end(gone)
            self.running -= 1
            self.free.release()


class Link:
    """A slow link: takes connections and relays each to an address. Towards
    those who connected it carries only so many Mbit a second in all, with
    small windows and the segments of an ordinary network."""

    WINDOW = 8 * 1024
    SEGMENT = 1460
    STEP_S = 0.005

    def __init__(self, host, target, mbit):
        self.host, self.port = host, free_port(host)
        self.target = target
        self.step = int(mbit * 1e6 / 8 * self.STEP_S)
        self.turn = asyncio.Lock()
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(self.relay, self.host,
                                                 self.port)

    async def relay(self, reader, writer):
        loop = asyncio.get_running_loop()
        far = socket.socket()
        far.setblocking(False)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW)
        try:
            await loop.sock_connect(far, self.target)
            there = asyncio.ensure_future(self.forward(loop, reader, far))
            while True:
                data = await loop.sock_recv(far, self.step)
                if not data:
                    break
                async with self.turn:
                    await asyncio.sleep(self.STEP_S * len(data) / self.step)
                writer.write(data)
                await writer.drain()
            there.cancel()
        except OSError:
            pass
        finally:
            far.close()
            writer.close()

    async def forward(self, loop, reader, far):
        while True:
            data = await reader.read(65536)
            if not data:
                return
            await loop.sock_sendall(far, data)


class Machine:
    """A worker's machine: the worker and the node beside it."""

    def __init__(self, site, number, zone, worker):
        self.site, self.number, self.zone, self.worker = (site, number, zone,
                                                          worker)
        worker.zone = zone
        self.host = worker.host
        ports = {}
        for name in ("callers", "peers", "targets", "forwards", "readiness",
                     "metrics"):
            ports[name] = free_port(self.host)
        self.address = {name: "%s:%d" % (self.host, port)
                        for name, port in ports.items()}
        self.port = ports
        self.settings_path = os.path.join(site.folder,
                                          "node-%d.json" % number)
        self.process = None
        self.starts = 0
        self.may_beat = True

    def settings(self):
        """As deploy/node.json.template gives them."""
        return {
            "cluster": "fleet", "failureDomain": self.zone,
            "callers": self.address["callers"],
            "peers": self.address["peers"],
            "targets": self.address["targets"],
            "platform": "http://%s:%d" % (self.site.store.host,
                                          self.site.store.port),
            "key": "one-site-one-cluster",
            "site": {
                "forwards": self.address["forwards"],
                "readiness": self.address["readiness"],
                "metrics": self.address["metrics"],
                "target": "%s:%d" % (self.worker.host, self.worker.port),
                "service": self.worker.service,
                "stopGraceSeconds": self.site.grace_s, "coldOverage": 1.5, "coldSlack": 5,
                "retryRatio": 0.2, "retryExtra": 56, "probesPerSecond": 60}}

    def start(self):
        self.starts += 1
        path = self.settings_path
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.site.folder, "node-%d-%d.log" %
                                (self.number, self.starts)), "wb")
        self.process = subprocess.Popen(
            ["target/bin/plantainhatchd", "--settings", path], cwd=ROOT,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.site.record("NODE %d starts" % self.number)

    def kill(self, number=signal.SIGKILL):
        self.site.record("NODE %d gets %s" % (self.number,
                                              signal.Signals(number).name))
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    async def ready(self):
        status, _, _ = await call(self.host, self.port["readiness"], "GET",
                                  "/readiness", [], timeout=1)
        return status == 200

    async def send_beat(self, beat):
        status, _, _ = await call(
            self.host, self.port["targets"], "PUT",
            "/instances/" + self.worker.name,
            [("Content-Type", "application/json")], json.dumps(beat).encode(),
            timeout=1)
        return status

    async def leave(self, timeout=4):
        status, _, _ = await call(self.host, self.port["targets"], "DELETE",
                                  "/instances/" + self.worker.name, [],
                                  timeout=timeout)
        return status

    async def beats(self):
        while True:
            if self.may_beat:
                await self.send_beat(self.worker.beat("ready"))
            await asyncio.sleep(1.5)


async def call(host, port, method, path, headers, body=b"", timeout=2.0):
    """One request on a connection of its own: status, headers and body. The
    status is 0 if there was no whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port,
                                                           limit=1 << 20)
            writer.write(message("%s %s HTTP/1.1" % (method, path),
                                 [("Host", "h.example")] + headers, body))
            answer = await read_message(reader)
            if answer is None:
                return 0, [], b""
            return int(answer[0].split(" ")[1]), answer[1], answer[2]
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, [], b""
    finally:
        if writer:
            writer.close()


class Site:
    """All of a small deployment, in a temporary folder."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="site-")
        self.store = Store("127.%d.0.1" % NET)
        self.machines = []
        self.tasks = []
        self.links = []
        self.sent = 0
        self.grace_s = 6

    def add(self, zone, service, kind=None, **options):
        number = len(self.machines)
        worker = (kind or Worker)(self.record, "127.%d.1.%d" % (NET, number + 1),
                        "i-%d%d" % (number, os.getpid()), service, **options)
        self.machines.append(Machine(self, number, zone, worker))
        return self.machines[-1]

    def configure(self, routes, services, version=1):
        document = {
            "version": version, "routes": routes,
            "services": {name: {"health_check_path": "/health",
                                "connection_limit": 220, "protocol": "h1",
                                "tls": False, "cold_start_s": 3.0,
                                "cold_per_s": 20.0} for name in services},
            "limits": {"header_bytes": 16384, "body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.put("op", "config", json.dumps(document).encode())

    async def start(self):
        await self.store.listen()
        for it in self.machines:
            await it.worker.listen()
            it.start()
        for it in self.machines:
            self.tasks.append(asyncio.ensure_future(it.beats()))
        return await self.wait_ready(self.machines)

    async def requests(self, prefix, seconds, method="GET"):
        """Sends requests to all machines in turn. Returns how many were
        answered with 200."""
        end = self.record.now() + seconds
        served = 0
        while self.record.now() < end:
            for it in self.machines:
                self.sent += 1
                request = "r-%d" % self.sent
                self.record("SENT %s to node %d" % (request, it.number))
                status, _, _ = await call(
                    it.host, it.port["callers"], method, prefix + "x",
                    [(ID, request), (DEADLINE, "1000")])
                self.record("ANSWERED %s: %d" % (request, status))
                served += status == 200
        return served

    def all_runs(self):
        return [it for machine in self.machines for it in machine.worker.runs]

    async def wait_ready(self, machines, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await it.ready() for it in machines]):
                return True
            await asyncio.sleep(0.05)
        return False

    def close(self):
        for task in self.tasks:
            task.cancel()
        for it in self.links:
            it.server.close()
        for it in self.machines:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
            it.worker.close()
        self.store.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def route(prefix, kind, service, timeout_ms=1500, target_latency_ms=400,
          priority=1, attempts=2):
    return {"host": "h.example", "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms,
            "priority": priority, "service": service, "attempts": attempts}


def main(folder, scenario):
    """Runs a scenario: 1 if it says that the rule was broken, 0 if it held,
    and 2 if it could not run. The record is written to the file that the first
    argument names."""
    record = Record(os.path.join(folder, sys.argv[1]))
    if not os.path.exists(os.path.join(ROOT, "target/bin/plantainhatchd")):
        record("COULD NOT RUN: target/bin/plantainhatchd has not been built")
        record("RESULT 2")
        sys.exit(2)
    site = Site(record)

    async def run():
        # At the end, connections are cut in the middle of their work.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                return await scenario(site)
        finally:
            site.close()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Whatever it is, the case has not run.
        site.record("COULD NOT RUN: %r" % error)
        code = 2
    site.record("RESULT %d" % code)
    sys.exit(code)
