"""An engine loses answers of runs that it goes on with. See claim.txt."""
import collections
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
ENGINES = 6
REQUESTERS = 18
PER_S = 3.0
LENGTH_S = 50.0
# What the site file iss-dakar names for `srv_grey` with `mute`: 0.14 of the workers (one of these
# six), 0.45 of their requests, 6.5 s.
MUTE_SHARE = 0.45
MUTE_S = 6.5
PAUSE_S = 4.5
FIRST_MUTE_S = 3.0
PROMPT_TOKENS, EVENTS = 5000, 140
# RULES.md, TWICE: still at work 400 ms after another worker has begun.
BOTH_AT_WORK_S = 0.4


class Requester(threading.Thread):
    """Asks for streams, one after another."""

    def __init__(self, place, number, until, record):
        super().__init__(daemon=True)
        self.place, self.number, self.until, self.record = place, number, until, record
        self.results = []

    def address(self):
        gateway = self.place.ip(self.number % len(self.place.gateways))
        url = (f"http://{gateway}:{DIRECTORY}/siskinrock/resolve?name={HOST}"
               f"&region=th-andaman&zone={ZONES[self.number % 3]}")
        with urllib.request.urlopen(url, timeout=1) as answer:
            return random.choice(json.load(answer)["addresses"])

    def run(self):
        while time.monotonic() < self.until:
            time.sleep(random.expovariate(PER_S / REQUESTERS))
            if time.monotonic() >= self.until:
                return
            request_id = uuid.uuid4().hex[:16]
            prompt = f"{uuid.uuid4().hex[:8]}:200,{uuid.uuid4().hex[:8]}:{PROMPT_TOKENS - 200}"
            headers = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline": "25000",
                       "X-Key": KEY, "X-Model": "m", "X-Prompt-Prefix": prompt,
                       "X-Token-Usage": f"{PROMPT_TOKENS},{EVENTS}"}
            self.record(f"sent {request_id}")
            ids, status = [], None
            channel = http.client.HTTPConnection(self.address(), timeout=18)
            try:
                channel.request("POST", "/plan/2f", body=b"x" * 5000, headers=headers)
                answer = channel.getresponse()
                status = answer.status
                for line in answer:
                    if line.startswith(b"id:"):
                        ids.append(int(line[3:]))
            except (OSError, http.client.HTTPException) as error:
                self.record(f"failed {request_id} {error!r}")
            finally:
                channel.close()
            is_whole = ids == list(range(1, EVENTS + 1))
            self.results.append((request_id, status, is_whole))
            self.record(f"answered {request_id} {status} events={len(ids)} whole={is_whole}")


def play(place, record):
    folder = pathlib.Path(place.folder.name)
    (folder / "copies").mkdir()
    routes = [deployment.route("r-plan", "/plan/", "streaming", "plan-llm", 25000, 4500, 5,
                               **{"stream-resume": True, "session-affinity": True,
                                  "target-gap-ms": 700})]
    service = deployment.plain_service("plan-llm", 210)
    service["engine"] = {"slots": 24, "kv-capacity": 55000, "kv-token-bytes": 18432,
                         "link-mbps": 370000.0, "moves": True, "backups": True, "stride": 8,
                         "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 4.0,
                         "models": [{"name": "m"}]}
    place.write("op/config", deployment.config(7, routes, [service]))
    engines = []
    for number in range(ENGINES):
        engine_id = f"i-{uuid.uuid4().hex[:10]}"
        # Most workers drop a request when its channel closes: five of these six do.
        drops = "0" if number == 0 else "1"
        command = [sys.executable, str(FOLDER.parent / "standin/engine.py"), engine_id,
                   "127.0.0.1", "0", str(folder), str(MUTE_SHARE), drops]
        process = place.spawn(command, stdout=subprocess.PIPE, text=True)
        port = int(process.stdout.readline().split()[1])
        place.list_worker(engine_id, "plan-llm", f"127.0.0.1:{port}", ZONES[number % 3], 24)
        engines.append(process)
    place.start_gateways()
    time.sleep(2)
    started = time.monotonic()
    until = started + LENGTH_S
    requesters = [Requester(place, number, until, record) for number in range(REQUESTERS)]
    for requester in requesters:
        requester.start()
    mute_at = started + FIRST_MUTE_S
    while TROUBLE and mute_at + MUTE_S < until:
        time.sleep(max(0.0, mute_at - time.monotonic()))
        engines[0].send_signal(signal.SIGUSR1)
        record("the first engine begins to lose answers")
        time.sleep(MUTE_S)
        engines[0].send_signal(signal.SIGUSR2)
        record("the first engine answers again")
        mute_at += MUTE_S + PAUSE_S
    for requester in requesters:
        requester.join(30)
    time.sleep(6)
    lines = (folder / "runs.txt").read_text().splitlines()
    return lines, [got for requester in requesters for got in requester.results]


def judge(lines, results, record):
    """TWICE: a request goes on at another worker while the worker before still works on it."""
    works = collections.defaultdict(list)
    open_works = {}
    for line in lines:
        record(f"engine {line}")
        at, what, request_id, worker = line.split()[:4]
        if what == "begins":
            open_works[request_id, worker] = float(at)
        elif what == "ends":
            works[request_id].append((open_works.pop((request_id, worker)), float(at), worker))
    broken = []
    for request_id, spans in works.items():
        spans.sort()
        for (_, ended, before), (began, _, after) in zip(spans, spans[1:]):
            if before != after and ended > began + BOTH_AT_WORK_S:
                broken.append(f"TWICE {request_id}: {before} worked on it for "
                              f"{ended - began:.2f} s after {after} had begun")
    for line in broken:
        record(line)
    statuses = collections.Counter(status for _, status, _ in results)
    whole = sum(is_whole for _, _, is_whole in results)
    summary = (f"answers {dict(statuses)}, whole {whole}, requests run {len(works)}, "
               f"at two workers at once {len(broken)}")
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
            lines, results = play(place, record)
            if sum(is_whole for _, _, is_whole in results) < PER_S * LENGTH_S / 4:
                print("too few answers to judge")
                return 2
            return judge(lines, results, record)
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
