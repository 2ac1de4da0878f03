"""Stand-ins for the platform's store, the minions and the consumers, and the nodes under test.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. All of them run in one process, each at a
loopback address of its own. Only the nodes are separate processes.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "svc"
STORE_CALL_S = 0.004
TRANSACTION_S = 0.008
BEAT_S = 1.5
HOLD_MAX_MS = 6_000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.2
STARTUP_S = 0.3

# Bounds of Tulegenov's sheet in SYSTEM.md.
BOUNDS = {
    "hold-max-ms": HOLD_MAX_MS, "drain-ms": 2000, "stop-timeout-ms": 400, "revoke-ms": 5000,
    "status_s": 120, "restore-ms": 600, "grace-s": 6,
}
LIMITS = {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0}
VISIBLE_S = 3.0


class Record:
    """Events in the order in which they happened, written to record.txt."""

    def __init__(self, path):
        self.path, self.start, self.lines = path, time.monotonic(), []

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what):
        self.lines.append(f"{self.now():8.3f} s  {who:<10} {what}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_message(reader):
    """Reads the head and body of an HTTP/1.1 message; returns None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
        length = int(headers.get("content-length", 0))
        return first, headers, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Server:
    """HTTP server of a stand-in; `answer` returns status and body, or None to send no answer."""

    def __init__(self):
        self.server, self.writers, self.port = None, set(), 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(" ")
                answer = await self.answer(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Closes the listener and resets all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.rows, self.log, self.version = {}, [], 0
        self.changed, self.locks = asyncio.Condition(), {}

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put_row(self, key, value):
        """Writes a value (bytes), or deletes the row if it is None, at the current version."""
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (self.version, base64.b64encode(value).decode())
        row = self.row(key) or dict(zip(("table", "part", "key"), key), deleted=True)
        row["row-version"] = self.version
        self.log.append(row)

    async def put(self, table, key, value):
        """Writes a row as the operator or a minion does."""
        self.version += 1
        self.put_row((table, "", key), None if value is None else json.dumps(value).encode())
        async with self.changed:
            self.changed.notify_all()

    def row(self, key):
        if key not in self.rows:
            return None
        version, value = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "row-version": version}

    def about(self, **fields):
        return fields | {"row-version": self.version, "now-ms": self.now_ms()}

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        params = dict(p.split("=", 1) for p in query.split("&") if p)
        params = {k: v.replace("%20", " ").replace("%2F", "/").replace("%2B", "+") for k, v in params.items()}
        if path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(STORE_CALL_S)
        if path == "/-/rows-get":
            return 200, self.read(params)
        if path == "/-/rows-feed":
            return await self.feed(params)
        return 404, {}

    async def transact(self, txn):
        entries = [txn.get(name, []) for name in ("expected-revision", "writes", "remove")]
        key = lambda e: (e["table"], e.get("part", ""), e["key"])
        parts = {key(e)[1] for entry in entries for e in entry}
        if len(parts) > 1 or sum(map(len, entries)) > 100:
            return 400, {}
        part = next(iter(parts), "")
        async with self.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            checks, writes, removed = entries
            version = lambda k: self.rows.get(k, (0, ""))[0]
            if any(version(key(c)) != c["row-version"] for c in checks):
                found = [self.row(key(c)) for c in checks]
                return 412, self.about(rows=[r for r in found if r])
            self.version += 1
            for write in writes:
                self.put_row(key(write), base64.b64decode(write["value"]))
            for row in removed:
                self.put_row(key(row), None)
        async with self.changed:
            self.changed.notify_all()
        return 200, self.about()

    def read(self, params):
        table, part = params["table"], params.get("part", "")
        first, last = params.get("from", ""), params.get("target")
        keys = sorted(k for k in self.rows if k[:2] == (table, part) and k[2] >= first)
        keys = [k for k in keys if last is None or k[2] < last]
        limit = min(int(params.get("limit", 500)), 500)
        return self.about(rows=[self.row(k) for k in keys[:limit]], **{"has-more": len(keys) > limit})

    async def feed(self, params):
        after, end = int(params["after"]), time.monotonic() + int(params["wait-ms"]) / 1000
        while True:
            rows = [r for r in self.log if r["row-version"] > after and r["table"] == params["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.about(rows=rows)
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, attempt, step, spec, now):
        self.task, self.attempt, self.step, self.started = task, attempt, step, now
        self.takes = spec.get("takes-ms", 1000) / 1000
        self.fails = spec.get("fails", False)
        self.stop_at = None

    @property
    def gang(self):
        return (self.task.rsplit(".", 1)[0], self.attempt)


class Minion(Server):
    """A minion, which refuses what does not fit. The `spec` of a job is JSON that names the time of its runs
    (`takes-ms`) and whether they fail (`fails`)."""

    def __init__(self, world, name, rack, capacity):
        super().__init__()
        self.world, self.name, self.capacity = world, name, capacity
        self.labels = ["a", rack]
        self.life, self.up, self.id = 0, False, None

    async def start(self, keeps_id=False):
        """Begins a life, under a new id or under the one that it had."""
        self.life += 1
        if not keeps_id:
            self.id = f"{self.name}-{self.life}"
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.clock_base = 100_000 + 7_919 * self.life
        self.fence, self.lease_end, self.sequence = 0, 0, 0
        self.runs, self.finished, self.seq, self.ended = {}, [], 0, {}
        self.event = asyncio.Event()
        self.up = True
        await self.listen()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.began) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            await self.world.store.put("servers", self.id, {
                "service": SERVICE, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-remaining-ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock-ms": self.clock(), "sequence": self.sequence,
                "machine": self.name, "born": self.born,
            })
            await asyncio.sleep(BEAT_S)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if how := self.outcome(run, now):
                    self.end(run, how)

    def outcome(self, run, now):
        """Returns how a run has ended by now, or None."""
        if self.clock() >= self.lease_end:
            return "lapsed"
        if run.stop_at and now >= run.stop_at:
            return "stopped"
        if not run.step.get("gang"):
            is_over = not run.step.get("long-running") and now >= run.started + run.takes
            return ("failed" if run.fails else "done") if is_over else None
        gang = self.world.gangs[run.gang]
        if gang["begun"] is None:
            return "alone" if now >= run.started + GANG_TIMEOUT_S else None
        if gang["broken"]:
            return "broken"
        return "done" if now >= gang["begun"] + run.takes else None

    def end(self, run, how):
        del self.runs[run.task]
        self.ended[run.task] = run.attempt
        if run.step.get("gang"):
            gang = self.world.gangs[run.gang]
            gang["present"].discard(run.task)
            gang["broken"] |= how not in ("done", "broken")
        if how != "crashed":
            self.seq += 1
            self.finished.append([self.seq, run.task, run.attempt, how, ""])
            self.event.set()
        self.world.run_ended(self, run, how)

    def fail(self, task):
        """Ends a lasting run as failed, which may happen at any time."""
        self.end(self.runs[task], "failed")

    def used(self):
        keys = ("cpu", "mem-mb", "gpu")
        return {k: sum(self.need(r.step).get(k, 0) for r in self.runs.values()) for k in keys}

    @staticmethod
    def need(step):
        return step | {"cpu": 0} if step.get("fills") else step

    async def answer(self, method, target, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        refused = lambda reason: (409, {"clock-ms": self.clock(), "reason": reason})
        if order.get("fencing-token", 0) < self.fence:
            return refused("fence")
        self.fence = order.get("fencing-token", 0)
        if target == "/-/run-start":
            reason = self.start_run(order)
            return refused(reason) if reason else (200, {"clock-ms": self.clock()})
        if target == "/-/run-stop":
            self.stop_run(order["task"], order["attempt"])
            return 200, {"clock-ms": self.clock()}
        if target == "/-/hold":
            return await self.hold(order)
        return 404, {}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def start_run(self, order):
        task, attempt = order["task"], order["attempt"]
        if order["deadline-ms"] <= self.clock():
            return "late"
        step = self.world.step_of(task)
        running = self.runs.get(task)
        if running and running.attempt == attempt:
            self.extend(order["deadline-ms"])
            return None
        if running or attempt <= self.ended.get(task, 0):
            self.extend(order["deadline-ms"])
            return "old"
        used, need = self.used(), self.need(step)
        if any(used[k] + need.get(k, 0) > self.capacity[k] for k in used):
            self.extend(order["deadline-ms"])
            return "room"
        self.extend(order["deadline-ms"])
        run = Run(task, attempt, step, json.loads(order["spec"]), time.monotonic())
        self.runs[task] = run
        if step.get("gang"):
            gang = self.world.gangs.setdefault(run.gang, {"present": set(), "begun": None, "broken": False})
            gang["present"].add(task)
            if len(gang["present"]) == step["count"]:
                gang["begun"] = time.monotonic()
        self.world.run_started(self, run)
        return None

    def stop_run(self, task, attempt):
        run = self.runs.get(task)
        if run and run.attempt == attempt:
            run.stop_at = run.stop_at or time.monotonic() + STOP_S
        elif not run:
            self.ended[task] = max(self.ended.get(task, 0), attempt)

    async def hold(self, order):
        self.finished = [f for f in self.finished if f[0] > order["last-seen"]]
        if "deadline-ms" in order:
            self.extend(order["deadline-ms"])
        end = time.monotonic() + min(order.get("wait-ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < end:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = [[r.task, r.attempt, "", self.percent(r, now), 0] for r in self.runs.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]}

    @staticmethod
    def percent(run, now):
        if run.step.get("long-running"):
            return 100 if now >= run.started + STARTUP_S else 0
        return min(99, int(100 * (now - run.started) / run.takes))

    def crash(self):
        """Ends the life; its entry stays in the store until the platform removes it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.end(run, "crashed")
        self.abort()
        self.world.record.add(self.id, "crashes")
        asyncio.get_running_loop().create_task(self.remove_entry(self.id))

    async def remove_entry(self, ident):
        """Removes the entry after three intervals of silence, as the platform does."""
        await asyncio.sleep(3 * BEAT_S)
        if not (self.up and self.id == ident):
            await self.world.store.put("servers", ident, None)


class Node:
    """A process of the deploy file."""

    def __init__(self, world, number, bounds, limits):
        self.world, self.name, self.limits = world, f"edge-{number}", limits
        self.front, self.ready, self.internal = free_ports(3)
        self.settings, self.process = world.folder / f"{self.name}.json", None
        self.write_settings(bounds)

    def write_settings(self, bounds):
        """Fills in the template of the settings, as the platform does at each start."""
        self.settings.write_text(render((REPOSITORY / "deploy/node.json").read_text(), {
            "node": self.name, "zone": "zone-a", "ip": HOST,
            "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "internal-ports": [self.internal, self.internal], "bounds": bounds, "limits": self.limits,
            "platform": {"address": self.world.store.address, "row-bytes": 65536}, "heartbeat-ms": int(BEAT_S * 1000),
        }))

    def start(self):
        env = {"PATH": os.environ["PATH"], "BUCKTHORNCOVE_SETTINGS": str(self.settings)}
        log = open(self.settings.with_suffix(".log"), "ab")
        command = [str(REPOSITORY / "target/release/buckthorncove"), "node"]
        self.process = subprocess.Popen(command, cwd=REPOSITORY, env=env, stdout=log, stderr=log)
        self.world.record.add(self.name, "starts")

    def memory_mb(self):
        """Returns the resident memory of the process; 0 if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return 0
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return next((int(line.split()[1]) // 1024 for line in status.splitlines() if line.startswith("VmRSS")), 0)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def render(template, fields):
    """Fills in a settings template: values, sections that need a value, and `|json`."""
    def find(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else (value or {}).get(name)
        return value

    section = r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(section, lambda m: m[2] if find(m[1]) is not None else "", template, flags=re.S)

    def value(m):
        path, _, form = m[1].partition("|")
        found = find(path)
        return json.dumps(found) if form == "json" or not isinstance(found, str) else found

    return re.sub(r"\{\{([^#/}][^}]*)\}\}", value, text)


class World:
    """A small deployment."""

    def __init__(self, folder):
        self.record, self.gangs, self.jobs = Record(folder / "record.txt"), {}, {}
        self.folder = Path(tempfile.mkdtemp(prefix="buckthorncove-review-"))
        self.minions, self.nodes, self.runs = [], [], []

    async def build(self, nodes, minions, routes, tenants, per_rack=4, labels=None, bounds=None, limits=None):
        """Starts the store, the minions and the nodes. `labels` gives minions a further label, by number; `bounds`
        and `limits` replace some of those in the settings."""
        self.store = Store()
        await self.store.listen()
        self.routes, self.tenants = routes, tenants
        await self.put_config(1)
        for i in range(minions):
            capacity = {"cpu": 64_000, "mem-mb": 262_144, "gpu": 8}
            minion = Minion(self, f"minion-{i}", f"r-{i // per_rack}", capacity)
            if label := (labels or {}).get(i):
                minion.labels.insert(1, label)
            self.minions.append(minion)
            await minion.start()
        self.nodes = [Node(self, i, BOUNDS | (bounds or {}), LIMITS | (limits or {})) for i in range(nodes)]
        for node in self.nodes:
            node.start()

    async def wait_until_ready(self):
        """Waits until all nodes are ready and one of them leads."""
        end = time.monotonic() + 15
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    raise RuntimeError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        # The first leader takes over in this time.
        await asyncio.sleep(3)

    async def put_config(self, version):
        await self.store.put("op", "config", {
            "version": version, "routes": self.routes, "tenants": self.tenants,
            "services": [{"name": SERVICE, "health-path": "/health", "max-connections": 64, "protocol": "h1",
                          "tls": False, "admission-check": True, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        })

    async def is_ready(self, node):
        answer = await http(node.ready, "GET", "/-/readiness")
        return answer is not None and answer[0] == 200

    def step_of(self, task):
        """Returns the step of a subtask as it was handed in."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def run_started(self, minion, run):
        self.record.add(minion.id, f"starts {run.task} attempt {run.attempt}")
        self.runs.append([run.task, run.attempt, self.record.now(), None, None])

    def run_ended(self, minion, run, how):
        self.record.add(minion.id, f"ends {run.task} attempt {run.attempt}: {how}")
        entry = next(r for r in reversed(self.runs) if r[:2] == [run.task, run.attempt] and r[3] is None)
        entry[3:] = [self.record.now(), how]

    def starts(self, job):
        """Returns the entries of the job's runs: task, attempt, start, end, how."""
        return [r for r in self.runs if r[0].startswith(job)]

    async def call(self, node, method, route, job="", key=None, body=None):
        """Sends a consumer's request; returns status and body, or None without an answer."""
        headers = {"Host": route["host"], "X-Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        answer = await http(self.nodes[node].front, method, route["path-prefix"] + job, headers, body)
        status, value = answer or (None, None)
        self.record.add("consumer", f"{method} {route['path-prefix']}{job} at edge-{node}: {status} {value or ''}")
        return answer

    async def submit(self, node, route, job, key, steps, spec, **fields):
        """Submits a job as a consumer does: a request without an answer, or one that is refused for now, is sent again."""
        body = {"spec": json.dumps(spec), "steps": steps} | fields
        self.jobs[job] = body
        for _ in range(5):
            answer = await self.call(node, "POST", route, job, key, body)
            if answer and answer[0] == 200:
                return self.record.now()
            await asyncio.sleep(0.5)
        raise RuntimeError(f"job {job} is not accepted")

    async def state(self, node, route, job, key):
        answer = await self.call(node, "GET", route, job, key)
        return answer[1].get("state") if answer and answer[0] == 200 else None

    def close(self):
        """Ends the nodes and writes the record. KEEP_LOGS=1 keeps the settings and logs of the nodes."""
        for node in self.nodes:
            node.kill()
        self.record.write()
        if os.environ.get("KEEP_LOGS") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, priority, max_attempts=3):
    return {
        "name": name, "host": "jobs.example", "path-prefix": f"/{name}/", "type": "non_idempotent", "timeout-ms": 3000,
        "target-latency-ms": 250, "priority": priority, "service": SERVICE, "max-attempts": max_attempts,
        "slack-factor": 1.5, "public": False,
    }


def tenant(name, guaranteed=0):
    return {"name": name, "api-keys": [f"key-{name}"], "priority": 1, "guaranteed": {"gpu": guaranteed}}


async def http(port, method, path, headers=None, body=None):
    """Sends one request on a connection of its own; returns status and decoded body, or None without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in ({"Host": HOST} | (headers or {})).items()]
    lines += ["Connection: close", f"Content-Length: {len(data)}", "Content-Type: application/json"]
    try:
        async with asyncio.timeout(4):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    if message is None:
        return None
    first, _, text = message
    return int(first.split(" ")[1]), json.loads(text) if text else None


def play(folder, case):
    """Plays a case, which returns whether the rule held, and exits with the result."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(Path(folder).resolve())

    async def run():
        async with asyncio.timeout(115):
            return await case(world, has_trouble)

    loop = asyncio.new_event_loop()
    try:
        held = loop.run_until_complete(run())
        world.record.add("result", "the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    except Exception as e:
        world.record.add("result", f"the case could not run: {e!r}")
        code = 2
    finally:
        world.close()
    print(world.record.lines[-1], flush=True)
    # Ends the tasks of the stand-ins without waiting for their connections.
    os._exit(code)
