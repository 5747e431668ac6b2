"""Stand-ins for the platform's store, workers and requesters, and the start of gateways.

Standard library only. They speak what PROTOCOL.md says; all addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
STARTED = time.monotonic()


class Unrunnable(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.answers = {}
        self.runs = {}

    def line(self, text):
        self.file.write(f"{time.monotonic() - STARTED:8.3f} s  {text}\n")

    def sent(self, id, what):
        self.line(f"request {id} sent: {what}")

    def answered(self, id, status, detail=""):
        self.answers[id] = status
        self.line(f"request {id} answered: {status} {detail}".rstrip())

    def run(self, id, worker):
        self.runs.setdefault(id, []).append(worker)
        self.line(f"request {id} begins to run at {worker}")


# --- HTTP/1.1 ---------------------------------------------------------------------------------

async def read_head(reader):
    """The first line and the headers (names in lower case), or None at the end of the channel."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


def encode(status, headers, body, length=True):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Listens on a loopback address and serves one request at a time on each channel."""

    def __init__(self):
        self.channels = set()
        self.addr = None
        self.server = None

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(writer, method, target, headers, body):
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def stop(self):
        """Ends as a process that is killed: nothing listens, and all channels close."""
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()


# --- The store --------------------------------------------------------------------------------

class Store(Server):
    """The platform's store, with pages of `page` items. `mode` is None, "silent" or "busy"."""

    def __init__(self, page=50):
        super().__init__()
        self.page = page
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}
        self.mode = None
        self.changed = asyncio.Condition()
        self.calls = 0

    def _item(self, key):
        value, created, modified, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "mod-revision": modified,
                "created": created, "lease": lease}

    async def apply(self, writes, removes=()):
        async with self.changed:
            self.revision += 1
            for key, value, lease in writes:
                created = self.items[key][1] if key in self.items else self.revision
                self.items[key] = (value, created, self.revision, lease)
                self.events.append((self.revision, self._item(key)))
            for key in removes:
                if self.items.pop(key, None) is not None:
                    gone = {"key": key, "mod-revision": self.revision, "deleted": True}
                    self.events.append((self.revision, gone))
            self.changed.notify_all()
            return self.revision

    async def put(self, key, document):
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        return await self.apply([(key, value, 0)])

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [id for id, (until, _) in self.leases.items() if until <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            await self.apply([], keys)

    async def handle(self, writer, method, target, headers, body):
        self.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(3600)
        status, answer = (503, {}) if self.mode == "busy" else await self.answer(method, target, body)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        writer.write(encode(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.removeprefix("/siskinrock/")
        document = json.loads(body) if body else {}
        if name == "kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, {**self._item(key), "at": self.revision}
        if name == "kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self._item(key) for key in keys[:self.page]]
            return 200, {"items": page, "has-more": len(keys) > self.page, "at": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return await self.transact(document)
        if name == "kv-lease":
            lease, ttl_s = random.randrange(1, 1 << 40), document["ttl-ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl-ms": document["ttl-ms"]}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        if name.startswith("kv-lease-end/"):
            await self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("path-prefix", "")
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [event for revision, event in self.events
                      if revision > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, document):
        for row in document.get("expected-revision", []):
            known = self.items.get(row["key"])
            if (known[2] if known else 0) != row["mod-revision"]:
                keys = [row["key"] for row in document["expected-revision"]]
                return 412, {"items": [self._item(key) for key in keys if key in self.items]}
        writes = []
        for write in document.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            writes.append((write["key"], base64.b64decode(write["value"]), lease))
        return 200, {"mod-revision": await self.apply(writes, document.get("remove", []))}


# --- Workers ----------------------------------------------------------------------------------

class Worker(Server):
    """A worker with slots and a queue. A subclass says how long a request works and what it answers."""

    def __init__(self, id, service, zone, record, slots=6, queue=24):
        super().__init__()
        self.id, self.service, self.zone, self.record = id, service, zone, record
        self.slots, self.queue = slots, queue
        self.running = 0
        self.waiting = []

    def entry(self, state="ready"):
        return {"backend": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold-remaining-ms": 0, "sequence": 1}

    def load(self):
        return f"{self.running},{len(self.waiting)},{self.slots}"

    async def take_slot(self, budget_s):
        """Waits for a slot. Returns whether there was one: not if the queue is full, nor if the time
        budget has passed meanwhile."""
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await asyncio.wait_for(asyncio.shield(turn), budget_s)
            return True
        except asyncio.TimeoutError:
            if turn.done():
                return True
            self.waiting.remove(turn)
            return False

    def free_slot(self):
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.running -= 1

    def not_run(self, status, headers):
        echo = {"X-Request-Id": headers["x-request-id"]} if "x-request-id" in headers else {}
        return encode(status, {**echo, "X-Not-Executed": "1", "X-Server-Load": self.load()}, b"")


# --- Requesters -------------------------------------------------------------------------------

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def request(record, addr, method, path, body=b"", budget_ms=2500, id=None, more=(), what=""):
    """Sends one request on a channel of its own and waits for the whole answer, at most for its budget.
    Returns None if the channel closed or the time passed."""
    id = id or f"{random.getrandbits(64):016x}"
    host, port = addr.split(":")
    record.sent(id, f"{method} {path} to {addr} {what}".rstrip())
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}", f"X-Key: {KEY}",
             f"X-Request-Deadline: {budget_ms}", f"Content-Length: {len(body)}", *more]
    writer = None
    try:
        async with asyncio.timeout(budget_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, headers = await read_head(reader)
            status = int(line.split(" ")[1])
            answer = Answer(status, headers, await read_body(reader, headers, to_end=True))
            record.answered(id, status, answer.body[:90].decode("latin-1").replace("\n", " "))
            return answer
    except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
        record.answered(id, 0, f"no answer ({type(error).__name__})")
        return None
    finally:
        if writer:
            writer.close()


# --- Gateways ---------------------------------------------------------------------------------

class Gateways:
    """Gateways of the deploy file's command, each on a loopback address of its own."""

    def __init__(self, record, store_addr, zones, base_port=18740):
        self.record, self.store_addr, self.zones, self.base_port = record, store_addr, zones, base_port
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="siskinrock-review-")
        self.processes = {}
        self.binary = os.path.join(ROOT, "target", "release", "siskinrock")
        if not os.path.exists(self.binary):
            raise Unrunnable("target/release/siskinrock is missing; build it first")

    def ip(self, number):
        return f"{self.network}.{number + 1}"

    def front(self, number):
        return f"{self.ip(number)}:{self.base_port}"

    def start(self, number):
        ip, port = self.ip(number), self.base_port
        seeds = ",".join(f'"{self.ip(seed)}:{port + 8}"' for seed in range(min(3, len(self.zones))))
        boot = os.path.join(self.folder, f"node-{number}.toml")
        with open(boot, "w") as file:
            file.write(f'''node-name = "edge-{self.zones[number]}-{number + 1}"
role = "gateway"
machine-class = "edge"
serves = ["edge","control_plane","registry"]
ip = "{ip}"
zone = "{self.zones[number]}"
region = "th-andaman"
port-range = [7200,7215]
seeds = [{seeds}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "registry"
heartbeat-ms = 1200
[listen]
front = "{ip}:{port}"
readiness = "{ip}:{port + 9}"
control = "{ip}:{port + 8}"
directory = "{ip}:{port + 6}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.8
budget-window-s = 10
retry-slack = 150
recovery-s = 12
ttl_max_s = 5
[provider]
address = "{self.store_addr}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
''')
        log = open(os.path.join(self.folder, f"node-{number}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SISKINROCK_BOOT"] = boot
        self.processes[number] = subprocess.Popen(
            [self.binary, "gateway"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.record.line(f"gateway {number + 1} started at {ip}")

    def start_all(self):
        for number in range(len(self.zones)):
            self.start(number)

    def kill(self, number):
        process = self.processes.pop(number)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.line(f"gateway {number + 1} killed")

    async def is_ready(self, number):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip(number), self.base_port + 9)
                writer.write(b"GET /siskinrock/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                return " 200 " in line + " "
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, within_s=15):
        until = time.monotonic() + within_s
        for number in range(len(self.zones)):
            while not await self.is_ready(number):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def log_lines(self, number, word):
        with open(os.path.join(self.folder, f"node-{number}.log"), errors="replace") as file:
            return [line for line in file if word in line]

    def end(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, attempts, timeout_ms, **more):
    return {"name": name, "hostname": HOST, "path-prefix": prefix, "kind": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 150, "priority": 1, "backend": service,
            "max-attempts": attempts, "allow-anonymous": False, **more}


def service(name, channels=110, **more):
    return {"name": name, "health-check-path": "/healthz", "max-connections": channels,
            "protocol": "h1", "tls": False, **more}


def config(version, routes, services):
    return {"version": version, "routes": routes, "backends": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}]}


def main(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    # Ends the gateways too, as any other end of the case does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, os.environ.get("TROUBLE", "1") != "0"), 115))
    except Exception as error:
        record.line(f"could not run: {error!r}")
        print("could not run:", repr(error))
        raise SystemExit(2) from error
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
