"""One router's requests: facts in, one call of the module a turn, its actions out.

Whatever the front, this keeps what must hold: one final answer, one attempt at a time, no repeat of an unsafe
request that may have run, nothing new to a server long told to drain, and no state left held.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from hopshed import Controller
from hopshed import interface as i
from hopshed.handover import LearnedState, export_state, import_state, merge_state, split_state
from hopshed.role_usage import role_usage

from ..deadlines import Deadline, Deadlines
from ..log import Log
from . import send_rules
from .ending import NO_STATE_NOTE, OUTCOMES, Ending
from .held_state import HeldState
from .ports import Client, Governor, Workers
from .request_records import Attempt, RequestRecord, Stage
from .server_table import ServerTable
from .spent_ids import SpentIds
from .state_releases import StateReleases

T = TypeVar("T")
ANSWER_GRACE = 0.02  # s after its deadline at which a request that the module left open is answered


class Router:
    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        deadlines: Deadlines,
        clock: Callable[[], float],
        workers: Workers,
        log: Log,
    ) -> None:
        self.settings, self.workers, self.log = settings, workers, log
        self.governor: Governor | None = None  # levels of service, where they are on
        self.tell: Callable[[bytes], None] = lambda data: None  # to the other routers, where there is a way
        self.requests: dict[str, RequestRecord] = {}
        self.table = ServerTable()
        self._spent = SpentIds()
        self._module = Controller(settings, seed, self._explained)
        self._seed = seed
        self._deadlines, self._clock = deadlines, clock
        self._facts: list[i.Event] = []
        self._unsettled: list[RequestRecord] = []
        self._releases = StateReleases(
            deadlines, clock, workers, log, settings.release_within, self._held_too_long
        )
        self._module_timer: Deadline | None = None
        self._do: dict[type, Callable[[Any], None]] = {
            i.Send: self._send, i.Refuse: self._refuse, i.Fail: self._fail, i.ReleaseState: self._release,
            i.CancelAttempt: self._cancel, i.MoveStream: self._move, i.SetTimer: self._set_timer,
            i.Tell: lambda act: self.tell(act.data),
            i.Log: lambda act: self.log("module", act.text),
            i.Subscribe: lambda act: None,  # discovery pushes
            i.Probe: lambda act: self._facts.append(i.ProbeEnded(act.server, False, 0.0)),  # not permitted
        }  # fmt: skip

    @property
    def servers(self) -> dict[int, i.Server]:
        """All servers that discovery has named lately, by number."""
        return self.table.servers

    @property
    def busy(self) -> bool:
        return bool(self.requests)

    # ---- facts from a front ----

    def accept(self, arrived: i.RequestArrived, client: Client, call: object) -> bool:
        """Take a request over; False where one with this id is open, or has run and may not be repeated."""
        if arrived.id in self.requests or self._spent.holds(arrived.id, self._clock()):
            return False
        effect = self.settings.classes[arrived.cls].effect
        deadline = self._clock() + arrived.patience
        held = HeldState(self.settings.release_within)
        life = self.requests[arrived.id] = RequestRecord(arrived, effect, client, call, deadline, held)
        at = life.deadline + ANSWER_GRACE
        life.timers.append(self._deadlines.set(at, lambda: self._overdue(life)))
        self._facts.append(arrived)
        if self.log.detailed:
            self.log("request accepted", f"{arrived.id} class {arrived.cls}, {arrived.patience:.3f} s left")
        return True

    def client_left(self, request_id: str, ending: Ending = Ending.CLIENT_LEFT) -> None:
        life = self.requests.get(request_id)
        if life is None or life.stage is Stage.ENDED:
            return
        self.log("client left", f"{request_id} {life.stage.name.lower()}: {ending.name.lower()}")
        if life.stage is not Stage.STREAMING:
            self._facts.append(i.ClientGone(request_id))
        self._end(life, ending)

    def give_up(self, request_id: str) -> None:
        """Answer a request now, whatever the module would still have done for it."""
        life = self.requests.get(request_id)
        if life is not None and life.unanswered:
            life.reason = "given up"
            self._facts.append(i.ClientGone(request_id))
            self._decline(life, 0.0)

    def client_slow(self, request_id: str, slow: bool) -> None:
        life = self.requests.get(request_id)
        if life is not None and life.stage is Stage.STREAMING and life.out is not None:
            self.workers.pause(request_id, life.out.number, slow)

    def move_streams(self, part: float) -> None:
        """Move a part of the streams, the latest first: the others are nearer to their ends."""
        streams = [life for life in self.requests.values() if life.stage is Stage.STREAMING]
        count = int(part * len(streams)) if self.settings.may_resume else 0
        for life in streams[len(streams) - count :]:
            self._move(i.MoveStream(life.id))

    def end_all(self) -> None:
        """End all that is open in good order, for the process is about to go: clients go on elsewhere."""
        for life in list(self.requests.values()):
            self.give_up(life.id)
            self._move(i.MoveStream(life.id))

    # ---- facts from the workers' side ----

    def servers_listed(self, kind: i.ListKind, servers: tuple[i.Server, ...]) -> None:
        """A list of servers, or changes to it, as discovery has just written it."""
        now = self._clock()
        changes = self.table.update(kind, servers, now)
        for number in changes.gone:
            self._deadlines.set(now + i.FORGET_AFTER, partial(self._forget, number))
        self._facts.append(i.ServersListed(kind, servers))
        for life in list(self.requests.values()) if changes.withdrawn else ():
            out = life.out
            if (
                out is not None
                and out.server in changes.withdrawn
                and self.workers.withdraw(life.id, out.number)
            ):
                self.attempt_ended(life.id, out.number, Ending.SERVER_LEFT)

    def split_learned_state(self) -> LearnedState:
        """What the module has learnt, for a successor."""
        return split_state(self._module)

    def export_learned_state(self) -> LearnedState:
        """What the module has learnt, for a process that comes after this one's end."""
        return export_state(self._module)

    def merge_learned_state(self, known: LearnedState) -> None:
        """Let the module know what an earlier process learnt."""
        merge_state(self._module, known)

    def resume(self, withdrawn_since: dict[int, float], known: LearnedState) -> None:
        """Go on from a predecessor's knowledge, once the list has been heard. Raises ValueError."""
        self.table.resume(withdrawn_since)
        self.turn(self._clock())
        import_state(self._module, known, self._clock())

    @property
    def withdrawn_since(self) -> dict[int, float]:
        return dict(self.table.withdrawn_since)

    def _forget(self, number: int) -> None:
        """Let go of all that is known of a server that has been gone for long; ids never come to an end."""
        if self.table.forget(number, self._clock()):
            self.workers.forget(number)

    def peer_message(self, sender: int, data: bytes) -> None:
        """A message of another router."""
        self._facts.append(i.PeerSaid(sender, data))

    def stream_event(self, request_id: str, number: int, data: object) -> bool:
        """One event of an attempt's stream; with the first, the attempt belongs to the client.

        False where the client has no part in it: the request is over, or a reader has nothing to say to it.
        """
        life, attempt = self._out(request_id, number)
        if life is None or attempt is None or attempt.reads or life.stage is Stage.ENDED:
            return False
        if life.stage is not Stage.STREAMING:
            life.stage = Stage.STREAMING
            life.held.fetched()
            self._releases.watch(life)
            self._stop_timers(life, attempt)
            latency = self._clock() - attempt.sent
            self._facts.append(i.StreamStarted(request_id, number, attempt.server, latency))
        life.client.send_event(data)
        return True

    def attempt_ended(
        self, request_id: str, number: int, ending: Ending, note: int = 0, load: i.Load | None = None
    ) -> None:
        """An attempt has ended; each is told of once."""
        life, attempt = self._out(request_id, number)
        if life is None or attempt is None:
            return
        if ending is Ending.SERVED and life.stage is not Stage.STREAMING:
            ending = Ending.GARBLED  # a stream without a single event is no answer
        attempt.live, attempt.ending = False, ending
        life.waiting = None
        self._deadlines.cancel(attempt.timer)
        outcome = OUTCOMES[ending]
        if ending is Ending.STATE_GONE:
            note = NO_STATE_NOTE
        life.held.attempt_ended(outcome, attempt.reads, attempt.sent, self._clock())
        if life.stage is Stage.STREAMING:
            self._finish(life, ending)
        elif life.stage is Stage.ATTEMPT_OUT:
            life.stage = Stage.DECIDING
        closed = life.stage is Stage.ENDED
        latency = self._clock() - attempt.sent
        if self.log.detailed or ending not in (Ending.SERVED, Ending.READ):
            self.log("attempt ended", f"{request_id} {attempt}: {ending.name.lower()}, {latency:.3f} s")
        self._facts.append(
            i.AttemptEnded(request_id, number, attempt.server, outcome, latency, closed, note, load)
        )
        self._unsettled.append(life)

    # ---- the turn ----

    def turn(self, now: float) -> bool:
        events, self._facts = self._facts, []
        if events:
            for event in events:
                if isinstance(event, i.RequestArrived) and (life := self.requests.get(event.id)):
                    life.stage = Stage.DECIDING if life.stage is Stage.ACCEPTED else life.stage
            try:
                if self.governor is not None:
                    heard, sees = events, partial(role_usage, self._module)
                    events = self._governed(lambda g: g.filter_events(now, heard, sees), heard)
                actions = self._module.handle(now, events)
                if self.governor is not None:
                    self._governed(lambda g: g.observe_actions(now, actions), None)
                for act in actions:
                    self._do[type(act)](act)
            except Exception:
                self.log("turn failed", traceback.format_exc().replace("\n", " | "))
                self._start_over()
        unsettled, self._unsettled = self._unsettled, []
        for life in unsettled:
            self._settle(life)
        return bool(self._facts)

    def set_governor(self, governor: Governor | None) -> None:
        """Go on with this governor, or with none; it hears of the fleet before anything else."""
        self.governor = governor
        self._facts.append(i.ServiceLevel())
        if governor is not None:
            self._facts.append(i.ServersListed(i.ListKind.FULL, self._listed()))

    def _listed(self) -> tuple[i.Server, ...]:
        return self.table.present()

    def _governed(self, ask: Callable[[Governor], T], otherwise: T) -> T:
        """Ask the governor, if there is one. One that fails is given up: service goes on in full."""
        if self.governor is None:
            return otherwise
        try:
            return ask(self.governor)
        except Exception:
            self.log("levels failed", traceback.format_exc().replace("\n", " | "))
            self.set_governor(None)
            return otherwise

    def _start_over(self) -> None:
        """The module failed half-way: answer what waits on it, and go on with a fresh one."""
        for life in list(self.requests.values()):
            if life.unanswered:
                life.reason = "the module failed"
                self._decline(life, 0.0)
        if self.governor is not None:
            self.governor.start_over()
        self._deadlines.cancel(self._module_timer)
        self._module = Controller(self.settings, self._seed, self._explained)
        self._facts = [i.ServersListed(i.ListKind.FULL, self._listed())]

    def _explained(self, request_id: str, reason: str) -> None:
        if life := self.requests.get(request_id):
            life.reason = reason

    # ---- the module's actions ----

    def _send(self, act: i.Send) -> None:
        life = self.requests.get(act.id)
        if life is None:
            self.log("send for an unknown request", act.id)
            return
        server = self.servers.get(act.server)
        number = len(life.attempts)
        reads = server is not None and self.settings.roles[server.kind] is i.Role.READER
        withheld = send_rules.withheld(
            life, self.table.status(act.server, self._clock()), self.settings, self._clock()
        )
        if withheld is not None:
            self.log("send withheld", f"{act.id} attempt {number}: {withheld}")
            life.attempts.append(Attempt(number, act.server, reads, self._clock(), False, Ending.NOT_SENT))
            closed = life.stage is Stage.ENDED
            self._facts.append(
                i.AttemptEnded(act.id, number, act.server, OUTCOMES[Ending.NOT_SENT], 0.0, closed)
            )
            return
        left = life.deadline - self._clock()
        timeout = min(act.timeout, left) if act.timeout > 0 else left
        if not reads and send_rules.may_have_run(life):
            # A server that hangs may take a repeat up when it goes on, and after the window it runs anew.
            timeout = min(timeout, send_rules.repeat_window_left(life, self.settings, self._clock()))
        if reads and life.held.possible:
            self._releases.let_go(life)
        attempt = Attempt(number, act.server, reads, self._clock())
        life.attempts.append(attempt)
        life.stage = Stage.ATTEMPT_OUT
        expires = self._clock() + timeout
        attempt.timer = self._deadlines.set(expires, lambda: self._timed_out(life, attempt))
        begin_late = partial(self._begin_late, life, attempt, expires)
        if not (reads and self._releases.read(life, attempt, begin_late)):
            self._begin(life, attempt, expires)

    def _begin_late(self, life: RequestRecord, attempt: Attempt, expires: float) -> None:
        life.waiting = None
        attempt.sent = self._clock()
        if self.table.status(attempt.server, attempt.sent).withdrawn_for > 0:
            return self.attempt_ended(life.id, attempt.number, Ending.SERVER_LEFT)
        return self._begin(life, attempt, expires)

    def _begin(self, life: RequestRecord, attempt: Attempt, expires: float) -> None:
        """Hand an attempt to the workers' side, unless its client has left while this turn went on."""
        if life.client.disconnected:
            return self.client_left(life.id)
        now = self._clock()
        if self.log.detailed:
            self.log("attempt sent", f"{life.id} {attempt}: time-out {expires - now:.3f} s")
        begins = send_rules.connect_within(life, self.settings, now)
        self.workers.send(life.id, attempt.number, attempt.server, life.call, expires - now, begins)
        return None

    def _refuse(self, act: i.Refuse) -> None:
        if life := self.requests.get(act.id):
            self._decline(life, act.retry_after)

    def _decline(self, life: RequestRecord, retry_after: float) -> None:
        """Refuse, which promises that a repeat is harmless, or fail where that can't be promised."""
        if send_rules.refusal_is_harmless(life, self.settings):
            self.log("request refused", f"{life.id} after {len(life.attempts)} attempts: {life.reason}")
            self._end(life, None, lambda: life.client.refuse(retry_after))
        else:
            self._fail(i.Fail(life.id))

    def _fail(self, act: i.Fail) -> None:
        if life := self.requests.get(act.id):
            last = life.attempts[-1].ending if life.attempts else None
            self.log("request failed", f"{life.id} after {len(life.attempts)} attempts: {life.reason}")
            self._end(life, None, lambda: life.client.fail(last))

    def _release(self, act: i.ReleaseState) -> None:
        if life := self.requests.get(act.id):
            self._releases.let_go(life)
        else:
            self._releases.let_go_of_forgotten(act.id)

    def _cancel(self, act: i.CancelAttempt) -> None:
        life, attempt = self._out(act.id, act.attempt)
        if life is not None and attempt is not None and life.stage is not Stage.STREAMING:
            self._abort(life, attempt, Ending.CANCELED)

    def _move(self, act: i.MoveStream) -> None:
        life = self.requests.get(act.id)
        if life is None or life.stage is not Stage.STREAMING:
            return
        if life.out is not None:  # its worker may have finished it, and the end not been read yet
            self.workers.catch_up(life.id, life.out.number)
        self._end(life, Ending.MOVED, lambda: life.client.abort_stream(Ending.MOVED))

    def _set_timer(self, act: i.SetTimer) -> None:
        self._module_timer = self._deadlines.set(
            self._clock() + act.delay, lambda: self._facts.append(i.TimerFired(act.token))
        )

    # ---- endings ----

    def _out(self, request_id: str, number: int) -> tuple[RequestRecord | None, Attempt | None]:
        life = self.requests.get(request_id)
        attempt = life.out if life is not None else None
        return life, attempt if attempt is not None and attempt.number == number else None

    def _timed_out(self, life: RequestRecord, attempt: Attempt) -> None:
        if attempt.live:
            self._abort(life, attempt, Ending.TIMED_OUT)

    def _abort(self, life: RequestRecord, attempt: Attempt, ending: Ending) -> None:
        written = self.workers.abort(life.id, attempt.number)
        if ending is Ending.TIMED_OUT and not written:
            ending = Ending.UNSENT_IN_TIME
        self.attempt_ended(life.id, attempt.number, ending)

    def _overdue(self, life: RequestRecord) -> None:
        if life.unanswered:
            life.reason = "overdue"
            self.log("answer overdue", life.id)
            self._decline(life, 0.0)

    def _finish(self, life: RequestRecord, ending: Ending) -> None:
        """The running stream is over, by its own end."""
        if ending is Ending.SERVED:
            self._end(life, None, life.client.finish)
        else:
            self._end(life, None, lambda: life.client.abort_stream(ending))

    def _end(
        self, life: RequestRecord, ending: Ending | None, answer: Callable[[], None] | None = None
    ) -> None:
        """The one way out of a life: no attempt left out, at most one answer, then what is held let go."""
        if life.stage is Stage.ENDED:
            return
        life.stage = Stage.ENDED
        self._stop_timers(life, life.out)
        if life.out is not None:  # before the answer: a refusal says that nothing runs, nor will
            self._abort(life, life.out, ending or Ending.CANCELED)
        if answer is not None:
            answer()
        self._unsettled.append(life)

    def _stop_timers(self, life: RequestRecord, attempt: Attempt | None) -> None:
        for timer in life.timers:
            self._deadlines.cancel(timer)
        life.timers.clear()
        if attempt is not None:
            self._deadlines.cancel(attempt.timer)

    def _settle(self, life: RequestRecord) -> None:
        """See to what workers may hold, and forget a request that has ended with no attempt out."""
        if life.stage is not Stage.ENDED:
            return self._releases.watch(life)
        if life.out is not None:
            return None
        self._releases.end(life)
        self.requests.pop(life.id, None)
        if not send_rules.refusal_is_harmless(life, self.settings):
            self._spent.add(life.id, self._clock())
        return None

    def _held_too_long(self, life: RequestRecord) -> None:
        self._facts.append(i.StateReleased(life.id))
