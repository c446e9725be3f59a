"""Runs one Controller for each router instance of the simulator: JSON lines on stdin, replies on stdout.

Translates between the simulator's messages and the controllers. Takes no decisions.
"""

from __future__ import annotations

import json
import sys
from typing import IO, Any

from . import wire
from .control import Controller
from .interface import Event, ListKind, Server, ServersListed


class ProtocolError(Exception):
    """An input line does not follow the wire format. The message has its number and what was expected."""


class Host:
    """The controllers of all instances, by the instance's name."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.columns: dict[str, list[str]] = {}  # instance -> columns of its load reports
        self.directories: dict[int, tuple[Server, ...]] = {}  # lists of servers by their number

    def batch(self, now: float, messages: list[list[Any]]) -> list[str]:
        """Process one batch and return the reply lines; each instance handles its events in one call."""
        out: list[str] = []
        pending: dict[str, list[Event]] = {}

        for message in messages:
            name = message[0]
            if name == "directory":
                self.directories[message[1]] = tuple(wire.server(row) for row in message[2])
                continue
            instance = message[1]
            if name == "start":
                self._run(instance, now, pending.pop(instance, []), out)
                self.columns[instance] = wire.columns(message[3])
                try:
                    self.controllers[instance] = Controller(wire.settings(message[3]), message[2])
                except Exception as err:
                    self.controllers.pop(instance, None)
                    out.append(json.dumps(["bug", instance, f"start: {err}"]))
            elif name == "stop":
                # A stopped instance's requests no longer exist: actions for its events would name them.
                pending.pop(instance, None)
                self.controllers.pop(instance, None)
            elif name == "endpoints":
                kind = wire.LIST_KINDS[message[2]]
                servers = () if kind is ListKind.FAILED else self.directories[message[3]]
                pending.setdefault(instance, []).append(ServersListed(kind, servers))
            else:
                event = wire.event(message, self.columns.get(instance, []))
                if event is not None:
                    pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            self._run(instance, now, events, out)
        return out

    def _run(self, instance: str, now: float, events: list[Event], out: list[str]) -> None:
        controller = self.controllers.get(instance)
        if controller is None or not events:
            return
        try:
            out.extend(wire.encode_action(instance, action) for action in controller.handle(now, events))
        except Exception as err:  # the wire format has a message for failures of the module itself
            out.append(json.dumps(["bug", instance, f"{type(err).__name__}: {err}"]))


def serve(stdin: IO[str], stdout: IO[str]) -> None:
    """Process batches until the input ends. Raises ProtocolError for a line that cannot be processed."""
    host = Host()
    now = 0.0
    messages: list[list[Any]] = []
    for number, line in enumerate(stdin, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
        except ValueError as err:
            raise ProtocolError(f"line {number}: expected one JSON array, {err}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise ProtocolError(f"line {number}: expected an array whose first element is a message name")
        try:
            if message[0] == "mark":
                now = float(message[1]) / 1000.0
                messages = []
            elif message[0] == "over-to-you":
                lines = host.batch(now, messages)
                messages = []
                stdout.write("\n".join([*lines, '["end"]\n']))
                stdout.flush()
            else:
                messages.append(message)
        except (KeyError, IndexError, TypeError, ValueError) as err:
            error = f"{type(err).__name__} {err}"
            raise ProtocolError(
                f"line {number}: expected the values of the wire format, got {error}"
            ) from None


def main() -> int:
    """Serve standard input and output; the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except ProtocolError as err:
        print(f"hopshed: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
