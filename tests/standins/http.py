"""Threaded HTTP server on which the stand-ins are built."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Suppress the access log."""

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

    def handle_error(self, request, client_address):
        """Suppress the traceback: tests close connections within requests."""


class StandIn:
    """A server for a handler class, which runs in a thread within the context."""

    def __init__(self, ip, port, handler):
        self.server = _ThreadedServer((ip, port), handler)
        self.server.standin = self
        self.address = f"{ip}:{self.server.server_port}"
        self.url = f"http://{self.address}"
        self._thread = threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self.server.shutdown()
        self.server.server_close()
