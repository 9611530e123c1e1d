"""A toy back end to try the gatekeeper with: a few workers, and the discovery that names them.

    python examples/toy_server.py [--workers 2] [--port 9100] [--discovery 8500] [--work-ms 50]

Workers listen on 127.0.0.1 from the given port on; with port 0 the system picks. Each answers a request after
its work with a line that says who did it. It is made for trying things out, not for load.
"""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Server(ThreadingHTTPServer):
    daemon_threads = True
    name = ""
    work_s = 0.0
    listing: dict[str, object]


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Server

    def reply(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        print(f"{self.server.name}: {format % args}", flush=True)


class Worker(Handler):
    def do_GET(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == "/healthz":
            return self.reply(200, b"")
        if not self.headers.get("X-Request-Id"):
            return self.reply(404, b"")
        time.sleep(self.server.work_s)
        self.reply(200, f"{self.server.name} did {self.command} {self.path} ({len(body)} bytes)\n".encode())

    do_POST = do_GET


class Discovery(Handler):
    def do_GET(self) -> None:
        asked = parse_qs(urlsplit(self.path).query)
        if "index" in asked:  # a watch: nothing ever changes here
            time.sleep(min(60.0, int(asked.get("wait", ["0"])[0]) / 1000))
            return self.reply(200, json.dumps({**self.server.listing, "whole": False, "hosts": []}).encode())
        self.reply(200, json.dumps(self.server.listing).encode())

    def log_message(self, format: str, *args: object) -> None:
        pass


def start(name: str, port: int, handler: type[Handler], work_s: float = 0.0) -> Server:
    server = Server(("127.0.0.1", port), handler)
    server.name, server.work_s = name, work_s
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def main() -> None:
    parser = argparse.ArgumentParser(description="A toy back end: workers and the discovery that names them.")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--port", type=int, default=9100, help="of the first worker; 0: the system picks")
    parser.add_argument("--discovery", type=int, default=8500, help="port of discovery; 0: the system picks")
    parser.add_argument("--work-ms", type=float, default=50.0)
    given = parser.parse_args()
    hosts = []
    for n in range(given.workers):
        port = given.port + n if given.port else 0
        worker = start(f"toy-{n}", port, Worker, given.work_ms / 1000)
        hosts.append(
            {"host": worker.name, "dial": f"127.0.0.1:{worker.server_port}", "site": "here", "class": "toy",
             "block": 0, "health": "up", "share": 1.0, "born_ms": 0}
        )  # fmt: skip
    discovery = start("discovery", given.discovery, Discovery)
    discovery.listing = {"seq": 1, "whole": True, "hosts": hosts}
    workers = [host["dial"] for host in hosts]
    print(json.dumps({"discovery": f"127.0.0.1:{discovery.server_port}", "workers": workers}), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
