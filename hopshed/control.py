"""All of hopshed's decisions. Types, events and actions are listed in `interface.py`, beside this file.

The mechanism (AIBrix RFC, issue #633): a heap ordered by sessions' accumulated service time (CST), batches
sized to the free room at writers, a turn to its session's last reader or the one hashed from its beginning,
of two random writers the one with fewer of our streams. Departures say so where they stand.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from itertools import islice
from random import Random
from statistics import median
from typing import Any

from . import interface as i
from .estimate import Estimate
from .fleet import Fleet
from .free_room import REPORT_TTL, FreeRoom
from .gossip import NO_PREFIX, Gossip, ReadSent, SlowServer, short_tag
from .health import Health
from .hold_queue import HoldQueue
from .popularity import Popularity
from .prefix_cache import PrefixCacheIndex
from .probes import Probes
from .queue_waits import WAIT_DECAY, QueueWaits
from .quota import Quotas
from .read_pace import ReadPaces
from .rendezvous import Rendezvous, rendezvous_score
from .slow_start import WORK_RATE_TIME_CONSTANT_S, SlowStart
from .state import Attempt, Request, Session, Worker, drop_unused
from .topology import Topology
from .zone_reachability import ZoneReachability

TICK, LOOK_EVERY = 0.05, 4  # s; ticks between looks over the fleet
SESSION_IDLE, ORDERS_KEPT = 60.0, 500  # s unused until sessions and kept texts are dropped; hash orders kept
LOAD_BOUND = 2.0  # a reader holding over this times the median of our reads is passed over
GAIN, SLOW_GAIN = 0.25, 0.05  # weight of a sample in averages
DRAG_MAX, READ_SHARE = 4.0, 0.6  # most that one stream counts for in drag; reading's part at mixed servers
LEAVE_GAIN, LEAVE_FADE, LEAVE_SHARE = 0.05, 0.0125, 0.5  # share of clients leaving whose age bounds the aim
SPARE_HOMES = 2  # readers beyond its homes that a turn may go to
COMFORT, AIM_MARGIN = 0.6, 0.6  # of the time left, to keep a reader; of the aim; near it many are late
TOLD_SPARE, TOLD_MARGIN = 4, 0.8  # the two where queues are told
OTHERS = 1.0  # weight of the time that a read takes from others, against its own
SLOW_START_TOKEN, SLOW_START_MIN = 4.0, 0.3  # a wait so many times the writer's floor, and s, is slow
READ_TIMEOUT = (1.0, 4.0)  # s, and times the expected read
WRITE_TIMEOUT = (2.0, 6.0)  # s, and times the expected wait for a first token
RETRY_RATIO, RETRY_CAP = 0.5, 20.0  # retry budget: earned by each arrival, and its size
ON_ITS_WAY = 0.1  # s that a repeat may take to a server: one that comes after its window is no repeat
STATE_HOLD = 0.6  # part of the release limit for which a state may wait for a writer
RETRY_AFTER, LAST_CALL = (0.2, 0.8), 0.1  # s; advice to refused clients, spread; time kept for the answer
MOVE_SHARE = 0.34  # part of our streams that a silent server moves
RESUMED_AIMS = 2.0  # aims that a stream which comes back may take to go on
LOG_EVERY, ASK_FIRST = 5.0, 0.5  # s between log lines; s until a failed list call is repeated
OVER_MARGIN = 0.5  # part of the time left that a turn beyond its client's quota does without


class Controller:
    """One router's decisions. `handle` takes what happened and returns what to do; it keeps no clock."""

    def __init__(
        self, settings: i.Settings, seed: int, explain: Callable[[str, str], None] | None = None
    ) -> None:
        """`explain` hears the id of each request that is not served, and why, for the log."""
        self.settings, self.random = settings, Random(seed)
        self._explain = explain
        self.load_reported = not {"utilization", "memory_share"}.isdisjoint(settings.report_fields)
        self.queues_reported = bool(
            {"queued", "backlog_tokens"} & set(settings.report_fields)
        )  # readers' queues
        self.fleet = Fleet()
        self.workers = self.fleet.workers
        self.reads_in_flight, self.attempts_in_flight = (
            0,
            0,
        )  # attempts at readers that are out, and all that are
        self.sessions: dict[str, Session] = {}
        self.requests: dict[str, Request] = {}
        self.queue = HoldQueue()
        self.admission_threshold = self.random.random()
        self.home_orders = {role: Rendezvous(ORDERS_KEPT) for role in (i.Role.READER, i.Role.MIXED)}
        self.mean_reader_weight = 1.0  # weight of readers, on average
        self.home_weights_stale = False  # the list has changed since `ranks` and `lean` were worked out
        self.topology = Topology()
        self.room = FreeRoom(settings, self.topology)
        self.service_level = i.ServiceLevel()
        self.read_load = {role: Estimate() for role in i.Role}  # servers' time that reads of ours take, s a s
        self.popularity, self.slow_start, self.zones = Popularity(), SlowStart(settings), ZoneReachability()
        self.paces, self.prefix_cache = ReadPaces(), PrefixCacheIndex()
        self.mean_prompt_tokens = self.mean_fresh_tokens = (
            0.0  # mean tokens of a prompt; those that were not kept
        )
        self.leaving_share, self.mean_leaving_age = (
            [0.0] * max(1, len(settings.tenants)) for _ in range(2)
        )  # by tenant
        self.mean_stream_time, self.mean_class_tokens = ([0.0] * len(settings.classes) for _ in range(2))
        self.retry_budget = RETRY_CAP
        self.quotas, self.gossip = Quotas(settings), Gossip(settings)
        self.waits = QueueWaits(self.gossip)
        self.health = Health(settings, self.zones, self.gossip, self.waits, self.paces)
        self.probes = Probes(settings, self.health)
        self.timer_token = 0
        self.logged_at = -math.inf
        self.resubscribe_at, self.resubscribe_delay = math.inf, ASK_FIRST
        self.actions: list[i.Action] = []
        self.unserved_counts: dict[str, int] = {}  # for the log: what was refused or tried again, and why
        self.handlers: dict[type, Callable[[Any, float], None]] = {
            i.RequestArrived: self._arrived,
            i.AttemptEnded: self._ended,
            i.StreamStarted: self._started,
            i.ClientGone: self._gone,
            i.ProbeEnded: self._probed,
            i.ServersListed: self._listed,
            i.TimerFired: self._tick,
            i.ServiceLevel: self._level,
            i.PeerSaid: self._told_of,
            i.WarmRates: self._took,
            i.StateReleased: self._released,
        }

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.actions = []
        if not self.timer_token:
            self._set_timer()
            self.actions += [i.Subscribe()] if self.settings.subscribe else []
        for ev in events:
            self.handlers[type(ev)](ev, now)
        self._pump(now)
        for ev in events:  # a client may come with less time left than the next tick needs
            req = self.requests.get(ev.id) if isinstance(ev, i.RequestArrived) else None
            if req is not None and req.held and req.deadline - now < LAST_CALL + TICK:
                self._finish(req, "no room in time")
            elif req is not None and req.held and self.service_level.certain and not req.arrival.resumed:
                self._finish(req, "no certain room", gave_way=True)
        return self.actions

    def _told_of(self, ev: i.PeerSaid, now: float) -> None:
        try:
            word = self.gossip.receive(ev.data, now)
        except ValueError as error:
            return self.actions.append(i.Log(f"router {ev.sender} sent {error}"))
        if isinstance(word, SlowServer) and (w := self.workers.get(word.server)) is not None:
            w.backlog.wait_reported(word.wait, now)
            w.wait, w.wait_at = max(word.wait, self.waits.of_server(w, now)), now
        elif isinstance(word, ReadSent):
            for w in [self.workers[n] for n in word.servers if n in self.workers]:
                w.backlog.add(word.work, now)
                self.prefix_cache.record_use(w.info.id, word.prefix_tag, now)

    def _level(self, ev: i.ServiceLevel, now: float) -> None:
        self.service_level = ev

    def _took(self, ev: i.WarmRates, now: float) -> None:
        self.slow_start.warm_rates_before_loss.update(ev.rates)
        self.slow_start.invalidate()

    def _listed(self, ev: i.ServersListed, now: float) -> None:
        if ev.kind is i.ListKind.FAILED:  # ask again, later each time; the old list stays good meanwhile
            self.resubscribe_at = now + self.resubscribe_delay if self.settings.subscribe else math.inf
            self.resubscribe_delay = min(2 * self.resubscribe_delay, self.settings.ask_within / 2)
            return
        self.resubscribe_delay = ASK_FIRST
        only_changes = ev.kind is i.ListKind.CHANGES
        changed: list[Worker] = []
        started: list[Worker] = []
        for info in ev.servers:
            w = self.workers.get(info.id)
            if w is None:
                if not 0 <= info.kind < len(self.settings.roles):
                    continue
                listed = now if only_changes else -math.inf
                w = self.workers[info.id] = Worker(info, self.settings.roles[info.kind], now, listed)
                started.append(w)
            elif info.started != w.info.started and info.started is not None:  # a new process
                w.reset(now)
                w.info, w.listed = info, now
                started.append(w)
                self.prefix_cache.server_restarted(info.id)
            w.info, w.known_usable = info, False
            w.gone_at = now if info.state is i.ServerState.GONE else math.inf
            changed.append(w)
        if only_changes:
            self.fleet.update(changed)
        else:
            self.fleet.rebuild()
        self.slow_start.invalidate()
        for w in started:  # once all of its peers are known
            self.slow_start.start(w, self._peers(w), self.random.random(), now)
        if only_changes:
            self._changed(changed, started)
        else:
            self._replaced({info.id for info in ev.servers}, now)
        self.slow_start.invalidate()
        self.home_weights_stale = True

    def _changed(self, changed: list[Worker], started: list[Worker]) -> None:
        """What follows from changes to the list costs their number, however many servers there are."""
        for w in started:
            self.gossip.add_server(w.info.id)
        self.topology.update(changed)

    def _replaced(self, named: set[int], now: float) -> None:
        """A whole list has come: what it does not name is gone."""
        for w in [w for n, w in self.workers.items() if n not in named]:
            w.info, w.gone_at = w.info._replace(state=i.ServerState.GONE), min(now, w.gone_at)
            w.known_usable = False
        self.fleet.rebuild()
        self.gossip.set_servers(self.workers)
        self.topology.rebuild(self.workers.values())

    def _weigh_homes(self) -> None:
        """Work out the weights of homes by the present list, if that has changed since."""
        if not self.home_weights_stale:
            return
        self.home_weights_stale = False
        for role, ranks in self.home_orders.items():
            ranks.set_weights(self.topology.home_weights(self.fleet.by_role[role]))
        lean = self.home_orders[i.Role.READER].weights.values()
        self.mean_reader_weight = sum(lean) / max(1, len(lean))

    def _gone(self, ev: i.ClientGone, now: float) -> None:
        req = self.requests.get(ev.id)
        if req is not None and not req.done:
            self.leaving_share[req.tenant] += LEAVE_GAIN * (1.0 - self.leaving_share[req.tenant])
            self.mean_leaving_age[req.tenant] += GAIN * (
                now - req.arrived_at - self.mean_leaving_age[req.tenant]
            )
            self._close(req)

    def _released(self, ev: i.StateReleased, now: float) -> None:
        """An attempt that is out may have it still; any later one has to begin with a read."""
        if (req := self.requests.get(ev.id)) is not None:
            req.state_reader = None

    def _arrived(self, ev: i.RequestArrived, now: float) -> None:
        aim = self.settings.classes[ev.cls].aim_of(ev.prompt_tokens)
        tenant = min(ev.tenant, len(self.leaving_share) - 1)
        if self.leaving_share[tenant] > LEAVE_SHARE:
            # Reads for clients who leave early run on and serve nobody (i547495); hurts if only some hurry.
            aim = min(aim, self.mean_leaving_age[tenant])
        if ev.resumed:  # its stream has begun elsewhere, and a refusal costs all of it; late, only a part
            aim = min(RESUMED_AIMS * aim, ev.patience)
        req = self.requests[ev.id] = Request(ev, tenant, now, now + ev.patience, now + aim)
        self.popularity.prefix_arrived(ev.prefix, now)
        req.service_time = self.sessions[ev.session].cst if ev.session in self.sessions else 0.0
        self.waits.request_arrived(now)
        self.retry_budget = min(RETRY_CAP, self.retry_budget + RETRY_RATIO)
        self.probes.request_arrived()
        old = self.mean_class_tokens[ev.cls]
        self.mean_class_tokens[ev.cls] = (
            old + SLOW_GAIN * (ev.prompt_tokens - old) if old else ev.prompt_tokens
        )
        self.room.request_arrived(ev.prompt_tokens + ev.max_tokens / 2)
        req.over_quota = self.quotas.over_quota(ev.tenant, now)
        if ev.admit < 1.0 and self.random.random() >= ev.admit:
            req.held = False
            return self._finish(req, f"gave way at {self.service_level.name or 'full'}", gave_way=True)
        self.queue.push(req, now)

    def _started(self, ev: i.StreamStarted, now: float) -> None:
        req, a = self._attempt(ev.id, ev.attempt)
        if req is None or a is None or not a.live or a.streaming:
            return
        a.streaming, a.first_token_time, req.state_reader = True, ev.latency, None
        self.leaving_share[req.tenant] *= 1 - LEAVE_GAIN
        w = a.server
        w.pending.remove(a)
        self.health.attempt_succeeded(w, now)
        self._learn_wait(
            w, max(0.0, ev.latency - a.fresh_tokens * self.paces.by_role[w.role]), now, a.expected_wait
        )
        if a.backlog_mark:  # a whole turn
            w.backlog.read_ended(a.backlog_mark, ev.latency, a.expected_read_time, now)
        w.floor = min(ev.latency, w.floor * 1.01)
        if ev.latency > max(SLOW_START_MIN, SLOW_START_TOKEN * w.floor):
            self.room.lower_limit(w)
        else:
            self.room.raise_limit(w)

    def _ended(self, ev: i.AttemptEnded, now: float) -> None:
        req, a = self._attempt(ev.id, ev.attempt)
        if req is None or a is None or not a.live:
            return
        w, a.live, a.outcome = a.server, False, ev.outcome
        w.remove_attempt(a)
        self.attempts_in_flight -= 1
        self.reads_in_flight -= a.read_only
        self.room.streams[w.role] -= not a.read_only
        self._heard(w, ev.load, now)
        if ev.outcome in (i.Outcome.READ, i.Outcome.OK):
            self.health.attempt_succeeded(w, now)
            self._read_done(req, a, ev, now) if ev.outcome is i.Outcome.READ else self._served(req, a, ev)
        elif ev.outcome is i.Outcome.FULL:
            w.life = now
            if ev.note == 1:  # it may be cut off and not gone, and would stay pinned at its reader
                self.actions.append(i.ReleaseState(ev.id))
                req.state_reader = None
            else:
                self.room.lower_limit(w)
        elif ev.outcome is i.Outcome.TIMED_OUT and w.life > a.sent_at and not a.streaming:
            self._learn_wait(w, ev.latency, now, a.expected_wait)  # slow, not silent: others were answered
        elif ev.outcome not in (i.Outcome.CANCELED, i.Outcome.NOT_SENT):
            still = a.streaming and ev.outcome is i.Outcome.TIMED_OUT
            if self.health.attempt_failed(w, now):  # what waits on one that cannot be reached stands still
                self._eject(w, now, silent=still or ev.outcome is i.Outcome.UNREACHABLE)
            if ev.outcome in (i.Outcome.UNREACHABLE, i.Outcome.TIMED_OUT) and not a.streaming:
                self.zones.attempt_unanswered(w.info.zone, w.info.id, ev.latency, now)
            if ev.outcome is i.Outcome.TIMED_OUT and not a.streaming:
                self._tell_wait(w, ev.latency - a.expected_wait, now)
            if ev.outcome is i.Outcome.FAILED and (word := self.gossip.failure_message(w.info.id, now)):
                self.actions.append(i.Tell(word))
        if ev.outcome is i.Outcome.CANCELED and not a.streaming:  # it would have waited longer still
            self._learn_wait(w, max(ev.latency, self.waits.of_server(w, now)), now, a.expected_wait)
        if ev.outcome not in (i.Outcome.UNREACHABLE, i.Outcome.NOT_SENT):  # these have reached nobody
            req.state_since = now
        req.done = req.done or ev.closed
        if req.done:
            self._drop(req)
        elif ev.outcome is not i.Outcome.OK and not req.in_flight:
            self._further(req, now)

    def _read_done(self, req: Request, a: Attempt, ev: i.AttemptEnded, now: float) -> None:
        w = a.server
        fresh = max(0.0, req.arrival.prompt_tokens - ev.note)
        self.paces.learn(w.role, fresh, ev.latency)
        self.mean_prompt_tokens += SLOW_GAIN * (req.arrival.prompt_tokens - self.mean_prompt_tokens)
        self.mean_fresh_tokens += SLOW_GAIN * (fresh - self.mean_fresh_tokens)
        self._learn_wait(w, max(0.0, ev.latency - fresh * self.paces.by_role[w.role]), now, a.expected_wait)
        expected = a.expected_wait + fresh * self.paces.by_role[w.role] * w.backlog.slowdown(now)
        w.backlog.read_ended(a.backlog_mark, ev.latency, expected, now)
        kept = (
            req.arrival.prompt_tokens - a.fresh_tokens
        ) / w.hit  # what it should have kept; a flush shows here
        if kept > 0:
            w.hit += GAIN * (min(1.0, ev.note / kept) - w.hit)
        req.state_reader = w
        self._remember(req, w, now)

    def _learn_wait(self, w: Worker, sample: float, now: float, believed: float = 0.0) -> None:
        self._tell_wait(w, self.waits.learn(w, sample, now, believed), now)

    def _tell_wait(self, w: Worker, wait: float, now: float) -> None:
        if self.waits.is_outlier(w, wait, now) and (word := self.gossip.slow_message(w.info.id, wait, now)):
            self.actions.append(i.Tell(word))

    def _remember(self, req: Request, w: Worker, now: float) -> None:
        session = self.sessions.pop(req.arrival.session, None) or Session()  # kept in the order of last use
        session.reader, session.prompt, session.at = w.info.id, req.arrival.prompt_tokens, now
        self.sessions[req.arrival.session] = session
        self.prefix_cache.record_use(
            w.info.id, short_tag(req.arrival.prefix) if req.arrival.prefix else NO_PREFIX, now
        )

    def _served(self, req: Request, a: Attempt, ev: i.AttemptEnded) -> None:
        stream = max(0.0, ev.latency - a.first_token_time)
        if a.fresh_tokens:  # only its end tells what was kept there: of other routers' turns, too
            self.paces.learn(a.server.role, max(0.0, req.arrival.prompt_tokens - ev.note), a.first_token_time)
        mean = self.mean_stream_time[req.arrival.cls]
        self.mean_stream_time[req.arrival.cls] = mean = mean + SLOW_GAIN * (stream - mean) if mean else stream
        a.server.drag += SLOW_GAIN * (min(DRAG_MAX, stream / max(mean, 1e-3)) - a.server.drag)
        stream = min(stream, self.settings.classes[req.arrival.cls].token_aim * req.arrival.max_tokens)
        read = sum(b.fresh_tokens for b in req.attempts if b.outcome in (i.Outcome.READ, i.Outcome.OK))
        if session := self.sessions.get(req.arrival.session):
            session.cst += stream + read * self.paces.by_role[i.Role.READER]

    def _probed(self, ev: i.ProbeEnded, now: float) -> None:
        if (w := self.workers.get(ev.server)) is None:
            return
        silent = self.health.probe_ended(w, ev.ok, now)
        if ev.ok:
            self._heard(w, ev.load, now)
        elif silent:
            self._eject(w, now, silent=True)

    def _heard(self, w: Worker, load: i.Load | None, now: float) -> None:
        if load is not None:
            w.load, w.load_at, w.streams_at_load, w.sends_since_load = load, now, w.streams, 0
            if w.role is i.Role.READER and self.queues_reported:
                wait = self._reported(w) * self.paces.by_role[w.role]
                self.waits.learn_of_role(w.role, wait, now)

    def _reported(self, w: Worker) -> float:
        """Tokens told to wait at w. A told backlog counts kept text too, so the part not kept is taken."""
        if w.load is None:
            return 0.0
        share = self.mean_fresh_tokens / max(self.mean_prompt_tokens, self.mean_fresh_tokens, 1.0)
        return max((w.load.backlog_tokens or 0.0) * share, (w.load.queued or 0.0) * self.mean_fresh_tokens)

    def _eject(self, w: Worker, now: float, silent: bool) -> None:
        if not self.health.eject(w, self._peers(w), now):
            return
        self.actions.append(i.Log(f"eject {w.info.id} {'silent' if silent else 'failing'} at {now:.1f}"))
        if not silent:
            return
        # What waits there would run into its time-outs; streams there stand still.
        moves = max(1, int(MOVE_SHARE * sum(self.room.streams.values()))) if self.settings.may_resume else 0
        for req in list(self.requests.values()):
            for n, a in enumerate(req.attempts):
                if a.server is w and a.live and a.streaming and moves > 0:
                    moves -= 1
                    self.actions.append(i.MoveStream(req.arrival.id))
                elif (
                    a.server is w
                    and a.live
                    and not a.streaming
                    and self.settings.may_cancel
                    and (a.read_only or self.settings.classes[req.arrival.cls].effect is i.Effect.SAFE)
                ):
                    self.actions.append(i.CancelAttempt(req.arrival.id, n))

    def _usable(self, w: Worker, now: float, req: Request | None = None) -> bool:
        if w.known_usable:
            return True
        if not self.health.usable(w, now):
            return False
        if not self.slow_start.is_cold(w, now):
            w.known_usable = not w.trial
            return True
        return req is None or self.slow_start.has_budget(w, self._peers(w), now)

    def _peers(self, w: Worker) -> list[Worker]:
        return self.fleet.running[w.role]

    def pool(self, role: i.Role, now: float, req: Request | None = None) -> list[Worker]:
        pool = self.fleet.running[role]
        if req is not None and req.attempts:
            tried = [a.server for a in req.attempts]
            pool = [w for w in pool if w not in tried]
        pool = [w for w in pool if w.known_usable or self._usable(w, now, req)]
        if cut_off := self.zones.unreachable(now):
            pool = [w for w in pool if w.info.zone not in cut_off] or pool
        if req is not None and self.settings.classes[req.arrival.cls].effect is i.Effect.UNSAFE:
            return self.health.without_suspects(pool, now) or pool
        return pool

    def _weight(self, req: Request) -> float:
        """A send's work against the mean over classes."""
        seen = [t for t in self.mean_class_tokens if t > 0]
        return max(1.0, self.mean_class_tokens[req.arrival.cls] * len(seen) / sum(seen)) if seen else 1.0

    def _free(self, role: i.Role, now: float) -> float:
        return self.room.smoothed(role, self.pool(role, now), now)

    def _pump(self, now: float) -> None:
        if not self.queue.count:
            return self.queue.compact()
        free = {
            True: self._free(i.Role.MIXED, now),
            False: self._free(i.Role.WRITER, now) - self.reads_in_flight,
        }
        self.room.mark_smoothed(now)
        # Reading slows mixed servers' answers, so it is held to a part of their time, all taken together.
        both = self.fleet.by_role[i.Role.MIXED]
        reads = self.read_load[i.Role.MIXED].decayed(now, WORK_RATE_TIME_CONSTANT_S) * self.settings.instances
        if both and self.waits.uses_backlog(both[0]):
            reads = sum(w.backlog.read_share(now) for w in both)
        busy = reads / max(1, self.topology.running[i.Role.MIXED])
        free[True] *= max(0.0, 1 - busy / READ_SHARE)
        idle = not self.attempts_in_flight
        # Part of a place is given by chance, else what is too little for each router stays unused.
        while self.queue.count and (idle or max(free.values()) >= self.admission_threshold):
            self.admission_threshold = self.random.random()
            mixed = self._route(self.queue.pop(now), free, now)
            if mixed is not None:
                free[mixed] -= 1
                idle = False

    def _route(self, req: Request, free: dict[bool, float], now: float) -> bool | None:
        room, last = {m: max(0.0, free[m]) for m in free}, self._last(req)
        first = self.random.random() * (room[True] + room[False]) < room[True]
        if last is not None and room[last.role is i.Role.MIXED] > 0:
            first = last.role is i.Role.MIXED
        ways = []
        for mixed in (first, not first) if room[not first] > 0 else (first,):
            w, part = self._reader(req, mixed, req.first_token_due, now)
            ways += [(part, w)] if w is not None else []
            if part <= COMFORT:
                break
        if not ways:
            self.paces.lower_if_uncertain()
            self._finish(req, "no reader in time")
            return None
        w = min(ways, key=lambda way: way[0])[1]
        self._send(req, w, now, read=w.role is i.Role.READER)
        return w.role is i.Role.MIXED

    def _last(self, req: Request) -> Worker | None:
        session = self.sessions.get(req.arrival.session)
        return self.workers.get(session.reader) if session and session.reader is not None else None

    def _fresh_tokens(self, req: Request, w: Worker) -> float:
        return self._fresh_at_each(req, (w,))[0]

    def _fresh_at_each(self, req: Request, pool: Sequence[Worker]) -> list[float]:
        """The prompt's tokens that each of them would have to read, for it does not keep them."""
        session, prompt = self.sessions.get(req.arrival.session), req.arrival.prompt_tokens
        last = session.reader if session is not None else None
        text, kept_texts = self.prefix_cache.tag_of(req.arrival.prefix), self.prefix_cache.uses
        fresh = []
        for w in pool:
            number, kept = w.info.id, 0.0
            if session is not None and number == last:
                kept = min(session.prompt, prompt)
            elif text is not None and (number, text) in kept_texts:
                kept = req.arrival.prefix_tokens
            fresh.append(max(0.0, prompt - kept * w.hit))
        return fresh

    def _expected(self, w: Worker, fresh: float, now: float) -> float:
        """Time until w has read so many tokens: its queue, from what we have, saw or were told, and the
        read."""
        pace = self.paces.by_role[w.role]
        own = sum(a.fresh_tokens for a in w.pending) * pace
        age = w.longest_wait(now) - (w.pending[0].fresh_tokens * pace if w.pending else 0.0)
        wait = max(own, age, self.waits.of_server(w, now))
        if self.waits.uses_backlog(w):
            pace *= w.backlog.slowdown(now)
        elif w.load is not None and now - w.load_at < REPORT_TTL:
            wait = max(wait, self._reported(w) * pace * math.exp((w.load_at - now) / WAIT_DECAY))
        return wait + fresh * pace

    def _reader(self, req: Request, mixed: bool, limit: float, now: float) -> tuple[Worker | None, float]:
        """The session's last reader, else the hashed home, else the next in hash order; one over LOAD_BOUND
        times the median of our reads is passed over. Departure: so is one whose read takes over COMFORT of
        the time left, for the quickest of its homes and SPARE_HOMES more; elsewhere it would be read anew."""
        pool = self.pool(i.Role.MIXED if mixed else i.Role.READER, now, req)
        if mixed:  # a beginning's home must not fill past its own room: its answers would crawl (i63487d)
            pool = self.room.with_room(pool, now) or pool
        if not pool:
            return None, math.inf
        told = self.waits.uses_backlog(pool[0]) and self.waits.meets_servers_rarely(
            self.topology.running[i.Role.READER] + self.topology.running[i.Role.MIXED]
        )
        pool = self._near(req, pool, TOLD_SPARE if told else SPARE_HOMES, now)
        fetch = 0.0 if mixed else self.waits.of_role(i.Role.WRITER, now)
        margin = TOLD_MARGIN if told else AIM_MARGIN
        left = (min((limit - now) * margin, req.deadline - now) - fetch) * (1 - OVER_MARGIN * req.over_quota)
        fresh = self._fresh_at_each(req, pool)
        expected = [self._expected(w, tokens, now) for w, tokens in zip(pool, fresh, strict=True)]
        # The margin is for the wait, a guess; a read that is held to it refuses the longest first.
        pace = self.paces.by_role[pool[0].role]
        reads = [tokens * pace * w.backlog.slowdown(now) for w, tokens in zip(pool, fresh, strict=True)]
        fit = [n for n, wait in enumerate(expected) if wait - reads[n] * (1 - margin) <= left]
        if told:  # departure: the least cost among them, for what all know together is no guess
            cost = {n: expected[n] + OTHERS * reads[n] for n in fit}
            best = min(fit, key=cost.__getitem__, default=-1)
            return (pool[best], expected[best] / left) if fit and left > 0 else (None, math.inf)
        loads = [w.streams if mixed else w.reads for w in pool]
        bound = LOAD_BOUND * max(1.0, median(loads))
        for w, wait, load in zip(pool, expected, loads, strict=True):
            if wait <= COMFORT * left and load <= bound:
                return w, wait / left if left > 0 else 0.0
        best = min(range(len(pool)), key=expected.__getitem__)
        may = best in fit and expected[best] > 0 and left > 0
        return (pool[best], expected[best] / left) if may else (None, math.inf)

    def _near(self, req: Request, pool: list[Worker], spare: int, now: float) -> list[Worker]:
        """The session's last reader, then its beginning's homes and so many more, in hash order."""
        self._weigh_homes()
        last, usable = self._last(req), {w.info.id: w for w in pool}
        order = self.home_orders[pool[0].role].order(req.arrival.prefix or req.arrival.session)
        homes = self.popularity.home_count(req.arrival.prefix, len(pool), now)
        near = list(islice((usable[n] for n in order if n in usable), homes + spare))
        near[:homes] = sorted(
            near[:homes], key=lambda w: rendezvous_score(req.arrival.session, w.info.id), reverse=True
        )
        if last is not None and last.info.id in usable:
            near = [last, *(w for w in near if w is not last)]
        return near

    def _pair(self, req: Request, home: Worker | None, now: float) -> list[Worker]:
        """Two random writers for a state at home. Departure: from its cell, then zone, as links are slow and
        paid for; but only as large a part as the place has of all writers, the rest by chance where there are
        more. Guards against full near writers when few waits are seen; from the list alone, so it adds up."""
        pool = self.pool(i.Role.WRITER, now, req) or self.pool(i.Role.MIXED, now, req)
        pool = self.room.with_room(pool, now) or pool
        if home is not None:
            self._weigh_homes()
            cell, zone = self.topology.cell_balance(home), self.topology.zone_balance(home)
            cell *= self.mean_reader_weight / self.home_orders[i.Role.READER].weights.get(home.info.id, 1.0)
            draw = self.random.random()
            inside = [w for w in pool if w.info.zone == home.info.zone]
            if draw < cell:
                near = [w for w in inside if w.info.cell == home.info.cell]
            elif draw < zone:
                near = [w for w in inside if w.info.cell in self.topology.writer_heavy_cells]
            else:
                near = [w for w in pool if w.info.zone in self.topology.writer_heavy_zones]
            pool = near or inside or pool
        return self.random.sample(pool, 2) if len(pool) > 1 else pool

    def _writer(self, req: Request, now: float) -> Worker | None:
        """Of two random writers the one with fewer of our streams. Departure: where load is told they are
        drawn and probed when the read begins, and their room decides: we have hardly a stream at each."""
        tried = [a.server for a in req.attempts]
        two = [w for w in req.writer_pair if w not in tried and self._usable(w, now, req)]
        two = [w for w in two if not self.health.is_suspect(w, now)]
        if len(self.room.with_room(two, now)) < 2:
            two = self._pair(req, req.state_reader, now)
        if self.load_reported and all(self.room.of_server(w, now) is not None for w in two):
            return max(two, key=lambda w: self.room.of_server(w, now) or 0.0, default=None)
        return min(two, key=lambda w: w.streams * w.drag, default=None)

    def _may_send(self, req: Request, w: Worker, now: float) -> bool:
        """The repeat rule: attempts that may have run bind where, and whether, the request may go again."""
        if len(req.attempts) >= self.settings.max_attempts or req.in_flight:
            return False
        cls, ran = self.settings.classes[req.arrival.cls], req.possibly_run
        if cls.effect is i.Effect.SAFE or not ran:
            return True
        if cls.effect is i.Effect.UNSAFE or now - ran[0].sent_at > cls.dedup_window - ON_ITS_WAY:
            return False
        first = ran[0].server.info
        same = w.info.zone == first.zone if cls.group is i.Group.ZONE else w.info.cell == first.cell
        return cls.group is i.Group.ALL or same

    def _send(self, req: Request, w: Worker, now: float, read: bool) -> None:
        fetches = w.role is i.Role.WRITER or (w.role is i.Role.MIXED and req.state_reader is not None)
        fresh = 0.0 if fetches else self._fresh_tokens(req, w)
        expect = self.waits.of_server(w, now)
        if fresh or read:
            expect = self._expected(w, self._fresh_tokens(req, w), now)
        least, times = READ_TIMEOUT if read else WRITE_TIMEOUT
        timeout = min(least + times * expect, max(0.05, req.deadline - now))
        if req.attempts and req.attempts[-1].outcome is not i.Outcome.READ:
            self.retry_budget -= 1
        a = Attempt(w, read, now, fresh, expect)
        if not fetches:
            work = fresh * self.paces.by_role[w.role]
            a.expected_wait, a.backlog_mark = w.backlog.wait(now), w.backlog.add(work, now)
            if self.waits.uses_backlog(w):
                word = self.gossip.read_message(w.info.id, work, req.arrival.prefix, self.random.random())
                self.actions += [i.Tell(word)] if word else []
        req.attempts.append(a)
        w.add_attempt(a)
        self.attempts_in_flight += 1
        self.reads_in_flight += read
        self.room.streams[w.role] += not read
        weight = self._weight(req)
        w.work_rate.add(weight / WORK_RATE_TIME_CONSTANT_S, now, WORK_RATE_TIME_CONSTANT_S)
        self.slow_start.invalidate()
        w.cold_level -= weight
        self.read_load[w.role].add(
            fresh * self.paces.by_role[w.role] / WORK_RATE_TIME_CONSTANT_S, now, WORK_RATE_TIME_CONSTANT_S
        )
        if w.role is i.Role.MIXED:
            self._remember(req, w, now)
        self.actions.append(i.Send(req.arrival.id, w.info.id, timeout))
        if read and self.load_reported:
            req.writer_pair = self._pair(req, w, now)
            for w in self.probes.due_among(req.writer_pair, now):
                self._probe(w, now)

    def _further(self, req: Request, now: float) -> None:
        """A released request with nothing out: hand its state over, read it (again), or end it."""
        first = req.attempts[-1].outcome is i.Outcome.READ
        if req.deadline - now < LAST_CALL or len(req.attempts) >= self.settings.max_attempts:
            return self._finish(req, "out of time" if req.deadline - now < LAST_CALL else "out of attempts")
        if not first and self.retry_budget < 1:
            return self._finish(req, "retry budget spent")
        if req.state_reader is not None:
            w = self._writer(req, now)
            waits = now - req.state_since <= STATE_HOLD * self.settings.release_within
            if waits and w is not None and self._may_send(req, w, now):
                return self._send(req, w, now, read=False)
            if waits and w is None:
                return None  # the tick looks again while the state may wait
            return self._finish(req, "no writer")
        mixed = req.attempts[-1].server.role is i.Role.MIXED
        for whole in (mixed, not mixed):
            w = self._reader(req, whole, req.deadline, now)[0]
            if w is not None and self._may_send(req, w, now):
                return self._send(req, w, now, read=not whole)
        return self._finish(req, "no second reader")

    def _finish(self, req: Request, why: str, gave_way: bool = False) -> None:
        """Answer a request that is not served: refused where trying again is harmless, else failed."""
        self.unserved_counts[why] = self.unserved_counts.get(why, 0) + 1
        if self._explain is not None:
            self._explain(req.arrival.id, why)
        self.leaving_share[req.tenant] *= 1 - LEAVE_FADE  # a bounded aim must not keep itself up
        cls = self.settings.classes[req.arrival.cls]
        if (
            not req.possibly_run
            or cls.effect is i.Effect.SAFE
            or (cls.effect, cls.group) == (i.Effect.KEYED, i.Group.ALL)
        ):
            after = min(self.random.uniform(*RETRY_AFTER), self.settings.max_retry_after)
            if (
                self.service_level.name
            ):  # spread below the longest that clients follow, later at a worse level
                least, most = self.service_level.retry_after
                after = self.random.uniform(least / most, 1.0) * min(most, self.settings.max_retry_after)
            self.actions.append(
                i.Refuse(req.arrival.id, after if self.settings.retry_advice else 0.0, gave_way)
            )
        else:
            self.actions.append(i.Fail(req.arrival.id))
        self._close(req)

    def _close(self, req: Request) -> None:
        req.done = True
        self.queue.remove(req)
        if self.settings.may_cancel:
            waits = [n for n, a in enumerate(req.attempts) if a.live and not a.streaming]
            self.actions += [i.CancelAttempt(req.arrival.id, n) for n in waits]
        self._drop(req)

    def _drop(self, req: Request) -> None:
        if not req.in_flight:
            if req.state_reader is not None:
                self.actions.append(i.ReleaseState(req.arrival.id))
                req.state_reader = None
            self.requests.pop(req.arrival.id, None)

    def _attempt(self, rid: str, n: int) -> tuple[Request | None, Attempt | None]:
        req = self.requests.get(rid)
        return req, req.attempts[n] if req is not None and 0 <= n < len(req.attempts) else None

    def _set_timer(self) -> None:
        self.timer_token += 1
        self.actions.append(i.SetTimer(TICK, self.timer_token))

    def _tick(self, ev: i.TimerFired, now: float) -> None:
        if ev.token != self.timer_token:
            return
        self._set_timer()
        if now >= self.resubscribe_at:
            self.resubscribe_at = math.inf
            self.actions.append(i.Subscribe())
        fetch = self.waits.of_role(i.Role.WRITER, now)
        for req in list(self.requests.values()):
            if req.held:
                if now + fetch > min(req.first_token_due, req.deadline) - LAST_CALL:
                    self._finish(req, "no room in time")
            elif not req.done and not req.in_flight:
                self._further(req, now)
        drop_unused(self.sessions, now - SESSION_IDLE)
        self.prefix_cache.expire(now - SESSION_IDLE)
        self.popularity.expire(now)
        self._forget(now)
        if self.timer_token % LOOK_EVERY == 0:
            self._look_for_silent(now)
        if self.unserved_counts and now - self.logged_at >= LOG_EVERY:
            self.actions.append(i.Log("; ".join(f"{why}: {n}" for why, n in self.unserved_counts.items())))
            self.unserved_counts, self.logged_at = {}, now

    def _forget(self, now: float) -> None:
        """Guards against growth with ids that never come again."""
        for n in self.fleet.remove_gone(now - i.FORGET_AFTER):
            self.gossip.remove_server(n)
        self.queue.compact()

    def _look_for_silent(self, now: float) -> None:
        """Eject writers that are silent though they may answer probes, and probe what is due."""
        for w in self.fleet.by_role[i.Role.WRITER]:
            if w.pending and self.health.is_silent(w, now) and self.health.exceeds_silence_limit(w, now):
                self._eject(w, now, silent=True)
        for w in self.probes.due(self.workers.values(), self.random, now):
            self._probe(w, now)

    def _probe(self, w: Worker, now: float) -> None:
        if self.probes.may_probe(w):
            w.probe_in_flight, w.probed_at = True, now
            self.actions.append(i.Probe(w.info.id))
