"""Handles one router's requests: collects events, calls `hopshed` once a turn, and carries out its actions.

The router enforces what must hold on any front and whatever `hopshed` decides: one final answer for each
request, one attempt at a time, no repeat of an unsafe request that may have run, no new attempt at a server
that has been draining for longer than the grace, and no state left held.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from hopshed import Controller, interface
from hopshed.handover import LearnedState, export_state, import_state, merge_state, split_state
from hopshed.role_usage import role_usage

from ..deadlines import Deadline, Deadlines
from ..log import Log
from . import send_rules
from .ending import NO_STATE_NOTE, OUTCOMES, Ending
from .held_state import HeldState
from .ports import Client, Governor, OutgoingAttempt, Workers
from .request_records import Attempt, RequestRecord, Stage
from .server_table import ServerTable
from .spent_ids import SpentIds
from .state_releases import StateReleases

T = TypeVar("T")
ANSWER_GRACE_S = 0.02  # after its deadline, a request that `hopshed` has left open is answered by the router


class Router:
    """The requests of one router, from their acceptance to the release of their state."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        deadlines: Deadlines,
        clock: Callable[[], float],
        workers: Workers,
        log: Log,
    ) -> None:
        """`clock` returns the loop's time in seconds; `seed` is passed to `hopshed`'s `Controller`."""
        self.settings, self.workers, self.log = settings, workers, log
        self.governor: Governor | None = None  # set where levels of service are enabled
        # Sends a message to all other routers, where the front can.
        self.tell: Callable[[bytes], None] = lambda data: None
        self.requests: dict[str, RequestRecord] = {}
        self.table = ServerTable()
        self._spent = SpentIds()
        self._module = Controller(settings, seed, self._set_reason)
        self._seed = seed
        self._deadlines, self._clock = deadlines, clock
        self._events: list[interface.Event] = []
        self._changed: list[RequestRecord] = []  # records to settle at the end of the turn
        self._releases = StateReleases(
            deadlines, clock, workers, log, settings.release_within, self._state_expired
        )
        self._module_timer: Deadline | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Refuse: self._refuse,
            interface.Fail: self._fail,
            interface.ReleaseState: self._release,
            interface.CancelAttempt: self._cancel,
            interface.MoveStream: self._move,
            interface.SetTimer: self._set_timer,
            interface.Tell: lambda action: self.tell(action.data),
            interface.Log: lambda action: self.log("module", action.text),
            interface.Subscribe: lambda action: None,  # discovery pushes its lists
            # Probes are not permitted.
            interface.Probe: lambda action: self._events.append(
                interface.ProbeEnded(action.server, False, 0.0)
            ),
        }

    @property
    def servers(self) -> dict[int, interface.Server]:
        """All servers by id, including those gone for less than `FORGET_AFTER`."""
        return self.table.servers

    @property
    def busy(self) -> bool:
        """Whether any request is open."""
        return bool(self.requests)

    @property
    def stream_count(self) -> int:
        """The number of running streams."""
        return sum(record.stage is Stage.STREAMING for record in self.requests.values())

    # ---- events from a front ----

    def accept(self, arrived: interface.RequestArrived, client: Client, payload: object) -> bool:
        """Accept a request; `payload` is handed to `Workers.send` unchanged.

        Returns False if a request with this id is open, or has ended, may have run and must not be repeated.
        """
        if arrived.id in self.requests or self._spent.contains(arrived.id, self._clock()):
            return False
        effect = self.settings.classes[arrived.cls].effect
        deadline = self._clock() + arrived.patience
        held = HeldState(self.settings.release_within)
        record = self.requests[arrived.id] = RequestRecord(arrived, effect, client, payload, deadline, held)
        at = record.deadline + ANSWER_GRACE_S
        record.timers.append(self._deadlines.set(at, lambda: self._overdue(record)))
        self._events.append(arrived)
        if self.log.detailed:
            self.log("request accepted", f"{arrived.id} class {arrived.cls}, {arrived.patience:.3f} s left")
        return True

    def client_left(self, request_id: str, ending: Ending = Ending.CLIENT_LEFT) -> None:
        """End a request whose client has disconnected, without an answer."""
        record = self.requests.get(request_id)
        if record is None or record.stage is Stage.ENDED:
            return
        self.log("client left", f"{request_id} {record.stage.name.lower()}: {ending.name.lower()}")
        if record.stage is not Stage.STREAMING:
            self._events.append(interface.ClientGone(request_id))
        self._end(record, ending)

    def give_up(self, request_id: str) -> None:
        """Refuse or fail a request now, without waiting for a decision."""
        record = self.requests.get(request_id)
        if record is not None and record.unanswered:
            record.reason = "given up"
            self._events.append(interface.ClientGone(request_id))
            self._decline(record, 0.0)

    def client_slow(self, request_id: str, slow: bool) -> None:
        """Pause a stream while its client reads slowly, and resume it afterwards."""
        record = self.requests.get(request_id)
        if record is not None and record.stage is Stage.STREAMING and record.attempt_out is not None:
            self.workers.pause(request_id, record.attempt_out.number, slow)

    def move_streams(self, part: float) -> None:
        """Move a part (0 to 1) of the streams to other servers, if clients can resume them there.

        The latest requests are moved first, since older ones are likely to finish sooner.
        """
        streams = [record for record in self.requests.values() if record.stage is Stage.STREAMING]
        count = int(part * len(streams)) if self.settings.may_resume else 0
        for record in streams[len(streams) - count :]:
            self._move(interface.MoveStream(record.id))

    def end_all(self, accepted_since: float = -math.inf) -> None:
        """End what another router can serve, and refuse or fail unanswered requests, before a kill.

        Unanswered requests accepted before `accepted_since` (the loop's clock) and streams that no client can
        resume elsewhere go on to their end.
        """
        for record in list(self.requests.values()):
            if record.accepted_at >= accepted_since:
                self.give_up(record.id)
        self.move_streams(1.0)

    # ---- events from workers, discovery and other routers ----

    def servers_listed(self, kind: interface.ListKind, servers: tuple[interface.Server, ...]) -> None:
        """Process a list of servers, or changes to it, that has just come from discovery.

        Attempts at servers that now drain or are gone are withdrawn if no byte has been written yet.
        """
        now = self._clock()
        changes = self.table.update(kind, servers, now)
        for number in changes.gone:
            self._deadlines.set(now + interface.FORGET_AFTER, partial(self._forget, number))
        self._events.append(interface.ServersListed(kind, servers))
        for record in list(self.requests.values()) if changes.withdrawn else ():
            out = record.attempt_out
            if (
                out is not None
                and out.server in changes.withdrawn
                and self.workers.withdraw(record.id, out.number)
            ):
                self.attempt_ended(record.id, out.number, Ending.SERVER_LEFT)

    def split_learned_state(self) -> LearnedState:
        """What `hopshed` has learned, for a successor that runs beside this router.

        Half of the budget of each cold server is given up to the successor.
        """
        return split_state(self._module)

    def export_learned_state(self) -> LearnedState:
        """What `hopshed` has learned, for a process that starts after this one has exited."""
        return export_state(self._module)

    def merge_learned_state(self, known: LearnedState) -> None:
        """Add what an earlier process learned; what this router has learned itself takes precedence."""
        merge_state(self._module, known)

    def resume(self, withdrawn_since: dict[int, float], known: LearnedState) -> None:
        """Continue with what a predecessor learned; call this after its server list has been passed on.

        Raises ValueError if `known` was learned with other settings.
        """
        self.table.resume(withdrawn_since)
        self.turn(self._clock())
        import_state(self._module, known, self._clock())

    @property
    def withdrawn_since(self) -> dict[int, float]:
        """When each server that drains or is gone began to, in seconds of the loop's clock."""
        return dict(self.table.withdrawn_since)

    def _forget(self, number: int) -> None:
        """Drop a server that has been gone for `FORGET_AFTER`: new ids keep coming, and memory is bounded."""
        if self.table.forget(number, self._clock()):
            self.workers.forget(number)

    def peer_message(self, sender: int, data: bytes) -> None:
        """Process a message from another router."""
        self._events.append(interface.PeerSaid(sender, data))

    def stream_event(self, request_id: str, number: int, data: object) -> bool:
        """Pass one event of an attempt's stream to the client; the first one begins the response.

        Returns False, and passes nothing on, if the request has ended or the attempt is at a reader.
        """
        record, attempt = self._find_attempt(request_id, number)
        if record is None or attempt is None or attempt.at_reader or record.stage is Stage.ENDED:
            return False
        if record.stage is not Stage.STREAMING:
            record.stage = Stage.STREAMING
            record.held.mark_fetched()
            self._releases.schedule(record)
            self._stop_timers(record, attempt)
            latency = self._clock() - attempt.sent_at
            self._events.append(interface.StreamStarted(request_id, number, attempt.server, latency))
        record.client.send_event(data)
        return True

    def attempt_ended(
        self, request_id: str, number: int, ending: Ending, note: int = 0, load: interface.Load | None = None
    ) -> None:
        """Process the end of an attempt; the end of one that is not out is ignored."""
        record, attempt = self._find_attempt(request_id, number)
        if record is None or attempt is None:
            return
        if ending is Ending.SERVED and record.stage is not Stage.STREAMING:
            ending = Ending.GARBLED  # a stream without any event is not a valid response
        attempt.is_out, attempt.ending = False, ending
        record.send_waiting = None
        self._deadlines.cancel(attempt.timer)
        outcome = OUTCOMES[ending]
        if ending is Ending.STATE_GONE:
            note = NO_STATE_NOTE
        record.held.attempt_ended(outcome, attempt.at_reader, attempt.sent_at, self._clock())
        if record.stage is Stage.STREAMING:
            self._end_stream(record, ending)
        elif record.stage is Stage.ATTEMPT_OUT:
            record.stage = Stage.DECIDING
        closed = record.stage is Stage.ENDED
        latency = self._clock() - attempt.sent_at
        if self.log.detailed or ending not in (Ending.SERVED, Ending.READ):
            self.log("attempt ended", f"{request_id} {attempt}: {ending.name.lower()}, {latency:.3f} s")
        self._events.append(
            interface.AttemptEnded(request_id, number, attempt.server, outcome, latency, closed, note, load)
        )
        self._changed.append(record)

    # ---- one turn of the event loop ----

    def turn(self, now: float) -> bool:
        """Let `hopshed` decide on all new events; returns whether that has caused further ones."""
        events, self._events = self._events, []
        if events:
            for event in events:
                if isinstance(event, interface.RequestArrived) and (record := self.requests.get(event.id)):
                    record.stage = Stage.DECIDING if record.stage is Stage.ACCEPTED else record.stage
            try:
                if self.governor is not None:
                    unfiltered, usage = events, partial(role_usage, self._module)
                    events = self._ask_governor(lambda g: g.filter_events(now, unfiltered, usage), unfiltered)
                actions = self._module.handle(now, events)
                if self.governor is not None:
                    self._ask_governor(lambda g: g.observe_actions(now, actions), None)
                for action in actions:
                    self._handlers[type(action)](action)
            except Exception:
                self.log("turn failed", traceback.format_exc().replace("\n", " | "))
                self._restart_module()
        changed, self._changed = self._changed, []
        for record in changed:
            self._settle(record)
        return bool(self._events)

    def set_governor(self, governor: Governor | None) -> None:
        """Replace the governor, or remove it with None; a new one is first given the whole server list."""
        self.governor = governor
        self._events.append(interface.ServiceLevel())
        if governor is not None:
            self._events.append(interface.ServersListed(interface.ListKind.FULL, self._listed()))

    def _listed(self) -> tuple[interface.Server, ...]:
        return self.table.present()

    def _ask_governor(self, call: Callable[[Governor], T], default: T) -> T:
        """Call the governor; returns `default` if there is none or it fails.

        A governor that raises is removed, and the level returns to full service.
        """
        if self.governor is None:
            return default
        try:
            return call(self.governor)
        except Exception:
            self.log("levels failed", traceback.format_exc().replace("\n", " | "))
            self.set_governor(None)
            return default

    def _restart_module(self) -> None:
        """Answer all requests that wait for a decision, and start a new `Controller` after one has failed."""
        for record in list(self.requests.values()):
            if record.unanswered:
                record.reason = "the decision module failed"
                self._decline(record, 0.0)
        if self.governor is not None:
            self.governor.start_over()
        self._deadlines.cancel(self._module_timer)
        self._module = Controller(self.settings, self._seed, self._set_reason)
        self._events = [interface.ServersListed(interface.ListKind.FULL, self._listed())]

    def _set_reason(self, request_id: str, reason: str) -> None:
        if record := self.requests.get(request_id):
            record.reason = reason

    # ---- actions of `hopshed` ----

    def _send(self, action: interface.Send) -> None:
        record = self.requests.get(action.id)
        if record is None:
            self.log("send for an unknown request", action.id)
            return
        server = self.servers.get(action.server)
        number = len(record.attempts)
        at_reader = server is not None and self.settings.roles[server.kind] is interface.Role.READER
        reason = send_rules.withhold_reason(
            record, self.table.status(action.server, self._clock()), self.settings, self._clock()
        )
        if reason is not None:
            self.log("send withheld", f"{action.id} attempt {number}: {reason}")
            record.attempts.append(
                Attempt(number, action.server, at_reader, self._clock(), False, Ending.NOT_SENT)
            )
            closed = record.stage is Stage.ENDED
            self._events.append(
                interface.AttemptEnded(
                    action.id, number, action.server, OUTCOMES[Ending.NOT_SENT], 0.0, closed
                )
            )
            return
        left = record.deadline - self._clock()
        timeout = min(action.timeout, left) if action.timeout > 0 else left
        if not at_reader and send_rules.may_have_run(record):
            # A server that hangs may process a repeat when it resumes; after the deduplication window that
            # would run the request again.
            timeout = min(timeout, send_rules.repeat_window_left(record, self.settings, self._clock()))
        if at_reader and record.held.may_exist:
            self._releases.release(record)
        attempt = Attempt(number, action.server, at_reader, self._clock())
        record.attempts.append(attempt)
        record.stage = Stage.ATTEMPT_OUT
        expires_at = self._clock() + timeout
        attempt.timer = self._deadlines.set(expires_at, lambda: self._timed_out(record, attempt))
        send_delayed = partial(self._send_delayed, record, attempt, expires_at)
        if not (at_reader and self._releases.delay_read(record, attempt, send_delayed)):
            self._send_attempt(record, attempt, expires_at)

    def _send_delayed(self, record: RequestRecord, attempt: Attempt, expires_at: float) -> None:
        record.send_waiting = None
        attempt.sent_at = self._clock()
        if self.table.status(attempt.server, attempt.sent_at).withdrawn_for > 0:
            return self.attempt_ended(record.id, attempt.number, Ending.SERVER_LEFT)
        return self._send_attempt(record, attempt, expires_at)

    def _send_attempt(self, record: RequestRecord, attempt: Attempt, expires_at: float) -> None:
        """Send an attempt, unless its client has disconnected during this turn."""
        if record.client.disconnected:
            return self.client_left(record.id)
        now = self._clock()
        if self.log.detailed:
            self.log("attempt sent", f"{record.id} {attempt}: time-out {expires_at - now:.3f} s")
        connect_timeout = send_rules.connect_timeout(record, self.settings, now)
        self.workers.send(
            OutgoingAttempt(
                record.id, attempt.number, attempt.server, record.payload, expires_at - now, connect_timeout
            )
        )
        return None

    def _refuse(self, action: interface.Refuse) -> None:
        if record := self.requests.get(action.id):
            self._decline(record, action.retry_after)

    def _decline(self, record: RequestRecord, retry_after: float) -> None:
        """Refuse a request if that is harmless, for it tells the client to retry; otherwise fail it."""
        if send_rules.refusal_is_harmless(record, self.settings):
            self.log("request refused", f"{record.id} after {len(record.attempts)} attempts: {record.reason}")
            self._end(record, None, lambda: record.client.refuse(retry_after))
        else:
            self._fail(interface.Fail(record.id))

    def _fail(self, action: interface.Fail) -> None:
        if record := self.requests.get(action.id):
            last = record.attempts[-1].ending if record.attempts else None
            self.log("request failed", f"{record.id} after {len(record.attempts)} attempts: {record.reason}")
            self._end(record, None, lambda: record.client.fail(last))

    def _release(self, action: interface.ReleaseState) -> None:
        if record := self.requests.get(action.id):
            self._releases.release(record)
        else:
            self._releases.release_unknown(action.id)

    def _cancel(self, action: interface.CancelAttempt) -> None:
        record, attempt = self._find_attempt(action.id, action.attempt)
        if record is not None and attempt is not None and record.stage is not Stage.STREAMING:
            self._abort(record, attempt, Ending.CANCELED)

    def _move(self, action: interface.MoveStream) -> None:
        record = self.requests.get(action.id)
        if record is None or record.stage is not Stage.STREAMING:
            return
        if record.attempt_out is not None:  # the worker may have finished, with the end not read yet
            self.workers.catch_up(record.id, record.attempt_out.number)
        self._end(record, Ending.MOVED, lambda: record.client.abort_stream(Ending.MOVED))

    def _set_timer(self, action: interface.SetTimer) -> None:
        self._module_timer = self._deadlines.set(
            self._clock() + action.delay, lambda: self._events.append(interface.TimerFired(action.token))
        )

    # ---- the ends of attempts and requests ----

    def _find_attempt(self, request_id: str, number: int) -> tuple[RequestRecord | None, Attempt | None]:
        record = self.requests.get(request_id)
        attempt = record.attempt_out if record is not None else None
        return record, attempt if attempt is not None and attempt.number == number else None

    def _timed_out(self, record: RequestRecord, attempt: Attempt) -> None:
        if attempt.is_out:
            self._abort(record, attempt, Ending.TIMED_OUT)

    def _abort(self, record: RequestRecord, attempt: Attempt, ending: Ending) -> None:
        written = self.workers.abort(record.id, attempt.number)
        if ending is Ending.TIMED_OUT and not written:
            ending = Ending.UNSENT_IN_TIME
        self.attempt_ended(record.id, attempt.number, ending)

    def _overdue(self, record: RequestRecord) -> None:
        if record.unanswered:
            record.reason = "no answer before its deadline"
            self.log("answer overdue", record.id)
            self._decline(record, 0.0)

    def _end_stream(self, record: RequestRecord, ending: Ending) -> None:
        """End a request whose stream has ended."""
        if ending is Ending.SERVED:
            self._end(record, None, record.client.finish)
        else:
            self._end(record, None, lambda: record.client.abort_stream(ending))

    def _end(
        self, record: RequestRecord, ending: Ending | None, answer: Callable[[], None] | None = None
    ) -> None:
        """End a request; every request ends here.

        Its attempt is aborted, then at most one answer is given, and its state is released after that.
        """
        if record.stage is Stage.ENDED:
            return
        record.stage = Stage.ENDED
        self._stop_timers(record, record.attempt_out)
        if record.attempt_out is not None:  # before the answer: a refusal promises that nothing runs
            self._abort(record, record.attempt_out, ending or Ending.CANCELED)
        if answer is not None:
            answer()
        self._changed.append(record)

    def _stop_timers(self, record: RequestRecord, attempt: Attempt | None) -> None:
        for timer in record.timers:
            self._deadlines.cancel(timer)
        record.timers.clear()
        if attempt is not None:
            self._deadlines.cancel(attempt.timer)

    def _settle(self, record: RequestRecord) -> None:
        """Schedule the release of held state, or drop a request that has ended with no attempt out."""
        if record.stage is not Stage.ENDED:
            return self._releases.schedule(record)
        if record.attempt_out is not None:
            return None
        self._releases.request_ended(record)
        self.requests.pop(record.id, None)
        if record.effect is not interface.Effect.SAFE and send_rules.may_have_run(record):
            self._spent.add(record.id, self._clock())
        return None

    def _state_expired(self, record: RequestRecord) -> None:
        self._events.append(interface.StateReleased(record.id))
