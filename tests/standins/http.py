"""Threaded HTTP server on which the stand-ins are built."""

import json
import socket
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LOST_S = 60.0
"""Time, in seconds, for which a call that never gets an answer keeps its connection open."""


class RawJson(str):
    """JSON text that stands for a value in a document, for what json.dumps cannot write."""


def dump_json(doc):
    """Return a document as JSON, with raw values as they are."""
    raw = []

    def walk(value):
        if isinstance(value, RawJson):
            raw.append(value)
            return f"@raw-{len(raw)}@"
        if isinstance(value, dict):
            return {name: walk(inner) for name, inner in value.items()}
        return [walk(inner) for inner in value] if isinstance(value, list | tuple) else value

    text = json.dumps(walk(doc))
    for n, value in enumerate(raw, 1):
        text = text.replace(f'"@raw-{n}@"', value)
    return text.encode(errors="surrogateescape")


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Suppress the access log."""

    def lose_answer(self):
        """Never answer, but keep the connection open until the client closes it."""
        self.connection.settimeout(LOST_S)
        with suppress(OSError):
            self.connection.recv(1)
        self.close_connection = True

    def reply(self, status, data=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class _ThreadedServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, *args):
        super().__init__(*args)
        self._connections = set()

    def verify_request(self, request, client_address):
        return self.standin.accepts(client_address[0])

    def process_request(self, request, client_address):
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._connections.discard(request)
        super().shutdown_request(request)

    def reset_connections(self):
        """Close all connections, also those on which a request is being served."""
        for sock in self._connections.copy():
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """Suppress the traceback: tests close connections within requests."""


class StandIn:
    """A server for a handler class, which runs in a thread within the context."""

    def __init__(self, ip, port, handler):
        self.server = _ThreadedServer((ip, port), handler)
        self.server.standin = self
        self.address = f"{ip}:{self.server.server_port}"
        self.url = f"http://{self.address}"

    def accepts(self, ip):
        """Return whether to serve a new connection from an address, or to close it at once."""
        return True

    def _start(self):
        serve = self.server.serve_forever
        threading.Thread(target=serve, args=(0.05,), daemon=True).start()

    def __enter__(self):
        self._start()
        return self

    def __exit__(self, *_):
        self.server.shutdown()
        self.server.server_close()

    def restart(self, pause_s):
        """Stop at once, reset all connections and listen again after `pause_s` seconds."""
        handler, address = self.server.RequestHandlerClass, self.server.server_address
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.server.reset_connections()
        StandIn.__exit__(self)
        time.sleep(pause_s)
        self.server = _ThreadedServer(address, handler)
        self.server.standin = self
        self._start()
