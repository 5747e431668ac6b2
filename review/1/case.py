"""Workers crash while they write answers that have no length. See claim.txt."""
import collections
import hashlib
import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.request
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import deployment  # noqa: E402
from deployment import DIRECTORY, HOST, KEY, ZONES  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 3
SLOTS = 6
REQUESTERS = 9
PER_S = 83.6
LENGTH_S = 60.0
FIRST_CRASH_S = 3.0
CRASH_EVERY_S = 4.0
# What the site files name for crashes: down for 1.2 to 4.5 s.
DOWN_S = 1.2
UNFRAMED_SHARE = 1.0


class Workers:
    """The workers of the service; a crashed one comes back as another lifetime."""

    def __init__(self, place, runs_file):
        self.place, self.runs_file = place, runs_file
        self.now = {}

    def start(self, number):
        worker_id = f"i-{uuid.uuid4().hex[:10]}"
        command = [sys.executable, str(FOLDER.parent / "standin/worker.py"), worker_id,
                   "127.0.0.1", "0", str(self.runs_file), str(SLOTS), str(UNFRAMED_SHARE)]
        process = self.place.spawn(command, stdout=subprocess.PIPE, text=True)
        port = int(process.stdout.readline().split()[1])
        self.place.list_worker(worker_id, "booking-app", f"127.0.0.1:{port}", ZONES[number], SLOTS)
        self.now[number] = (worker_id, process)

    def crash(self, number):
        worker_id, process = self.now[number]
        process.send_signal(signal.SIGKILL)
        process.wait()
        return worker_id


class Requester(threading.Thread):
    """Sends quick calls over a kept channel; a failed one isn't repeated."""

    def __init__(self, place, number, until, record):
        super().__init__(daemon=True)
        self.place, self.until, self.record = place, until, record
        self.number, self.results = number, []

    def address(self):
        gateway = self.place.ip(self.number % len(self.place.gateways))
        url = (f"http://{gateway}:{DIRECTORY}/siskinrock/resolve?name={HOST}"
               f"&region=th-andaman&zone={ZONES[self.number % 3]}")
        with urllib.request.urlopen(url, timeout=1) as answer:
            return random.choice(json.load(answer)["addresses"])

    def run(self):
        channel = None
        while time.monotonic() < self.until:
            time.sleep(random.uniform(0.5, 1.5) * REQUESTERS / PER_S)
            request_id = uuid.uuid4().hex[:16]
            is_booking = random.random() < 0.7
            headers = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline": "2500",
                       "X-Key": KEY}
            self.record(f"sent {request_id}")
            try:
                if channel is None:
                    channel = http.client.HTTPConnection(self.address(), timeout=4)
                if is_booking:
                    channel.request("POST", "/book/2f", body=b"x" * 600, headers=headers)
                else:
                    channel.request("GET", "/look/2f", headers=headers)
                answer = channel.getresponse()
                body = answer.read()
                is_signed = answer.getheader("X-Response-Signature") is not None
                closes = answer.getheader("Connection", "").lower() == "close"
                got = (request_id, answer.status, is_signed, len(body),
                       hashlib.sha256(body).hexdigest())
                self.results.append(got)
                self.record("answered %s %s signed=%s bytes=%s sha256=%s" % got)
            except (OSError, http.client.HTTPException) as error:
                self.record(f"failed {request_id} {error!r}")
                closes = True
            if closes and channel is not None:
                channel.close()
                channel = None


def play(place, record):
    runs_file = pathlib.Path(place.folder.name) / "runs.txt"
    routes = [deployment.route("r-book", "/book/", "non_idempotent", "booking-app", 2500, 150, 1),
              deployment.route("r-look", "/look/", "idempotent", "booking-app", 2500, 150, 2)]
    place.write("op/config", deployment.config(
        7, routes, [deployment.plain_service("booking-app")]))
    workers = Workers(place, runs_file)
    for number in range(WORKERS):
        workers.start(number)
    place.start_gateways()
    time.sleep(2)
    started = time.monotonic()
    until = started + LENGTH_S
    requesters = [Requester(place, number, until, record) for number in range(REQUESTERS)]
    for requester in requesters:
        requester.start()
    crash_at, turn = started + FIRST_CRASH_S, 0
    while TROUBLE and crash_at < until - CRASH_EVERY_S:
        time.sleep(max(0.0, crash_at - time.monotonic()))
        number = turn % WORKERS
        worker_id = workers.crash(number)
        record(f"crashed {worker_id}")
        time.sleep(DOWN_S)
        # The store drops the entry of a worker that is silent.
        place.remove(f"servers/{worker_id}")
        workers.start(number)
        turn += 1
        crash_at += CRASH_EVERY_S
    for requester in requesters:
        requester.join(LENGTH_S + 10)
    time.sleep(1)
    runs = [line.split() for line in runs_file.read_text().splitlines()]
    return runs, [got for requester in requesters for got in requester.results], turn


def judge(runs, results, crashes, record):
    """MIXED: a success whose body isn't the worker's whole body."""
    whole = collections.defaultdict(list)
    for request_id, worker, length, digest, framing in runs:
        record(f"run {request_id} at {worker}: {length} bytes, sha256 {digest}, {framing}")
        whole[request_id].append((digest, int(length), framing))
    statuses = collections.Counter(status for _, status, _, _, _ in results)
    broken = []
    for request_id, status, is_signed, length, digest in results:
        if not 200 <= status < 300:
            continue
        is_whole = any(digest == known for known, _, _ in whole[request_id])
        if not is_signed or not is_whole:
            broken.append(f"MIXED {request_id}: status {status}, signed {is_signed}, {length} bytes;"
                          f" whole bodies: {[(size, how) for _, size, how in whole[request_id]]}")
    for line in broken:
        record(line)
    summary = (f"answers {dict(statuses)}, runs {len(runs)}, crashes {crashes}, "
               f"successes with a body that isn't whole {len(broken)}")
    record(summary)
    print(summary)
    print("\n".join(broken[:3]))
    return 1 if broken else 0


def main():
    lock = threading.Lock()
    with open(FOLDER / "record.txt", "w") as record_file:
        def record(line):
            with lock:
                record_file.write(f"{time.monotonic():.3f} {line}\n")

        place = None
        try:
            place = deployment.Deployment(gateways=3)
            runs, results, crashes = play(place, record)
            if sum(status == 200 for _, status, _, _, _ in results) < PER_S * LENGTH_S / 4:
                print("too few answers to judge")
                return 2
            return judge(runs, results, crashes, record)
        except deployment.CannotRun as error:
            print("can't run:", error)
            return 2
        finally:
            if place is not None:
                if os.environ.get("KEEP_LOGS"):
                    place.keep_logs(os.environ["KEEP_LOGS"])
                place.end()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except SystemExit:
        raise
    except BaseException as error:  # The case couldn't run.
        print("can't run:", repr(error))
        sys.exit(2)
