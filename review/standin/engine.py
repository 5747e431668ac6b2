"""A model worker, as PROTOCOL.md describes it.

usage: engine.py ID ADDRESS PORT FOLDER MUTE_SHARE DROPS

SIGUSR1 begins a time in which a share of its new requests are mute, and SIGUSR2 ends it.

It answers with a series of events, lists its runs, and keeps copies of runs (`X-Kv-Backup`,
`kv-move`). Copies are marked by files in FOLDER/copies, which stand for the transfer. A mute
request runs, and nothing of its answer is sent. With DROPS = 1 it drops a
request when its channel closes, as most workers do; with 0 it works on until the answer is made or
the time budget is over. Lines in FOLDER/runs.txt tell when the work on a request began and ended.
"""
import json
import os
import pathlib
import random
import select
import signal
import socket
import sys
import threading
import time
from urllib.parse import urlsplit

ID, ADDRESS, PORT, FOLDER = sys.argv[1], sys.argv[2], int(sys.argv[3]), pathlib.Path(sys.argv[4])
MUTE_SHARE, DROPS = float(sys.argv[5]), sys.argv[6] == "1"
SLOTS = 24
KV_TOKENS = 55_000
PREFILL_TOKENS_PER_MS = 5.0
EVENT_S = 0.027
HANDLE_S = 4.0
COPIES = FOLDER / "copies"
runs_file = os.open(FOLDER / "runs.txt", os.O_WRONLY | os.O_APPEND | os.O_CREAT)
lock = threading.RLock()
runs = {}
queued = 0
own_port = 0
is_troubled = False


def note(line):
    os.write(runs_file, f"{time.monotonic():.3f} {line}\n".encode())


class Run:
    def __init__(self, request_id, prompt_tokens, last_event, priority):
        self.id, self.tokens, self.last = request_id, prompt_tokens, last_event
        self.made, self.priority, self.stop = 0, priority, False


def read_request(stream):
    first = stream.readline().decode("latin-1").split()
    if len(first) < 3:
        return None
    headers = {}
    while True:
        line = stream.readline().decode("latin-1")
        if not line.strip():
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return first[0], first[1], headers, stream.read(int(headers.get("content-length", 0)))


def head(status, headers):
    reason = {200: "OK", 404: "Not Found", 421: "Misdirected Request",
              503: "Service Unavailable"}[status]
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reply(channel, status, body=None, headers=()):
    data = b"" if body is None else json.dumps(body).encode()
    fields = list(headers) + [("Content-Type", "application/json"), ("Content-Length", len(data))]
    channel.sendall(head(status, fields) + data)


def is_closed(channel):
    """Whether the caller has closed the channel."""
    readable, _, _ = select.select([channel], [], [], 0)
    if not readable:
        return False
    try:
        return channel.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def copy_file(address, name):
    return COPIES / f"{address.replace(':', '_')}-{name}"


def report():
    with lock:
        listed = [[run.id, run.tokens, run.made, run.priority] for run in runs.values()
                  if run.made > 0]
        used = sum(run.tokens for run in runs.values())
        state = {"stage": "both", "busy": False, "sequence": 1, "queued": queued,
                 "models": [{"name": "m", "version": 1, "lora-adapters": []}],
                 "active": len(runs), "kv-used": used, "kv-total": KV_TOKENS, "handles": 0,
                 "runs": listed}
    return state


def move(body):
    call = json.loads(body)
    with lock:
        run = runs.get(call["id"])
        if run is None:
            return 404, None
        if call.get("final"):
            run.stop = True
        created = run.last + run.made
    handle = f"h{random.getrandbits(40):x}"
    copy_file(f"{ADDRESS}:{own_port}", handle).touch()
    return 200, {"handle": handle, "created": created}


def generate(channel, headers):
    """Works on a request; returns whether the channel may be used again."""
    request_id = headers.get("x-request-id", "")
    copy = headers.get("kv-from")
    if copy is not None:
        address, name = copy.split("/")
        marker = copy_file(address, name)
        try:
            is_fresh = time.time() - marker.stat().st_mtime < HANDLE_S
            marker.unlink()
        except OSError:
            is_fresh = False
        if not is_fresh:
            reply(channel, 503, headers=[("X-Request-Id", request_id), ("X-Not-Executed", 1)])
            return True
    with lock:
        if len(runs) >= SLOTS:
            reply(channel, 503, headers=[("X-Request-Id", request_id), ("X-Not-Executed", 1)])
            return True
        prompt, events = (int(text) for text in headers["x-token-usage"].split(","))
        last = int(headers.get("last-event-id", 0))
        run = Run(request_id, prompt, last, int(headers.get("x-request-priority", 5)))
        runs[request_id] = run
    is_mute = is_troubled and copy is None and random.random() < MUTE_SHARE
    backup = headers.get("x-kv-backup")
    until = time.monotonic() + int(headers.get("x-request-deadline", 25_000)) / 1000
    note(f"begins {request_id} {ID} after={last} copy={copy is not None} mute={is_mute}")
    try:
        if copy is None:
            time.sleep(prompt / PREFILL_TOKENS_PER_MS / 1000)
        for event in range(last + 1, events + 1):
            time.sleep(EVENT_S)
            if DROPS and is_closed(channel):
                note(f"drops {request_id} {ID}")
                return False
            if run.stop or time.monotonic() > until:
                return False
            with lock:
                run.made += 1
                run.tokens += 8
            if backup and run.made % 5 == 1:
                copy_file(backup, request_id).touch()
            if is_mute:
                continue
            piece = f"id: {event}\ndata: {request_id}-{event}\n\n".encode()
            chunk = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
            if run.made == 1:
                fields = [("X-Request-Id", request_id), ("Content-Type", "text/event-stream"),
                          ("X-Response-Signature", f"{ID}.{request_id}"),
                          ("X-Weight-Versions", 1), ("Transfer-Encoding", "chunked")]
                chunk = head(200, fields) + chunk
            try:
                channel.sendall(chunk)
            except OSError:
                if DROPS:
                    note(f"drops {request_id} {ID}")
                    return False
        if is_mute:
            return False
        channel.sendall(b"0\r\n\r\n")
        return True
    finally:
        with lock:
            runs.pop(request_id, None)
        if backup:
            copy_file(backup, request_id).unlink(missing_ok=True)
        note(f"ends {request_id} {ID} made={run.made}")


def serve(channel):
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = channel.makefile("rb")
    try:
        while True:
            request = read_request(stream)
            if request is None:
                return
            method, target, headers, body = request
            path = urlsplit(target).path
            if path == "/healthz":
                reply(channel, 200, headers=[("X-Instance-Id", ID)])
            elif path == "/siskinrock/report":
                state = report()
                time.sleep(0.002)
                reply(channel, 200, state)
            elif path == "/siskinrock/kv-list":
                reply(channel, 200, {"epoch": 1, "next": 1, "held": []})
            elif path == "/siskinrock/kv-move":
                status, answer = move(body)
                reply(channel, status, answer)
            elif path.startswith("/siskinrock/"):
                reply(channel, 200 if method == "DELETE" else 404)
            elif headers.get("x-expect-instance", ID) != ID:
                reply(channel, 421, headers=[("X-Instance-Id", ID)])
            elif not generate(channel, headers):
                return
    except (OSError, ValueError, KeyError):
        pass
    finally:
        stream.close()
        channel.close()


def set_trouble(number, _):
    global is_troubled
    is_troubled = number == signal.SIGUSR1


def main():
    global own_port
    signal.signal(signal.SIGUSR1, set_trouble)
    signal.signal(signal.SIGUSR2, set_trouble)
    COPIES.mkdir(exist_ok=True)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ADDRESS, PORT))
    listener.listen(128)
    own_port = listener.getsockname()[1]
    print("listening", own_port, flush=True)
    while True:
        channel, _ = listener.accept()
        threading.Thread(target=serve, args=(channel,), daemon=True).start()


main()
