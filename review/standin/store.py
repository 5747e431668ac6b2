"""A stand-in for the platform's store, as PROTOCOL.md describes it.

usage: store.py ADDRESS PORT

It keeps items with revisions, watches and leases in memory. Lines on standard input are the
writes of the operator and of the workers, which the gateways may not make:
    put KEY JSON
    remove KEY
Each line is answered by one line, the revision, which is the confirmation.
"""
import base64
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Items:
    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100

    def put(self, key, value, lease=0):
        with self.lock:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "mod-revision": self.revision, "created": created}
            self.items[key] = item
            self.events.append((self.revision, dict(item)))
            self.lock.notify_all()
            return self.revision

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "mod-revision": self.revision, "deleted": True}
                self.events.append((self.revision, event))
                self.lock.notify_all()
            return self.revision

    def end_leases(self):
        """Removes what was written under leases that have ended."""
        with self.lock:
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease):
        with self.lock:
            known = self.leases.pop(lease, None) is not None
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)
            return known

    def transact(self, call):
        with self.lock:
            self.end_leases()
            rows = call.get("expected-revision") or []
            current = [self.items.get(row["key"]) for row in rows]
            differ = [(item or {"mod-revision": 0})["mod-revision"] != row["mod-revision"]
                      for item, row in zip(current, rows)]
            if any(differ):
                items = [item or {"key": row["key"], "mod-revision": 0, "deleted": True}
                         for item, row in zip(current, rows)]
                return 412, {"items": items}
            writes, removals = call.get("writes") or [], call.get("remove") or []
            keys = [write["key"] for write in writes] + list(removals)
            if any(key.startswith(("op/", "servers/")) for key in keys):
                return 403, {}
            leases = [write.get("lease", 0) for write in writes]
            if any(lease and lease not in self.leases for lease in leases):
                return 404, {}
            for write in writes:
                value = base64.b64decode(write["value"])
                self.put(write["key"], value, write.get("lease", 0))
            for key in removals:
                self.remove(key)
            return 200, {"mod-revision": self.revision}


ITEMS = Items()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        ITEMS.end_leases()
        if url.path == "/siskinrock/kv-key":
            with ITEMS.lock:
                item = ITEMS.items.get(query.get("key"))
                at = ITEMS.revision
            self.answer(200, {**item, "at": at}) if item else self.answer(404, {"at": at})
        elif url.path == "/siskinrock/kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            with ITEMS.lock:
                keys = sorted(key for key in ITEMS.items if key.startswith(prefix) and key > after)
                page = [ITEMS.items[key] for key in keys[:PAGE_ITEMS]]
                at = ITEMS.revision
            self.answer(200, {"items": page, "has-more": len(keys) > PAGE_ITEMS, "at": at})
        elif url.path == "/siskinrock/kv-watch":
            prefix, after = query.get("path-prefix", ""), int(query.get("after", 0))
            until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            with ITEMS.lock:
                while True:
                    events = [event for revision, event in ITEMS.events
                              if revision > after and event["key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        break
                    ITEMS.lock.wait(left)
                at = ITEMS.revision
            self.answer(200, {"events": events, "at": at})
        else:
            self.answer(404, {})

    def do_POST(self):
        call = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")
        path = urlsplit(self.path).path
        if path == "/siskinrock/kv-txn":
            self.answer(*ITEMS.transact(call))
        elif path == "/siskinrock/kv-lease":
            with ITEMS.lock:
                ITEMS.next_lease += 1
                ttl_s = call["ttl-ms"] / 1000
                ITEMS.leases[ITEMS.next_lease] = (time.monotonic() + ttl_s, ttl_s)
                granted = {"lease": ITEMS.next_lease, "ttl-ms": call["ttl-ms"]}
            self.answer(200, granted)
        elif path.startswith("/siskinrock/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            with ITEMS.lock:
                ITEMS.end_leases()
                known = ITEMS.leases.get(lease)
                if known:
                    ITEMS.leases[lease] = (time.monotonic() + known[1], known[1])
            self.answer(200, {"ttl-ms": int(known[1] * 1000)}) if known else self.answer(404, {})
        else:
            self.answer(404, {})

    def do_DELETE(self):
        path = urlsplit(self.path).path
        lease = int(path.rsplit("/", 1)[1]) if path.startswith("/siskinrock/kv-lease-end/") else 0
        self.answer(200 if ITEMS.end_lease(lease) else 404, {})


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def main():
    server = Server((sys.argv[1], int(sys.argv[2])), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    print("listening", server.server_address[1], flush=True)
    for line in sys.stdin:
        words = line.rstrip("\n").split(" ", 2)
        if words[0] == "put":
            print(ITEMS.put(words[1], words[2].encode()), flush=True)
        elif words[0] == "remove":
            print(ITEMS.remove(words[1]), flush=True)


main()
