"""A late extra response of a worker is taken for the answer to the gateway's own liveness question."""

import asyncio
import os

import standins
from standins import Worker, encode, request

FOLDER = os.path.dirname(os.path.abspath(__file__))
SLOW_MS = 950
USUAL_MS = 30
OTHER_MS = {"/book/extra": 60, "/book/unframed": 150, "/book/slow5": 700}


class Booking(Worker):
    """Runs `POST /book/...`. It waits with the extra response until the next request on that channel."""

    def __init__(self, *args, trouble):
        super().__init__(*args)
        self.trouble = trouble
        self.extra = {}
        self.last = {}
        self.answered = 0

    async def handle(self, writer, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode(421, {"X-Instance-Id": self.id}, b""))
            return True
        extra = self.extra.pop(writer, None)
        if extra:
            self.record.line(f"{self.id} sends a second answer to request {extra[0]} where the answer to "
                             f"{method} {target} is due")
            writer.write(extra[1])
        budget_s = int(headers.get("x-request-deadline", "1000")) / 1000
        if not await self.take_slot(budget_s):
            self.record.line(f"{self.id} rejects {method} {target} "
                             f"{headers.get('x-request-id', '(no id)')}: 503, X-Not-Executed")
            writer.write(self.not_run(503, headers))
            return True
        try:
            return await self.work(writer, method, target, headers)
        finally:
            self.free_slot()

    async def work(self, writer, method, target, headers):
        if target == "/healthz":
            writer.write(encode(200, {"X-Instance-Id": self.id, "X-Server-Load": self.load()}, b""))
            return True
        id = headers["x-request-id"]
        self.record.run(id, self.id)
        usual_ms = SLOW_MS if "slow" in target else USUAL_MS
        await asyncio.sleep(OTHER_MS.get(target, usual_ms) / 1000)
        self.answered += 1
        answer = {"X-Request-Id": id, "X-Response-Signature": f"sig.{id}", "X-Server-Load": self.load()}
        body = f'{{"booked":"{target}","request":"{id}"}}'.encode()
        if "unframed" in target:
            writer.write(encode(200, {**answer, "Connection": "close"}, body, length=False))
            await writer.drain()
            return False
        whole = encode(200, {**answer, "Keep-Alive": "timeout=5"}, body)
        writer.write(whole)
        if "extra" in target and self.trouble:
            self.extra[writer] = (id, whole)
        return True


async def case(record, trouble):
    store = await standins.Store().listen()
    leases = asyncio.create_task(store.expire_leases())
    worker = Booking("i-7f3a91c2", "booking-app", "ranong-hall", record, trouble=trouble)
    await worker.listen()
    routes = [standins.route("book", "/book/", "non_idempotent", "booking-app", 1, 1000)]
    await store.put("op/config", standins.config(2, routes, [standins.service("booking-app")]))
    await store.put(f"servers/{worker.id}", worker.entry())
    gateways = standins.Gateways(record, store.addr, ["ranong-hall", "phuket-hall"])
    try:
        gateways.start_all()
        if not await gateways.wait_ready():
            raise standins.Unrunnable("the gateways were not ready in time")
        first, second = gateways.front(0), gateways.front(1)

        def book(front, name, **more):
            return request(record, front, "POST", f"/book/{name}", budget_ms=1000, **more)

        # 36 ordinary calls: of all 46 answers one is repeated later, and one has no length.
        for number in range(18):
            await asyncio.gather(book(first, f"a{number}"), book(first, f"b{number}"))
        # Two calls at once keep two channels of the first gateway open.
        await asyncio.gather(book(first, "plain"), book(first, "extra"))
        # The worker is slow with five calls of the second gateway's callers; a sixth waits for the slot of
        # the answer without a length.
        slow = [asyncio.create_task(book(second, f"slow{number}")) for number in range(5)]
        await asyncio.sleep(0.02)
        unframed = asyncio.create_task(book(first, "unframed"))
        await asyncio.sleep(0.05)
        slow.append(asyncio.create_task(book(second, "slow5")))
        await asyncio.wait([unframed], timeout=0.5)
        await book(first, "seat-12", what="(not idempotent)")
        await asyncio.gather(unframed, *slow)
        await asyncio.sleep(2)
    finally:
        gateways.end()
        leases.cancel()
    if len(record.answers) < 45 or list(record.answers.values()).count(200) < 40:
        raise standins.Unrunnable("too few calls were answered")
    broken = False
    for id, status in record.answers.items():
        if status in (408, 421, 429, 503) and record.runs.get(id):
            record.line(f"REFUSED: request {id} was answered {status}, which promises that it never runs, "
                        f"and ran at {record.runs[id]}")
            broken = True
        if len(record.runs.get(id, [])) > 1:
            record.line(f"TWICE: request {id} ran at {record.runs[id]}")
            broken = True
    return broken


if __name__ == "__main__":
    standins.main(case, FOLDER)
