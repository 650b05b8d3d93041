"""A fault-injecting proxy for TCP and UDP between the VMs of a test.

Each VM listens on a real IP address and advertises one of the proxy's. The proxy identifies
senders by source address, so that a fault can affect one direction between two hosts.
"""

import asyncio
import random
import threading
import time
from contextlib import suppress
from dataclasses import dataclass

CHUNK = 65536


@dataclass
class Fault:
    """A fault in the direction from one IP address to another.

    `cut` stalls connections and drops datagrams, `loss` is the probability that a datagram is
    dropped, and `lose_answers` aborts a connection when its response arrives.
    """

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0
    lose_answers: bool = False


class Proxy:
    """Forwards (advertised IP, port) to (real IP, port), from a thread of its own."""

    def __init__(self, seed=0):
        self.loop = asyncio.new_event_loop()
        self.rng = random.Random(seed)
        self.faults = {}
        self.connections = set()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._servers = []
        self.transfers = []

    def bytes_between(self, sources, targets, start, end):
        """Return the bytes forwarded over TCP from `sources` to `targets` in [start, end)."""
        return sum(
            size
            for at, src, dst, size in list(self.transfers)
            if start <= at < end and src in sources and dst in targets
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        asyncio.run_coroutine_threadsafe(self._close(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)

    async def _close(self):
        for server in self._servers:
            server.close()
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_fault(self, src, dst, **values):
        """Set the fault from one real IP to another; `*` on one side stands for any."""
        self.faults[(src, dst)] = Fault(**values)

    def heal(self):
        """Remove all faults; connections that were aborted stay closed."""
        self.faults.clear()

    def fault(self, src, dst):
        """Return the current fault from one IP to another."""
        for pair in ((src, dst), (src, "*"), ("*", dst)):
            if pair in self.faults:
                return self.faults[pair]
        return Fault()

    def drop_connections(self, src, dst):
        """Abort the connections from one IP to another."""

        def drop():
            for conn in list(self.connections):
                if (conn.src, conn.dst) == (src, dst):
                    conn.abort()

        self.loop.call_soon_threadsafe(drop)

    def forward(self, listen_ip, real_ip, tcp_ports, udp_ports=()):
        """Start forwarding the given ports of one host."""
        task = self._forward(listen_ip, real_ip, tcp_ports, udp_ports)
        asyncio.run_coroutine_threadsafe(task, self.loop).result(5)

    async def _forward(self, listen_ip, real_ip, tcp_ports, udp_ports):
        for port in tcp_ports:

            def handle(reader, writer, port=port):
                return _TcpConnection(self, real_ip, port, reader, writer).run()

            server = await asyncio.start_server(handle, listen_ip, port, backlog=512)
            self._servers.append(server)
        for port in udp_ports:
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda port=port: _DatagramForwarder(self, real_ip, port),
                local_addr=(listen_ip, port),
            )
            self._servers.append(transport)


class _DatagramForwarder(asyncio.DatagramProtocol):
    def __init__(self, proxy, real_ip, port):
        self.proxy, self.target = proxy, (real_ip, port)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        fault = self.proxy.fault(addr[0], self.target[0])
        if fault.cut or self.proxy.rng.random() < fault.loss:
            return
        self.proxy.loop.call_later(fault.delay_s, self.transport.sendto, data, self.target)


class _TcpConnection:
    def __init__(self, proxy, real_ip, port, reader, writer):
        self.proxy, self.port = proxy, port
        self.src = writer.get_extra_info("peername")[0]
        self.dst = real_ip
        self.client_streams = (reader, writer)
        self.server_streams = None
        proxy.connections.add(self)

    async def run(self):
        try:
            while self.proxy.fault(self.src, self.dst).cut:
                await asyncio.sleep(0.05)
            self.server_streams = await asyncio.open_connection(self.dst, self.port)
            requests = self._pump(
                self.client_streams[0], self.server_streams[1], self.src, self.dst
            )
            responses = self._pump(
                self.server_streams[0], self.client_streams[1], self.dst, self.src
            )
            await asyncio.gather(requests, responses)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.abort()

    async def _pump(self, reader, writer, src, dst):
        is_answer = src == self.dst
        while True:
            data = await reader.read(CHUNK)
            fault = self.proxy.fault(src, dst)
            if is_answer and data and self.proxy.fault(dst, src).lose_answers:
                self.abort()
                return
            if fault.delay_s:
                await asyncio.sleep(fault.delay_s)
            while self.proxy.fault(src, dst).cut:
                await asyncio.sleep(0.05)
            if not data:
                with suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            self.proxy.transfers.append((time.monotonic(), src, dst, len(data)))
            writer.write(data)
            await writer.drain()

    def abort(self):
        self.proxy.connections.discard(self)
        for pair in (self.client_streams, self.server_streams):
            if pair is not None:
                pair[1].transport.abort()
