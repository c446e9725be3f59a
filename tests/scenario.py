"""Runs the scenarios of the network tests, one action per line, against a router on loopback.

    client send ask id=r1 lane=fault-lookup     sends a message that `messages` defines, with its arguments
    reader expect POST /v1/chat/completions     waits until the party has received this text
    reader close | reader reset                 closes or resets the party's connection
    reader close listening                      refuses new connections to the party
    client expect closed                        waits until the router has closed the connection
    wait 0.5                                    advances the router's clock by this many seconds

A party listens (workers, tool servers, discovery) or connects when it is first named (clients). Router,
parties and clock share one thread: the tests advance the clock, and nothing sleeps.
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

EXPECT_TIMEOUT_S = 3.0  # of the router's clock, after which an expectation fails
SETTLE_TURNS = 4  # before the clock is advanced
STEP_S = 0.01  # of the router's clock, in each turn of a wait


class Clock:
    """A clock that tests advance; in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class RecordingLog(Log):
    """Keeps the log lines for the tests to look at."""

    def __init__(self) -> None:
        super().__init__("test")
        self.lines: list[str] = []

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        self.lines.append(f"{event}: {detail}")


class FakePeer:
    """A client, a worker, a tool server or discovery: its newest connection and the text received on it."""

    def __init__(self, address: tuple[str, int] | None = None, keep_connections: bool = False) -> None:
        """Listen, or connect to `address` when something is sent.

        With `keep_connections`, earlier connections stay open when a new one is accepted.
        """
        self.listener = None if address else socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = address or self.listener.getsockname()  # type: ignore[union-attr]
        self.sock: socket.socket | None = None
        self.unread = False  # set by tests: do not read what is sent to it
        self.keep_connections, self.earlier_sockets = keep_connections, list[socket.socket]()
        self.text, self.heard = "", ""  # received after the last expected text; received on all connections
        self.ended, self.connections = False, 0

    @property
    def place(self) -> str:
        """The address as HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"

    def poll(self) -> None:
        """Accept a connection and read what has arrived."""
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
        """Use a new connection."""
        sock.setblocking(False)
        # Otherwise small writes wait for an acknowledgement, far longer than the tests' clock allows.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.sock is not None and self.keep_connections:
            self.earlier_sockets.append(self.sock)
        self.sock, self.text, self.ended = sock, "", False
        self.connections += 1

    def send(self, data: bytes) -> None:
        """Send bytes, on a new connection if there is none."""
        if self.sock is None:
            self.begin(socket.create_connection(self.address))
        assert self.sock is not None
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self, reset: bool = False) -> None:
        """Close or reset the newest connection."""
        assert self.sock is not None
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
        self.sock = None

    def close_all(self) -> None:
        """Close everything, at the end of a test."""
        for sock in (self.sock, self.listener, *self.earlier_sockets):
            if sock is not None:
                sock.close()


def _ended(party: FakePeer) -> bool:
    return party.ended


def _has(party: FakePeer, text: str) -> bool:
    return text in party.text


class Play:
    """A router's service, its parties, and the scenarios that run against them."""

    def __init__(self, messages: dict[str, Callable[..., bytes]]) -> None:
        self.clock, self.log = Clock(), RecordingLog()
        self.service = Service(self.log, Loop(self.log, self.clock))
        self.parties: dict[str, FakePeer] = {}
        self.messages = messages

    def turn(self, seconds: float = 0.0005, max_wait_s: float = 0.0005) -> None:
        """Advance the clock, then run the router's loop and poll the parties.

        The loop waits at most `max_wait_s` seconds of real time for events.
        """
        self.clock.now += seconds
        while self.service.loop.run_turn(max_wait_s):
            pass
        for party in list(self.parties.values()):
            party.poll()

    def until(self, true: Callable[[], bool], what: str) -> None:
        """Run turns until a condition holds; raises AssertionError with `what` after the timeout."""
        end = self.clock.now + EXPECT_TIMEOUT_S
        while not true():
            if self.clock.now > end:
                heard = {name: party.text[-300:] for name, party in self.parties.items()}
                raise AssertionError(f"{what}; heard {heard}; log {self.log.lines[-5:]}")
            self.turn()

    def wait(self, seconds: float) -> None:
        """Advance the clock in steps, once what has been sent has arrived."""
        for _ in range(SETTLE_TURNS):  # what has been sent arrives before the clock is advanced
            self.turn(0.0, 0.003)
        for _ in range(round(seconds / STEP_S)):
            self.turn(STEP_S)

    def play(self, scenario: str) -> Play:
        """Run a scenario; raises AssertionError where an expectation fails."""
        for line in filter(str.strip, scenario.splitlines()):
            party_name, verb, *rest = line.split(maxsplit=2)
            text = rest[0] if rest else ""
            if party_name == "wait":
                self.wait(float(verb))
                continue
            party = self.parties.get(party_name)
            if party is None:  # a further client
                party = self.parties[party_name] = FakePeer(self.parties["client"].address)
            if verb == "send":
                name, *arguments = text.split()
                party.send(self.messages[name](**dict(argument.split("=", 1) for argument in arguments)))
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
        """Deliver a SIGTERM to the service."""
        self.service.handle_event(Event.TERM)

    def end(self) -> None:
        """Close all parties."""
        for party in self.parties.values():
            party.close_all()
