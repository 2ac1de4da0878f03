"""Stand-ins for the platform's store, minions and clients, and a launcher of the project's nodes.

Everything runs on 127.0.0.1 and on the real clock. The stand-ins do what PROTOCOL.md says and are
sound servers where it is silent. A case imports this module, builds a `Site` and plays its story.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
# Bounds of a small deployment, as in DEPLOY.md.
HOLD_MAX_MS = 6000
STOP_TIMEOUT_S = 0.4
HEARTBEAT_S = 1.5
RESTORE_S = 0.6


# Below the usual range of ports of outgoing connections, which come and go meanwhile.
PORTS = range(12000, 32000)
TAKEN = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in TAKEN:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.f = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self.f.write(line + "\n")


# ---- HTTP ----------------------------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves `handler(method, target, headers, body) -> (status, value)`; None closes the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                payload = b"" if value is None else json.dumps(value).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\ncontent-type: application/json\r\n"
                        f"content-length: {len(payload)}\r\n\r\n")
                writer.write(head.encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Closes the listener and all connections, as a process does that ends."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def http_call(port, method, path, headers=None, body=b"", timeout=3.0):
    """Returns (status, headers, body), or None if there was no whole answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 22)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}", "connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# ---- The platform's store ------------------------------------------------------------------------


class Store:
    """Tables with versions, transactions and a feed of changes. A transaction takes 8 ms."""

    TXN_S = 0.008
    READ_S = 0.004

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.log_versions = []
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        self.started = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 3_600_000

    def write(self, key, value):
        if value is None:
            if self.rows.pop(key, None) is None:
                return
        else:
            self.rows[key] = (self.version, value)
        self.log.append((self.version, key, value))
        self.log_versions.append(self.version)

    async def put(self, table, key, value):
        """Writes a row of another writer, as the operator and the minions do."""
        async with self.changed:
            self.version += 1
            text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self.write((table, "", key), text)
            self.changed.notify_all()

    def row(self, key):
        version, value = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "row-version": version}

    def stamp(self, value):
        value.update({"row-version": self.version, "now-ms": self.now_ms()})
        return value

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/-/rows-tx"):
            await asyncio.sleep(self.TXN_S)
            return await self.commit(json.loads(body))
        if (method, url.path) == ("GET", "/-/rows-get"):
            await asyncio.sleep(self.READ_S)
            return 200, self.read(query)
        if (method, url.path) == ("GET", "/-/rows-feed"):
            return 200, await self.feed(query)
        return 404, None

    async def commit(self, txn):
        key = lambda e: (e["table"], e.get("part", ""), e["key"])
        async with self.changed:
            checks = txn.get("expected-revision", [])
            current = lambda e: self.rows.get(key(e), (0, None))[0]
            if any(current(e) != e.get("row-version", 0) for e in checks):
                rows = [self.row(key(e)) for e in checks if key(e) in self.rows]
                return 412, self.stamp({"rows": rows})
            self.version += 1
            for e in txn.get("writes", []):
                self.write(key(e), e["value"])
            for e in txn.get("remove", []):
                self.write(key(e), None)
            self.changed.notify_all()
            return 200, self.stamp({})

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows if k[0] == table and k[1] == part and k[2] >= first
                      and (last is None or k[2] < last))
        return self.stamp({"rows": [self.row(k) for k in keys[:limit]], "has-more": len(keys) > limit})

    def changes(self, table, after):
        begin = bisect.bisect_right(self.log_versions, after)
        rows = []
        for version, key, value in self.log[begin:]:
            if key[0] == table:
                row = {"table": key[0], "part": key[1], "key": key[2], "row-version": version}
                row.update({"deleted": True} if value is None else {"value": value})
                rows.append(row)
        return rows

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        async with self.changed:
            while True:
                rows = self.changes(table, after)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.stamp({"rows": rows})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Link:
    """A machine's own link to the store: connections share its bandwidth, in each direction."""

    CHUNK = 4096

    def __init__(self, mbps, target):
        self.bytes_per_s = mbps * 1_000_000 / 8
        self.target = target
        self.turns = {"up": asyncio.Lock(), "down": asyncio.Lock()}
        self.server = None
        self.port = 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.close()
            return
        up = asyncio.create_task(self.pump(reader, store_writer, "up"))
        down = asyncio.create_task(self.pump(store_reader, writer, "down"))
        await asyncio.wait([up, down], return_when=asyncio.FIRST_COMPLETED)
        for task in (up, down):
            task.cancel()
        writer.transport.abort()
        store_writer.transport.abort()

    async def pump(self, reader, writer, direction):
        try:
            while True:
                chunk = await reader.read(self.CHUNK)
                if not chunk:
                    return
                async with self.turns[direction]:
                    await asyncio.sleep(len(chunk) / self.bytes_per_s)
                writer.write(chunk)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError):
            pass

    async def close(self):
        self.server.close()


# ---- Minions -------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, attempt, spec, checkpoint, at):
        self.task, self.attempt, self.spec, self.checkpoint, self.at = task, attempt, spec, checkpoint, at
        self.stop_at = None
        self.end = None


class Minion:
    """One minion. A subtask does what the JSON text of its job says: {"takes": seconds, "need": [cpu,
    mem, gpu], "fails": true, "lasts": true}. It guards its capacity."""

    def __init__(self, site, name, rack, gpu=8, cpu=64000, mem=262144):
        self.site, self.name, self.rack = site, name, rack
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": gpu}
        self.server = HttpServer(self.handle)
        self.port = free_port()
        self.state = "ready"
        self.up = False
        self.lives = 0
        self.history = []
        self.tasks = []

    def reset(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.highest = {}
        self.finished = []
        self.next_end = 1
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    async def start(self):
        self.reset()
        self.lives += 1
        self.up = True
        await self.server.listen(self.port)
        self.site.record(f"minion {self.name}: up, life {self.lives}")
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self):
        """Ends the process; its entry stays until its heartbeats have been missing for some time."""
        lost = [f"{r.task}#{r.attempt}" for r in self.running.values()]
        self.site.record(f"minion {self.name}: crashed, with it {lost}")
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run.end = "crashed"
        self.running = {}
        await self.server.close()

    async def beat(self):
        while True:
            self.sequence += 1
            entry = {"service": self.site.service, "address": f"{HOST}:{self.port}", "zone": "z1",
                     "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
                     "capacity": self.capacity, "labels": ["a", self.rack], "clock-ms": self.clock(),
                     "sequence": self.sequence, "born": self.born, "machine": f"m-{self.name}"}
            await self.site.store.put("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            self.advance()
            await asyncio.sleep(0.02)

    def finish(self, run, how):
        run.end = how
        del self.running[run.task]
        self.highest[run.task] = max(run.attempt, self.highest.get(run.task, 0))
        checkpoint = f"c{run.attempt}" if run.spec.get("saves") else ""
        self.finished.append([self.next_end, run.task, run.attempt, how, checkpoint])
        self.next_end += 1
        self.site.record(f"minion {self.name}: end {run.task}#{run.attempt} {how}")

    def advance(self):
        now = time.monotonic()
        lapsed = self.clock() > self.lease_end
        for run in list(self.running.values()):
            takes = run.spec.get("takes", 1.0)
            if run.stop_at and now >= run.stop_at:
                self.finish(run, "stopped")
            elif not run.spec.get("lasts") and now - run.at >= takes:
                self.finish(run, "failed" if run.spec.get("fails") else "done")
            elif lapsed:
                self.finish(run, "lapsed")

    def percent(self, run):
        age = time.monotonic() - run.at
        if run.spec.get("lasts"):
            return 100 if age > 0.3 else 50
        return min(99, int(100 * age / run.spec.get("takes", 1.0)))

    def lists(self):
        self.advance()
        running = [[r.task, r.attempt, f"c{r.attempt}" if r.spec.get("saves") else "", self.percent(r), 0]
                   for r in self.running.values()]
        return {"clock-ms": self.clock(), "born": self.born, "running": running,
                "finished": self.finished[:500]}

    def reply(self, status, reason=None):
        value = {"clock-ms": self.clock(), "born": self.born}
        if reason:
            value["reason"] = reason
        return status, value

    def extend(self, body):
        end = min(body.get("deadline-ms", 0), self.clock() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, end)

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if target == "/health":
            return 200, None
        if headers.get("x-expected-instance", self.name) != self.name:
            return self.reply(421)
        call = json.loads(body)
        if call.get("fencing-token", 0) < self.fence:
            return self.reply(409, "fence")
        self.fence = call.get("fencing-token", 0)
        self.advance()
        if target == "/-/run-start":
            return self.run_start(call)
        if target == "/-/run-stop":
            return self.run_stop(call)
        if target == "/-/hold":
            return await self.hold(call)
        return 404, None

    def run_start(self, call):
        task, attempt = call["task"], call["attempt"]
        known = self.running.get(task)
        if known and known.attempt == attempt:
            self.extend(call)
            return self.reply(200)
        if attempt <= self.highest.get(task, 0) or known:
            self.extend(call)
            return self.reply(409, "old")
        if call["deadline-ms"] <= self.clock():
            return self.reply(409, "late")
        spec = json.loads(call["spec"])
        if spec.get("ticket") and call.get("ticket") != f"t-{task.rsplit('.', 1)[0]}-{self.name}":
            self.extend(call)
            return self.reply(409, "ticket")
        used = [sum(r.spec["need"][i] for r in self.running.values()) for i in range(3)]
        room = [self.capacity["cpu"], self.capacity["mem-mb"], self.capacity["gpu"]]
        if any(used[i] + spec["need"][i] > room[i] for i in range(3)):
            self.extend(call)
            return self.reply(409, "room")
        self.extend(call)
        run = Run(task, attempt, spec, call.get("checkpoint", ""), time.monotonic())
        self.running[task] = run
        self.history.append(run)
        self.site.record(f"minion {self.name}: start {task}#{attempt}")
        return self.reply(200)

    def run_stop(self, call):
        task, attempt = call["task"], call["attempt"]
        run = self.running.get(task)
        self.site.record(f"minion {self.name}: stop {task}#{attempt}")
        if run and run.attempt <= attempt:
            run.stop_at = run.stop_at or time.monotonic() + STOP_TIMEOUT_S * 0.5
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        return self.reply(200)

    async def hold(self, call):
        self.extend(call)
        self.finished = [e for e in self.finished if e[0] > call.get("last-seen", 0)]
        end = time.monotonic() + min(call.get("wait-ms", 0), 2000) / 1000
        life = self.lives
        while not self.finished and time.monotonic() < end:
            await asyncio.sleep(0.02)
            if not self.up or self.lives != life:
                return None
            self.advance()
        return 200, self.lists()


class Advice:
    """The service at `recommendation`: it takes `decision_s` and `period_s` for each minion named, and
    handles the calls of one machine in turn. Each node is a machine of its own here, with a port of its
    own, because all of them call from the same address."""

    VALIDITY_MS = 3000
    MAX_WAITING = 32

    def __init__(self, site, machine, decision_s, period_s, allowed):
        self.site, self.machine, self.allowed = site, machine, allowed
        self.decision_s, self.period_s = decision_s, period_s
        self.server = HttpServer(self.handle)
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.handled = 0

    async def handle(self, method, target, headers, body):
        if (method, target) != ("POST", "/-/advise"):
            return 404, None
        if self.waiting >= self.MAX_WAITING:
            self.site.record(f"advice for {self.machine}: 429")
            return 429, None
        call = json.loads(body)
        arrived = time.monotonic()
        self.waiting += 1
        try:
            async with self.turn:
                await asyncio.sleep(self.decision_s + self.period_s * len(call["workers"]))
        finally:
            self.waiting -= 1
        self.handled += 1
        rows = [[w, f"t-{call['step']}-{w}"] for w in call["workers"] if w in self.allowed]
        self.site.record(f"advice for {self.machine}: {call['step']} on {len(call['workers'])} minions, "
                         f"answered after {time.monotonic() - arrived:.2f} s, {len(rows)} allowed")
        return 200, {"allowed": rows, "validity-ms": self.VALIDITY_MS}


# ---- Nodes ---------------------------------------------------------------------------------------


def render(text, values):
    """Fills in the placeholders and sections that deploy/node.json uses."""
    def lookup(path):
        value = values
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)]
            elif isinstance(value, dict):
                value = value.get(name)
            else:
                return None
        return value
    section = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if lookup(m[1]) not in (None, False) else "", text)
    plain = lambda v: "" if v is None else str(v)
    def fill(m):
        value = lookup(m[1])
        return json.dumps(value) if m[2] else plain(value)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", fill, text)


class Node:
    def __init__(self, site, name):
        self.site, self.name = site, name
        self.process = None
        self.ports = None
        self.advice = None
        self.link = None

    def settings(self):
        site = self.site
        values = {
            "node": self.name, "zone": "z1", "ip": HOST, "internal-ports": [self.metrics],
            "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "platform": {"address": f"{HOST}:{self.link.port if self.link else site.store_port}",
                         "row-bytes": 65536},
            "recommendation": self.advice and f"{HOST}:{self.advice.server.port}", "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "limits": {"cpu-share": 0.25, "cores": 1},
            "bounds": {"hold-max-ms": HOLD_MAX_MS, "drain-ms": 2000, "revoke-ms": 5000, "status_s": 120,
                       "restore-ms": 600, "grace-s": 6, "stop-timeout-ms": int(STOP_TIMEOUT_S * 1000)},
        }
        with open(os.path.join(ROOT, site.role["template"])) as f:
            return render(f.read(), values)

    async def start(self):
        """Starts the process; it gets other ports if another process has taken one of its own."""
        self.ports = self.ports or [free_port() for _ in range(3)]
        self.front, self.ready, self.metrics = self.ports
        path = os.path.join(self.site.folder, f"{self.name}.json")
        with open(path, "w") as f:
            f.write(self.settings())
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BUCKTHORNCOVE_SETTINGS"] = path
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        words = self.site.role["run"].split()
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.site.record(f"node {self.name}: started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.site.record(f"node {self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await http_call(self.ready, "GET", "/-/readiness", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def is_leader(self):
        answer = await http_call(self.metrics, "GET", "/dump", timeout=1.0)
        return answer is not None and b'"leader":null' not in answer[2] and b'"leader":' in answer[2]

    def log_text(self):
        with open(os.path.join(self.site.folder, f"{self.name}.log"), errors="replace") as f:
            return f.read()


# ---- A small deployment --------------------------------------------------------------------------


class Queue:
    def __init__(self, name, priority, attempts=3, latency=3000, slack=3.0, advice=None):
        self.name, self.priority, self.attempts, self.advice = name, priority, attempts, advice
        self.latency, self.slack = latency, slack
        self.prefix, self.host = f"/{name}/", "jobs.example"


class Site:
    """Three nodes, a store, minions and the operator's desired state."""

    service = "svc"

    def __init__(self, record, queues, tenants, minions, nodes=3, racks=2, gpu=8, link_mbps=None):
        self.record = record
        self.link_mbps = link_mbps
        self.queues = queues
        self.tenants = tenants
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.role = tomllib.load(f)["roles"]["node"]
        self.store = Store()
        self.minions = [Minion(self, f"i-{n:08x}", f"r{1 + n * racks // minions}", gpu=gpu)
                        for n in range(minions)]
        self.nodes = [Node(self, f"edge-z1-{n + 1}") for n in range(nodes)]
        self.next_node = 0
        self.config_version = 0

    async def start(self):
        await self.store.server.listen()
        self.store_port = self.store.server.port
        await self.put_config()
        for minion in self.minions:
            await minion.start()
        for node in self.nodes:
            if node.advice:
                await node.advice.server.listen()
            if self.link_mbps:
                node.link = Link(self.link_mbps, self.store_port)
                await node.link.listen()
            await node.start()
        for _ in range(200):
            for node in self.nodes:
                if node.process.returncode is not None:
                    self.record(f"node {node.name}: did not start")
                    node.ports = None
                    await node.start()
            ready = [await n.is_ready() for n in self.nodes]
            if all(ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise Unusable("the nodes are not ready")
        await asyncio.sleep(4.0)

    async def put_config(self):
        self.config_version += 3
        advice = lambda q: {"recommendation": q.advice} if q.advice else {}
        config = {
            "version": self.config_version,
            "routes": [{"name": q.name, "host": q.host, "path-prefix": q.prefix, "type": "non_idempotent",
                        "timeout-ms": 3000, "target-latency-ms": q.latency, "priority": q.priority,
                        "service": self.service, "max-attempts": q.attempts, "slack-factor": q.slack,
                        "public": False, **advice(q)} for q in self.queues],
            "services": [{"name": self.service, "health-path": "/health", "max-connections": 64,
                          "protocol": "h1", "tls": False, "admission-check": True, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": name, "api-keys": [f"key-{name}"], "priority": 1,
                         "guaranteed": {"gpu": gpu}} for name, gpu in self.tenants.items()],
        }
        await self.store.put("op", "config", config)
        self.record(f"operator: desired state {self.config_version} acknowledged")

    async def call(self, method, queue, job, tenant, body=b"", attempts=4):
        """One call of a client, which is repeated at another node while it has no final answer."""
        headers = {"host": queue.host, "authorization": f"Bearer key-{tenant}",
                   "content-type": "application/json", "x-deadline-ms": "3000"}
        status = None
        for _ in range(attempts):
            node = self.nodes[self.next_node % len(self.nodes)]
            self.next_node += 1
            answer = await http_call(node.front, method, queue.prefix + job, headers, body)
            status = answer and answer[0]
            state = answer and answer[2].decode()
            self.record(f"client {tenant}: {method} {queue.prefix}{job} at {node.name}: {status} {state}")
            if status in (200, 404, 410):
                return status, state
            await asyncio.sleep(0.3)
        return status, None

    async def submit(self, queue, job, tenant, spec, steps):
        status, _ = await self.call("POST", queue, job, tenant, job_body(spec, steps))
        if status != 200:
            raise Unusable(f"job {job} was not accepted: {status}")
        return time.monotonic()

    async def state(self, queue, job, tenant):
        status, body = await self.call("GET", queue, job, tenant)
        if status == 200:
            return json.loads(body)["state"]
        return str(status)

    def runs(self, job):
        """Returns all runs of a job so far, with their minions."""
        return [(m, r) for m in self.minions for r in m.history if r.task.startswith(job + ".")]

    def running(self, job):
        return [(m, r) for m in self.minions for r in m.running.values() if r.task.startswith(job + ".")]

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for minion in self.minions:
            for task in minion.tasks:
                task.cancel()
            await minion.server.close()
        for node in self.nodes:
            if node.advice:
                await node.advice.server.close()
            if node.link:
                await node.link.close()
        await self.store.server.close()


class Unusable(Exception):
    """The case could not run."""


def step(count, need, seconds, **more):
    cpu, mem, gpu = need
    return {"count": count, "cpu": cpu, "mem-mb": mem, "gpu": gpu,
            "estimated-ms": int(seconds * 1000), **more}


def job_body(spec, steps):
    return json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()


async def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return condition()


def main(folder, build, story):
    """Plays `story(site, trouble)`, which returns a text on how the rule was broken, or None."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        site = build(record)
        try:
            await site.start()
            return await story(site, trouble)
        finally:
            await site.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                os.makedirs(keep, exist_ok=True)
                for node in site.nodes:
                    with open(os.path.join(keep, f"{node.name}.log"), "w") as f:
                        f.write(node.log_text())
            for name in os.listdir(site.folder):
                os.unlink(os.path.join(site.folder, name))
            os.rmdir(site.folder)

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(asyncio.wait_for(play(), 115))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        broken = loop.run_until_complete(task)
        code = 1 if broken else 0
        text = f"rule broken: {broken}" if broken else "the rule held"
    except Unusable as e:
        code, text = 2, f"the case could not run: {e}"
    except asyncio.CancelledError:
        code, text = 2, "the case could not run: it was ended by a signal"
    except asyncio.TimeoutError:
        code, text = 2, "the case could not run: it took too long"
    except Exception as e:  # noqa: BLE001 - any other failure of the case itself
        code, text = 2, f"the case could not run: {e!r}"
    record(text)
    print(text, flush=True)
    # The handlers of open connections are left where they are; all processes have ended.
    os._exit(code)
