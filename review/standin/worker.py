"""A worker of a plain service, as PROTOCOL.md describes it.

usage: worker.py ID ADDRESS PORT RUNS_FILE SLOTS UNFRAMED_SHARE

It writes each answer as it makes it, in four pieces over its work of 20 to 60 ms. A share of the
answers have no length and end with their channel. Before the first byte of an answer it writes a
line into RUNS_FILE: the request's id, its own id, and the length and hash of the whole body.
"""
import hashlib
import os
import random
import socket
import sys
import threading
import time

ID, ADDRESS, PORT, RUNS_FILE = sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]
SLOTS, UNFRAMED_SHARE = int(sys.argv[5]), float(sys.argv[6])
PIECES = 4
QUEUE = 24
runs = os.open(RUNS_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
slots = threading.Semaphore(SLOTS)
waiting = threading.Semaphore(SLOTS + QUEUE)


def read_request(stream):
    head = stream.readline().decode("latin-1").split()
    if len(head) < 3:
        return None
    headers = {}
    while True:
        line = stream.readline().decode("latin-1")
        if not line.strip():
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return head[0], head[1], headers, body


def head(status, reason, headers):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(channel, request_id):
    """Runs a request; returns whether the channel may be used again."""
    body = random.randbytes(random.randint(200, 1200)).hex().encode()
    is_unframed = random.random() < UNFRAMED_SHARE
    line = f"{request_id} {ID} {len(body)} {hashlib.sha256(body).hexdigest()}"
    os.write(runs, (line + (" unframed" if is_unframed else " framed") + "\n").encode())
    headers = [("X-Request-Id", request_id), ("X-Response-Signature", f"{ID}.{request_id}"),
               ("Content-Type", "application/octet-stream")]
    if is_unframed:
        headers.append(("Connection", "close"))
    else:
        headers.append(("Content-Length", len(body)))
    pause_s = random.uniform(0.02, 0.06) / PIECES
    step = -(-len(body) // PIECES)
    for index in range(PIECES):
        time.sleep(pause_s)
        piece = body[index * step:(index + 1) * step]
        channel.sendall(head(200, "OK", headers) + piece if index == 0 else piece)
    return not is_unframed


def serve(channel):
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = channel.makefile("rb")
    try:
        while True:
            request = read_request(stream)
            if request is None:
                return
            _, path, headers, _ = request
            if path == "/healthz":
                channel.sendall(head(200, "OK", [("X-Instance-Id", ID), ("Content-Length", 0)]))
                continue
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", ID) != ID:
                fields = [("X-Instance-Id", ID), ("Content-Length", 0)]
                channel.sendall(head(421, "Misdirected Request", fields))
                continue
            if not waiting.acquire(blocking=False):
                fields = [("X-Request-Id", request_id), ("X-Not-Executed", 1),
                          ("Content-Length", 0)]
                channel.sendall(head(503, "Service Unavailable", fields))
                continue
            try:
                with slots:
                    is_kept = answer(channel, request_id)
            finally:
                waiting.release()
            if not is_kept:
                return
    except (OSError, ValueError):
        pass
    finally:
        stream.close()
        channel.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ADDRESS, PORT))
    listener.listen(128)
    print("listening", listener.getsockname()[1], flush=True)
    while True:
        channel, _ = listener.accept()
        threading.Thread(target=serve, args=(channel,), daemon=True).start()


main()
