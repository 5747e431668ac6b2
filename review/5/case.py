"""All gateways are killed, and streams that their requesters take up again are refused for good."""

import asyncio
import json
import os
import time

import standins
from standins import HOST, KEY, Worker, encode, read_head

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["ranong-hall", "phuket-hall", "krabi-hall"]
CONTACT_S = 3.0
DOWN_S = 1.2
EVENTS = 160
BUDGET_S = 25.0
RETRIES = 4


class Engine(Worker):
    """A model worker of a software version, which it writes into each event."""

    def __init__(self, id, zone, record, version):
        super().__init__(id, "plan-llm", zone, record, 12, 36)
        self.version = version
        self.runs = {}

    def entry(self, state="ready"):
        return {**super().entry(state), "version": self.version}

    async def handle(self, writer, method, target, headers, body):
        if target == "/siskinrock/report":
            runs = [[id, 400 + made, made, 5] for id, made in self.runs.items()]
            state = {"stage": "both", "models": [{"name": "m", "version": 1, "lora-adapters": []}],
                     "busy": False, "sequence": 1, "queued": len(self.waiting), "active": self.running,
                     "kv-used": 0, "kv-total": 55000, "handles": 0, "state": "ready", "runs": runs}
            writer.write(encode(200, {"Content-Type": "application/json"}, json.dumps(state).encode()))
            return True
        if target == "/healthz":
            writer.write(encode(200, {"X-Instance-Id": self.id, "X-Server-Load": self.load()}, b""))
            return True
        if target.startswith("/siskinrock/"):
            writer.write(encode(404, {}, b""))
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode(421, {"X-Instance-Id": self.id}, b""))
            return True
        if "kv-from" in headers or not await self.take_slot(int(headers["x-request-deadline"]) / 1000):
            writer.write(self.not_run(503, headers))
            return True
        try:
            await self.stream(writer, headers)
            return True
        finally:
            self.runs.pop(headers["x-request-id"], None)
            self.free_slot()

    async def stream(self, writer, headers):
        id, first = headers["x-request-id"], int(headers.get("last-event-id", "0")) + 1
        self.record.run(id, f"{self.id} ({self.version}), from event {first}")
        self.runs[id] = first - 1
        head = ["HTTP/1.1 200 OK", f"X-Request-Id: {id}", f"X-Response-Signature: sig.{id}",
                "X-Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"X-Server-Load: {self.load()}", "Keep-Alive: timeout=5"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            self.runs[id] = number
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """One requester's stream over its tries."""

    def __init__(self, record, gateways, number):
        self.record, self.gateways, self.number = record, gateways, number
        self.began_s = time.monotonic()
        self.events = 0
        self.first = None
        self.versions = set()
        self.is_whole = False

    async def attempt(self, attempt, leave_after=None):
        """Makes one try. Returns the status, 0 for none, and the time after which to come again."""
        id = f"{self.number:012x}{attempt:04x}"
        addr = self.gateways.front((self.number + attempt) % len(ZONES))
        host, port = addr.split(":")
        left_ms = int((self.began_s + BUDGET_S - time.monotonic()) * 1000)
        resumes = [f"Last-Event-Id: {self.events}", f"Resumes: {self.first}"] if self.first else []
        self.record.sent(id, f"POST /plan/{self.number} to {addr} {' '.join(resumes)}".rstrip())
        lines = [f"POST /plan/{self.number} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}",
                 f"X-Key: {KEY}", f"X-Request-Deadline: {left_ms}", "X-Model: m",
                 "X-Token-Usage: 400,1280", f"X-Prompt-Prefix: 5c1e07a2:100,{self.number:x}aa:300",
                 *resumes, "Content-Length: 8"]
        writer, status, wait_s = None, 0, float(2 ** attempt)
        try:
            async with asyncio.timeout(left_ms / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(("\r\n".join(lines) + "\r\n\r\na prompt").encode())
                line, headers = await read_head(reader)
                status = int(line.split(" ")[1])
                wait_s = float(headers.get("retry-after", wait_s))
                while status == 200:
                    size = int(await reader.readline(), 16)
                    text = (await reader.readexactly(size + 2))[:-2]
                    if size == 0:
                        self.is_whole = self.events == EVENTS
                        break
                    self.first = self.first or id
                    self.events += 1
                    self.versions.add(text.decode().split("data: ")[1].strip())
                    if leave_after and time.monotonic() > leave_after:
                        break
            self.record.answered(id, status, f"{self.events} events" if status == 200 else f"again in {wait_s} s")
        except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
            self.record.answered(id, status, f"broken off after {self.events} events ({type(error).__name__})")
        finally:
            if writer:
                writer.close()
        return status, min(wait_s, left_ms / 3000)


async def case(record, trouble):
    store = await standins.Store().listen()
    leases = asyncio.create_task(store.expire_leases())
    engine = {"slots": 12, "kv-capacity": 55000, "kv-token-bytes": 18432, "link-mbps": 370000.0,
              "moves": False, "backups": False, "stride": 8, "handle-s": 4.0, "models": [{"name": "m"}]}
    stream = {"stream-resume": True, "target-gap-ms": 700, "session-affinity": True}
    routes = [standins.route("plan", "/plan/", "streaming", "plan-llm", 5, 25000, **stream)]
    routes[0]["target-latency-ms"] = 4500
    await store.put("op/config", standins.config(2, routes, [standins.service("plan-llm", 170, engine=engine)]))
    for number in range(6):
        worker = Engine(f"i-7f3a91c{number}", ZONES[number % 3], record, "v1" if number < 3 else "v2")
        await worker.listen()
        await store.put(f"servers/{worker.id}", worker.entry())
    gateways = standins.Gateways(record, store.addr, ZONES)
    taken_up, went_on, fresh = set(), set(), {}
    in_touch_s = [0.0]

    async def serve(number, leave_after=None):
        """A stream whose requester comes again, after each break and refusal, a few times."""
        stream = Stream(record, gateways, number)
        for attempt in range(RETRIES + 1):
            sent_s, events = time.monotonic(), stream.events
            status, wait_s = await stream.attempt(attempt, None if attempt else leave_after)
            is_counted = stream.first and attempt and sent_s > in_touch_s[0]
            if is_counted:
                taken_up.add(number)
                if stream.events > events:
                    went_on.add(number)
            if stream.is_whole:
                return stream
            await asyncio.sleep(wait_s)
        return stream

    try:
        gateways.start_all()
        if not await gateways.wait_ready():
            raise standins.Unrunnable("the gateways were not ready in time")
        await asyncio.sleep(CONTACT_S)
        end_s = time.monotonic() + 3
        streams = []
        for number in range(24):
            leave = None if trouble else end_s
            streams.append(asyncio.create_task(serve(number, leave)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(end_s - time.monotonic(), 0))
        if trouble:
            for number in range(len(ZONES)):
                gateways.kill(number)
            await asyncio.sleep(DOWN_S)
            gateways.start_all()
            in_touch_s[0] = time.monotonic() + CONTACT_S
            await asyncio.sleep(CONTACT_S + 0.5)
            record.line("the gateways have run for contact-ms: they are in touch")
        for number in range(100, 120):
            fresh[number] = asyncio.create_task(serve(number))
            await asyncio.sleep(0.1)
        ended = await asyncio.gather(*streams)
        begun = sum(stream.events > 0 for stream in await asyncio.gather(*fresh.values()))
    finally:
        gateways.end()
        leases.cancel()
    record.line(f"taken up at machines in touch: {len(taken_up)} streams, of which {len(went_on)} went on; "
                f"new streams: {len(fresh)}, of which {begun} began")
    record.line(f"{sum(stream.is_whole for stream in ended)} of {len(ended)} streams ended whole; "
                f"{sum(len(stream.versions) > 1 for stream in ended)} hold events of two versions")
    if len(taken_up) < 12:
        raise standins.Unrunnable("under 12 streams were taken up again")
    return len(went_on) / len(taken_up) < begun / len(fresh) / 2


if __name__ == "__main__":
    standins.main(case, FOLDER)
