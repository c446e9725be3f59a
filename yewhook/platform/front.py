"""Puts the platform's front together, and ends it in good order."""

from __future__ import annotations

import contextlib
import gc
import signal
import socket
import time

from hopshed import interface as i

from ..config import Address, Config
from ..core.router import Router
from ..log import Log
from ..loop import Loop
from .clients import ClientFront
from .discovery import Registry, Watch
from .reservations import Reservations
from .workers import HttpWorkers, WorkerPool

SPARE_SOCKETS = 64  # kept free of clients, for workers, discovery and files
KEEP_ACCEPTING = 0.5  # s after SIGTERM in which new connections still arrive
LAST_MOMENT = 0.3  # s before the end of the grace at which streams that still run are broken off


def listen(address: Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(512)
    return listener


class Service:
    def __init__(self, config: Config, log: Log) -> None:
        self.config, self.log = config, log
        self.loop = loop = Loop(log)
        most = config.limits.sockets - SPARE_SOCKETS
        self.pool = WorkerPool(
            loop, lambda: loop.sockets < most + SPARE_SOCKETS // 2, config.connect_timeout, config.idle_limit
        )
        self.registry = Registry(config.names, time.monotonic() - time.time())
        self.reservations = Reservations(loop, self.pool, self.registry.running)
        workers = HttpWorkers(self.pool, config.names.columns, self.reservations.release)
        workers.addresses = self.registry.addresses
        self.router = Router(
            config.settings, config.seed, loop.deadlines, lambda: loop.now, workers, log
        )
        workers.told = self.router
        loop.deciders.append(self.router)
        self._known()
        listener = listen(config.listen)
        self.port: int = listener.getsockname()[1]
        self.front = ClientFront(loop, self.router, config.names, listener, lambda: loop.sockets < most)
        generation = int(config.known.get("generation") or 0)
        self.watch = Watch(loop, config.discovery, generation, self.registry, self._listed)

    def _known(self) -> None:
        try:
            servers = self.registry.read(self.config.known)
        except (KeyError, TypeError, ValueError) as error:
            self.log("known list not understood", str(error))
            servers = ()
        self.router.listed(i.ListKind.SAVED, servers)

    def _listed(self, kind: i.ListKind, servers: tuple[i.Server, ...]) -> None:
        self.pool.keep_only(self.registry.in_use())
        self.router.listed(kind, servers)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish what was taken."""
        wake_read, wake_write = socket.socketpair()
        for end in (wake_read, wake_write):
            end.setblocking(False)
        signal.set_wakeup_fd(wake_write.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self.loop.watch(wake_read, 1, lambda _: self._signalled(wake_read))
        gc.collect()
        gc.freeze()
        self.log("serving", f"on {self.config.listen[0]}:{self.port}")
        self.loop.run()
        self.log("stopped")

    def _signalled(self, wake: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            wake.recv(64)
        self.drain()

    def drain(self) -> None:
        if self.front.draining:
            return
        self.front.draining = True
        self.log("draining", f"{len(self.router.lives)} requests open")
        self.loop.after(KEEP_ACCEPTING, self.front.stop_accepting)
        self.loop.after(KEEP_ACCEPTING, self._finish)
        longest = max(3.0, *(c.patience for c in self.config.settings.classes))
        self.loop.after(longest + KEEP_ACCEPTING - LAST_MOMENT, self._break_off)

    def _finish(self) -> None:
        if self.router.busy or self.reservations.busy or self.front.connections:
            return self.loop.after(0.02, self._finish)
        self.watch.close()
        self.loop.stopped = True
        return None

    def _break_off(self) -> None:
        """The platform kills what still runs; a stream broken off first goes on at another router."""
        self.router.break_off_streams()
        self.loop.after(LAST_MOMENT / 2, lambda: setattr(self.loop, "stopped", True))
