"""A worker is silent for a second, and streams that may not be resumed are broken off."""

import asyncio
import json
import os
import signal

import standins
from standins import HOST, KEY, Worker, encode, read_head

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["ranong-hall", "phuket-hall", "krabi-hall"]
SILENT_S = 1.0
EVENTS = 60


class Engine(Worker):
    """A model worker. While it is silent it stands still, and then goes on where it was."""

    def __init__(self, id, zone, record):
        super().__init__(id, "plan-llm", zone, record, 12, 36)
        self.going = asyncio.Event()
        self.going.set()
        self.runs = {}

    async def be_silent(self):
        self.record.line(f"{self.id} falls silent with {len(self.runs)} runs")
        self.going.clear()
        await asyncio.sleep(SILENT_S)
        self.going.set()
        self.record.line(f"{self.id} goes on after {SILENT_S} s")

    async def handle(self, writer, method, target, headers, body):
        await self.going.wait()
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
        if not await self.take_slot(int(headers["x-request-deadline"]) / 1000):
            writer.write(self.not_run(503, headers))
            return True
        try:
            await self.stream(writer, headers)
            return True
        finally:
            self.runs.pop(headers["x-request-id"], None)
            self.free_slot()

    async def stream(self, writer, headers):
        id = headers["x-request-id"]
        self.record.run(id, self.id)
        self.runs[id] = 0
        head = ["HTTP/1.1 200 OK", f"X-Request-Id: {id}", f"X-Response-Signature: sig.{id}",
                "X-Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"X-Server-Load: {self.load()}", "Keep-Alive: timeout=5"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await self.going.wait()
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            self.runs[id] = number
            await asyncio.sleep(0.05)
        await self.going.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def ask(record, addr, id, whole):
    """Sends a request for a stream, and notes how many events came and whether it ended as complete."""
    host, port = addr.split(":")
    record.sent(id, f"POST /once/{id} to {addr}")
    lines = [f"POST /once/{id} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {id}", f"X-Key: {KEY}",
             "X-Request-Deadline: 25000", "X-Model: m", "X-Token-Usage: 400,480",
             f"X-Prompt-Prefix: 5c1e07a2:100,{id}:300", "Content-Length: 8"]
    writer, events, status = None, 0, 0
    try:
        async with asyncio.timeout(25):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\na prompt").encode())
            line, headers = await read_head(reader)
            status = int(line.split(" ")[1])
            while status == 200:
                size = int(await reader.readline(), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
                events += 1
        record.answered(id, status, f"{events} events")
        whole[id] = status == 200 and events == EVENTS
    except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
        record.answered(id, status, f"broken off after {events} events ({type(error).__name__})")
        whole[id] = False
    finally:
        if writer:
            writer.close()


async def case(record, trouble):
    store = await standins.Store().listen()
    leases = asyncio.create_task(store.expire_leases())
    engine = {"slots": 12, "kv-capacity": 55000, "kv-token-bytes": 18432, "link-mbps": 370000.0,
              "moves": True, "backups": True, "stride": 8, "handle-s": 4.0, "models": [{"name": "m"}]}
    stream = {"stream-resume": False, "target-gap-ms": 700, "session-affinity": True}
    routes = [standins.route("once", "/once/", "streaming", "plan-llm", 5, 25000, **stream)]
    routes[0]["target-latency-ms"] = 4500
    await store.put("op/config", standins.config(2, routes, [standins.service("plan-llm", 170, engine=engine)]))
    engines = []
    for number in range(6):
        worker = await Engine(f"i-7f3a91c{number}", ZONES[number % 3], record).listen()
        engines.append(worker)
        await store.put(f"servers/{worker.id}", worker.entry())
    gateways = standins.Gateways(record, store.addr, ZONES)
    sent, whole = [], {}

    async def load(for_s):
        ids = []
        for _ in range(int(for_s * 8)):
            number = len(sent)
            ids.append(f"{number:016x}")
            sent.append(asyncio.create_task(ask(record, gateways.front(number % 3), ids[-1], whole)))
            await asyncio.sleep(1 / 8)
        return ids

    try:
        gateways.start_all()
        if not await gateways.wait_ready():
            raise standins.Unrunnable("the gateways were not ready in time")
        before = await load(4)
        await asyncio.gather(*sent)
        for process in gateways.processes.values():
            process.send_signal(signal.SIGHUP)
        record.line("all gateways get SIGHUP")
        judged = await load(1.9)
        if trouble:
            await engines[0].be_silent()
        await asyncio.gather(*sent)
    finally:
        gateways.end()
        leases.cancel()
    if sum(whole[id] for id in before) * 2 < len(before):
        raise standins.Unrunnable("under half of the streams were served before")
    lost = [id for id in judged if record.runs.get(id) and not whole[id]]
    for id in lost:
        record.line(f"LOST: request {id} was passed on to {record.runs[id]}, and its answer isn't complete")
    record.line(f"{len(lost)} of {len(judged)} requests sent within config-apply-ms of SIGHUP were lost")
    return bool(lost)


if __name__ == "__main__":
    standins.main(case, FOLDER)
