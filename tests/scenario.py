"""The scenario language of the network tests: who does what, a line each, against a router on loopback.

    client send ask id=r1 lane=fault-lookup     what is sent is named in `SAYINGS`
    reader expect POST /v1/chat/completions     the party has received this text
    reader close | reader reset                 its connection ends, in good order or not
    reader close listening                      new connections to it are refused
    client expect closed                        the router has ended the connection
    wait 0.5                                    the router's clock goes on so far

A party listens (workers, tool servers, discovery) or connects when first named (clients). Router, parties and
clock share one thread: the clock is moved by hand, and nothing sleeps.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from functools import partial

from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.operations.instance import Event
from yewhook.service import Service

PATIENCE = 3.0  # s of the router's time after which an expectation counts as missed
SETTLE = 4  # turns before a wait
STEP = 0.01  # s of the router's time in each turn of a wait


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class RecordingLog(Log):
    """Keeps the lines; a test can look for them."""

    def __init__(self) -> None:
        super().__init__("test")
        self.lines: list[str] = []

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        self.lines.append(f"{event}: {detail}")


class FakePeer:
    """A client, a worker, a tool server or discovery: its newest connection and what came in on it."""

    def __init__(self, address: tuple[str, int] | None = None, keeps: bool = False) -> None:
        """`keeps` = connections before the newest one stay open."""
        self.listener = None if address else socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = address or self.listener.getsockname()  # type: ignore[union-attr]
        self.sock: socket.socket | None = None
        self.unread = False  # whether it leaves in the kernel what it is sent
        self.keeps, self.earlier = keeps, list[socket.socket]()
        self.text, self.heard = "", ""  # what is not expected yet; all, on all connections
        self.ended, self.connections = False, 0

    @property
    def place(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def poll(self) -> None:
        if self.listener is not None:
            self.listener.setblocking(False)
            try:
                sock = self.listener.accept()[0]
            except BlockingIOError:
                pass
            else:
                self.begin(sock)
        if self.sock is None or self.ended or self.unread:
            return
        try:
            data = self.sock.recv(1 << 20)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.ended = not data
        self.text += data.decode()
        self.heard += data.decode()

    def begin(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        # Else small writes wait for an acknowledgement, far longer than the moved clock allows for.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.sock is not None and self.keeps:
            self.earlier.append(self.sock)
        self.sock, self.text, self.ended = sock, "", False
        self.connections += 1

    def send(self, data: bytes) -> None:
        if self.sock is None:
            self.begin(socket.create_connection(self.address))
        assert self.sock is not None
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self, reset: bool = False) -> None:
        assert self.sock is not None
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
        self.sock = None

    def shut(self) -> None:
        for sock in (self.sock, self.listener, *self.earlier):
            if sock is not None:
                sock.close()


def _ended(party: FakePeer) -> bool:
    return party.ended


def _has(party: FakePeer, text: str) -> bool:
    return text in party.text


class Play:
    """A router's service, its parties, and the scenarios played on them."""

    def __init__(self, sayings: dict[str, Callable[..., bytes]]) -> None:
        self.clock, self.log = Clock(), RecordingLog()
        self.service = Service(self.log, Loop(self.log, self.clock))
        self.parties: dict[str, FakePeer] = {}
        self.sayings = sayings

    def turn(self, seconds: float = 0.0005, longest: float = 0.0005) -> None:
        self.clock.now += seconds
        while self.service.loop.run_turn(longest):
            pass
        for party in list(self.parties.values()):
            party.poll()

    def until(self, true: Callable[[], bool], what: str) -> None:
        end = self.clock.now + PATIENCE
        while not true():
            if self.clock.now > end:
                heard = {name: party.text[-300:] for name, party in self.parties.items()}
                raise AssertionError(f"{what}; heard {heard}; log {self.log.lines[-5:]}")
            self.turn()

    def wait(self, seconds: float) -> None:
        for _ in range(SETTLE):  # what has been sent arrives before the clock goes on
            self.turn(0.0, 0.003)
        for _ in range(round(seconds / STEP)):
            self.turn(STEP)

    def play(self, scenario: str) -> Play:
        for line in filter(str.strip, scenario.splitlines()):
            who, verb, *rest = line.split(maxsplit=2)
            text = rest[0] if rest else ""
            if who == "wait":
                self.wait(float(verb))
                continue
            party = self.parties.get(who)
            if party is None:  # a further client
                party = self.parties[who] = FakePeer(self.parties["client"].address)
            if verb == "send":
                name, *words = text.split()
                party.send(self.sayings[name](**dict(word.split("=", 1) for word in words)))
            elif verb == "expect" and text == "closed":
                self.until(partial(_ended, party), f"missed: {line}")
            elif verb == "expect":
                self.until(partial(_has, party, text), f"missed: {line}")
                party.text = party.text.partition(text)[2]
            elif text == "listening":
                party.stop_listening()
            else:
                party.close(reset=verb == "reset")
        return self

    def sigterm(self) -> None:
        self.service.handle_event(Event.TERM)

    def end(self) -> None:
        for party in self.parties.values():
            party.shut()
