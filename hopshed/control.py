"""hopshed's decision logic. Its settings, events and actions are defined in `interface.py`, in this folder.

Design (AIBrix RFC, issue #633): held requests, ordered by their session's accumulated service time (CST), are
admitted in batches sized to the free room at writers; a turn goes to its session's last reader, or to its
prefix's home by rendezvous hashing, then to one of two random writers. "Departure" marks a change to it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from itertools import islice
from random import Random
from statistics import median
from typing import Any

from . import interface
from .estimate import Estimate
from .fleet import Fleet
from .free_room import REPORT_TTL_S, FreeRoom
from .gossip import NO_PREFIX, Gossip, ReadSent, SlowServer, short_tag
from .health import Health
from .hold_queue import HoldQueue
from .interface import AttemptEnded, Effect, Group, ListKind, Log, Outcome, Role, ServerState, Settings, Tell
from .popularity import Popularity
from .prefix_cache import PrefixCacheIndex
from .probes import Probes
from .queue_waits import WAIT_DECAY_S, QueueWaits
from .quota import Quotas
from .read_pace import ReadPaces
from .rendezvous import Rendezvous, rendezvous_score
from .slow_start import WORK_RATE_TIME_CONSTANT_S, SlowStart
from .state import MAX_SESSIONS, Attempt, Request, Session, Worker, drop_unused
from .topology import Topology
from .zone_reachability import ZoneReachability

TICK_S = 0.05  # interval of the timer
CHECK_TICKS = 4  # ticks between checks for silent servers and due probes
IDLE_LIMIT_S = 60.0  # sessions and cached prefixes that were not used for so long are dropped
MAX_HOME_ORDERS = 500  # rendezvous orders cached for each role
MAX_READS_FACTOR = 2.0  # a reader with over this times the candidates' median of reads is passed over
FAST_GAIN = 0.25  # weight of a sample in a fast moving average
SLOW_GAIN = 0.05  # weight of a sample in a slow moving average
DRAG_MAX = 4.0  # upper bound of one stream's sample of `Worker.drag`
MIXED_READ_SHARE = 0.6  # share of their time that mixed servers may spend on reading
LEAVING_GAIN = 0.05  # weight of one client that leaves, or stays, in the share of clients that leave
UNSERVED_GAIN = 0.0125  # weight of a request that is not served; it lowers that share
MAX_LEAVING_SHARE = 0.5  # above it, the age of leaving clients bounds the aim, which costs those that stay
SPARE_HOMES = 2  # readers beyond a prefix's homes that a turn may go to
ACCEPT_SHARE = 0.6  # share of the time left; a reader expected to take no more is accepted at once
AIM_SHARE = 0.6  # part of the time to the aim for an expected read, as estimates err and many would be late
BACKLOG_SPARE_HOMES = 4  # SPARE_HOMES where routers share their backlogs
BACKLOG_AIM_SHARE = 0.8  # AIM_SHARE where routers share their backlogs
READ_COST_WEIGHT = 1.0  # weight of the time that a read takes from other requests, against its own delay
SLOW_TOKEN_FACTOR = 4.0  # a first token is slow if it takes longer than this times the writer's shortest
SLOW_TOKEN_MIN_S = 0.3  # and longer than this
READ_TIMEOUT = (1.0, 4.0)  # seconds, plus this many times the expected read
WRITE_TIMEOUT = (2.0, 6.0)  # seconds, plus this many times the expected wait for a first token
RETRY_RATIO = 0.5  # retries that each arrival adds to the retry budget
RETRY_CAP = 20.0  # retries; size of the retry budget
REPEAT_TRANSIT_S = 0.1  # time for a repeat to reach its server, which must be within the dedup window
STATE_HOLD_SHARE = 0.6  # share of the release limit for which a read state may wait for a writer
RETRY_AFTER_S = (0.2, 0.8)  # range of the random retry advice to refused clients
ANSWER_TIME_S = 0.1  # time reserved for the final answer
MOVED_SHARE = 0.34  # share of this router's streams that are moved when a server is ejected as silent
RESUMED_AIM_FACTOR = 2.0  # multiple of its aim that a resumed stream may take
LOG_INTERVAL_S = 5.0  # shortest time between summaries in the log
RESUBSCRIBE_DELAY_S = 0.5  # first delay until a failed subscription is repeated
OVER_QUOTA_CUT = 0.5  # share of the time left that a turn over its tenant's quota must do without


class Controller:
    """One router's decisions: `handle` takes events and returns actions. No clock, no I/O."""

    def __init__(
        self, settings: Settings, seed: int, explain: Callable[[str, str], None] | None = None
    ) -> None:
        """`explain` is called with the id of each request that is not served, and the reason."""
        self.settings, self.random = settings, Random(seed)
        self._explain = explain
        self.load_reported = not {"utilization", "memory_share"}.isdisjoint(settings.report_fields)
        self.queues_reported = bool({"queued", "backlog_tokens"} & set(settings.report_fields))  # by readers
        self.fleet = Fleet()
        self.workers = self.fleet.workers
        self.reads_in_flight, self.attempts_in_flight = 0, 0  # at readers only; at all servers
        self.sessions: dict[str, Session] = {}  # in the order of last use
        self.requests: dict[str, Request] = {}
        self.queue = HoldQueue()
        self.admission_threshold = self.random.random()  # free room needed for the next admission
        self.home_orders = {role: Rendezvous(MAX_HOME_ORDERS) for role in (Role.READER, Role.MIXED)}
        self.mean_reader_weight = 1.0  # mean weight of readers as homes
        self.home_weights_stale = False  # the server list has changed since the weights were computed
        self.topology = Topology()
        self.room = FreeRoom(settings, self.topology)
        self.level = interface.ServiceLevel()
        self.read_load = {role: Estimate() for role in Role}  # of this router's reads; seconds per second
        self.popularity, self.slow_start, self.zones = Popularity(), SlowStart(settings), ZoneReachability()
        self.paces, self.prefix_cache = ReadPaces(), PrefixCacheIndex()
        self.mean_prompt_tokens = self.mean_fresh_tokens = 0.0  # fresh tokens are those not found cached
        self.leaving_share, self.mean_leaving_age = ([0.0] * max(1, len(settings.tenants)) for _ in range(2))
        self.mean_stream_time, self.mean_class_tokens = ([0.0] * len(settings.classes) for _ in range(2))
        self.retry_budget = RETRY_CAP
        self.quotas, self.gossip = Quotas(settings), Gossip(settings)
        self.waits = QueueWaits(self.gossip)
        self.health = Health(settings, self.zones, self.gossip, self.waits, self.paces)
        self.probes = Probes(settings, self.health)
        self.timer_token = 0
        self.logged_at = -math.inf
        self.resubscribe_at, self.resubscribe_delay = math.inf, RESUBSCRIBE_DELAY_S
        self.actions: list[interface.Action] = []
        self.unserved_counts: dict[str, int] = {}  # reason -> requests not served since the last summary
        self.handlers: dict[type, Callable[[Any, float], None]] = {
            interface.RequestArrived: self._request_arrived,
            interface.AttemptEnded: self._attempt_ended,
            interface.StreamStarted: self._stream_started,
            interface.ClientGone: self._client_gone,
            interface.ProbeEnded: self._probe_ended,
            interface.ServersListed: self._servers_listed,
            interface.TimerFired: self._timer_fired,
            interface.ServiceLevel: self._level_set,  # applies to later requests
            interface.PeerSaid: self._peer_said,
            interface.WarmRates: self._warm_rates_given,  # rates from before all servers were lost
            interface.StateReleased: self._state_released,
        }

    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]:
        """Process the events of one round of the event loop, in order; returns the resulting actions."""
        self.actions = []
        if not self.timer_token:
            self._set_timer()
            self.actions += [interface.Subscribe()] if self.settings.subscribe else []
        for event in events:
            self.handlers[type(event)](event, now)
        self._admit_held(now)
        for event in events:  # requests that cannot wait for the next tick, or must not wait at all
            request = self.requests.get(event.id) if isinstance(event, interface.RequestArrived) else None
            if request is not None and request.held and request.deadline - now < ANSWER_TIME_S + TICK_S:
                self._reject(request, "no room in time")
            elif request is not None and request.held and self.level.certain and not request.event.resumed:
                self._reject(request, "no certain room", gave_way=True)
        return self.actions

    def _peer_said(self, event: interface.PeerSaid, now: float) -> None:
        """Process a gossip message of another router."""
        try:
            message = self.gossip.receive(event.data, now)
        except ValueError as error:
            return self.actions.append(Log(f"router {event.sender} sent {error}"))
        if isinstance(message, SlowServer) and (worker := self.workers.get(message.server)) is not None:
            worker.backlog.wait_reported(message.wait, now)
            worker.wait, worker.wait_at = max(message.wait, self.waits.of_server(worker, now)), now
        elif isinstance(message, ReadSent):
            for worker in [self.workers[n] for n in message.servers if n in self.workers]:
                worker.backlog.add(message.work, now)
                self.prefix_cache.record_use(worker.info.id, message.prefix_tag, now)

    def _level_set(self, event: interface.ServiceLevel, now: float) -> None:
        self.level = event

    def _warm_rates_given(self, event: interface.WarmRates, now: float) -> None:
        self.slow_start.warm_rates_before_loss.update(event.rates)
        self.slow_start.invalidate()

    def _servers_listed(self, event: interface.ServersListed, now: float) -> None:
        """Apply a server list or changes to it; a failure keeps the old list and subscribes again later."""
        if event.kind is ListKind.FAILED:
            self.resubscribe_at = now + self.resubscribe_delay if self.settings.subscribe else math.inf
            self.resubscribe_delay = min(2 * self.resubscribe_delay, self.settings.ask_within / 2)
            return
        self.resubscribe_delay = RESUBSCRIBE_DELAY_S
        only_changes = event.kind is ListKind.CHANGES
        changed: list[Worker] = []
        started: list[Worker] = []
        for info in event.servers:
            worker = self.workers.get(info.id)
            if worker is None:
                if not 0 <= info.kind < len(self.settings.roles):
                    continue
                listed = now if only_changes else -math.inf
                worker = self.workers[info.id] = Worker(info, self.settings.roles[info.kind], now, listed)
                started.append(worker)
            elif info.started != worker.info.started and info.started is not None:  # a new process
                worker.reset(now)
                worker.info, worker.listed = info, now
                started.append(worker)
                self.prefix_cache.server_restarted(info.id)
            worker.info, worker.known_usable = info, False
            worker.gone_at = now if info.state is ServerState.GONE else math.inf
            changed.append(worker)
        if only_changes:
            self.fleet.update(changed)
        else:
            self.fleet.rebuild()
        self.slow_start.servers_started(started, self._peers, self.random, now)
        if only_changes:
            self._apply_changes(changed, started)
        else:
            self._apply_full_list({info.id for info in event.servers}, now)
        self.slow_start.invalidate()
        self.home_weights_stale = True

    def _apply_changes(self, changed: list[Worker], started: list[Worker]) -> None:
        """Pass changes on to the components; the cost depends on their number and not on the fleet's size."""
        for worker in started:
            self.gossip.add_server(worker.info.id)
        self.topology.update(changed)

    def _apply_full_list(self, listed: set[int], now: float) -> None:
        """Mark the servers that a full list does not name as gone, and pass the list on to the components."""
        for worker in [worker for number, worker in self.workers.items() if number not in listed]:
            worker.info = worker.info._replace(state=ServerState.GONE)
            worker.gone_at = min(now, worker.gone_at)
            worker.known_usable = False
        self.fleet.rebuild()
        self.gossip.set_servers(self.workers)
        self.topology.rebuild(self.workers.values())

    def _refresh_home_weights(self) -> None:
        """Recompute the weights of homes if the server list has changed."""
        if not self.home_weights_stale:
            return
        self.home_weights_stale = False
        for role, orders in self.home_orders.items():
            orders.set_weights(self.topology.home_weights(self.fleet.by_role[role]))
        weights = self.home_orders[Role.READER].weights.values()
        self.mean_reader_weight = sum(weights) / max(1, len(weights))

    def _client_gone(self, event: interface.ClientGone, now: float) -> None:
        """Close the request of a client that has left, and count it for the share of leaving clients."""
        request = self.requests.get(event.id)
        if request is not None and not request.done:
            self.leaving_share[request.tenant] += LEAVING_GAIN * (1.0 - self.leaving_share[request.tenant])
            self.mean_leaving_age[request.tenant] += FAST_GAIN * (
                now - request.arrived_at - self.mean_leaving_age[request.tenant]
            )
            self._close(request)

    def _state_released(self, event: interface.StateReleased, now: float) -> None:
        """The state is gone, unless an attempt in flight has fetched it: any later one begins with a read."""
        if (request := self.requests.get(event.id)) is not None:
            request.state_reader = None

    def _request_arrived(self, event: interface.RequestArrived, now: float) -> None:
        """Hold a new request until it is admitted; the level of service may admit only a share of them."""
        aim = self.settings.classes[event.cls].aim_of(event.prompt_tokens)
        tenant = min(event.tenant, len(self.leaving_share) - 1)
        if self.leaving_share[tenant] > MAX_LEAVING_SHARE:
            aim = min(aim, self.mean_leaving_age[tenant])  # later reads would run on, their clients gone
        if event.resumed:  # a refusal loses the worth of what was streamed elsewhere, lateness only a part
            aim = min(RESUMED_AIM_FACTOR * aim, event.patience)
        request = self.requests[event.id] = Request(event, tenant, now, now + event.patience, now + aim)
        self.popularity.prefix_arrived(event.prefix, now)
        request.service_time = self.sessions[event.session].cst if event.session in self.sessions else 0.0
        self.waits.request_arrived(now)
        self.retry_budget = min(RETRY_CAP, self.retry_budget + RETRY_RATIO)
        self.probes.request_arrived()
        mean = self.mean_class_tokens[event.cls]
        self.mean_class_tokens[event.cls] = (
            mean + SLOW_GAIN * (event.prompt_tokens - mean) if mean else event.prompt_tokens
        )
        self.room.request_arrived(event.prompt_tokens + event.max_tokens / 2)
        request.over_quota = self.quotas.over_quota(event.tenant, now)
        if event.admit < 1.0 and self.random.random() >= event.admit:
            request.held = False
            return self._reject(request, f"gave way at {self.level.name or 'full'}", gave_way=True)
        self.queue.push(request, now)

    def _stream_started(self, event: interface.StreamStarted, now: float) -> None:
        """Learn from the time to the first token: the server's wait, backlog, `floor` and stream limit."""
        request, attempt = self._find_attempt(event.id, event.attempt)
        if request is None or attempt is None or not attempt.live or attempt.streaming:
            return
        attempt.streaming, attempt.ttft, request.state_reader = True, event.latency, None
        self.leaving_share[request.tenant] *= 1 - LEAVING_GAIN
        worker = attempt.server
        worker.pending.remove(attempt)
        self.slow_start.record_taken(worker, attempt.work, now)
        self.health.attempt_succeeded(worker, now)
        self._learn_wait(
            worker,
            max(0.0, event.latency - attempt.fresh_tokens * self.paces.by_role[worker.role]),
            now,
            attempt.queue_wait,
        )
        if attempt.backlog_mark:  # the attempt included the read, at a mixed server
            worker.backlog.read_ended(attempt.backlog_mark, event.latency, attempt.expected_read_time, now)
        worker.floor = min(event.latency, worker.floor * 1.01)
        if event.latency > max(SLOW_TOKEN_MIN_S, SLOW_TOKEN_FACTOR * worker.floor):
            self.room.lower_limit(worker)
        else:
            self.room.raise_limit(worker)

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        """Learn from the outcome of an attempt, and go on with its request."""
        request, attempt = self._find_attempt(event.id, event.attempt)
        if request is None or attempt is None or not attempt.live:
            return
        worker, attempt.live, attempt.outcome = attempt.server, False, event.outcome
        worker.remove_attempt(attempt)
        self.attempts_in_flight -= 1
        self.reads_in_flight -= attempt.read_only
        self.room.streams[worker.role] -= not attempt.read_only
        self._record_load(worker, event.load, now)
        if event.outcome in (Outcome.READ, Outcome.OK):
            self.health.attempt_succeeded(worker, now)
            if not attempt.streaming:  # else it was recorded when its stream began
                self.slow_start.record_taken(worker, attempt.work, now)
            if event.outcome is Outcome.READ:
                self._read_ended(request, attempt, event, now)
            else:
                self._answered(request, attempt, event)
        elif event.outcome is Outcome.FULL:
            worker.life = now
            if event.note == 1:  # the writer may be cut off from a state that still occupies its reader
                self.actions.append(interface.ReleaseState(event.id))
                request.state_reader = None
            else:
                self.room.lower_limit(worker)
        elif event.outcome is Outcome.TIMED_OUT and worker.life > attempt.sent_at and not attempt.streaming:
            self._learn_wait(worker, event.latency, now, attempt.queue_wait)  # slow; it has answered others
        elif event.outcome not in (Outcome.CANCELED, Outcome.NOT_SENT):
            stalled = attempt.streaming and event.outcome is Outcome.TIMED_OUT
            if self.health.attempt_failed(worker, now):  # attempts at an unreachable server make no progress
                self._eject(worker, now, silent=stalled or event.outcome is Outcome.UNREACHABLE)
            if event.outcome in (Outcome.UNREACHABLE, Outcome.TIMED_OUT) and not attempt.streaming:
                self.zones.attempt_unanswered(worker.info.zone, worker.info.id, event.latency, now)
            if event.outcome is Outcome.TIMED_OUT and not attempt.streaming:
                self._gossip_wait(worker, event.latency - attempt.queue_wait, now)
            if event.outcome is Outcome.FAILED and (data := self.gossip.failure_message(worker.info.id, now)):
                self.actions.append(Tell(data))
        if event.outcome is Outcome.CANCELED and not attempt.streaming:  # the wait was cut short
            self._learn_wait(
                worker, max(event.latency, self.waits.of_server(worker, now)), now, attempt.queue_wait
            )
        if event.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT):  # those have reached no server
            request.state_since = now
        request.done = request.done or event.closed
        if request.done:
            self._drop(request)
        elif event.outcome is not Outcome.OK and not request.in_flight:
            self._send_next(request, now)

    def _read_ended(self, request: Request, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        """Learn from a finished read: the pace, the wait, the backlog and how much the server had cached."""
        worker = attempt.server
        fresh = max(0.0, request.event.prompt_tokens - event.note)
        self.paces.learn(worker.role, fresh, event.latency)
        self.mean_prompt_tokens += SLOW_GAIN * (request.event.prompt_tokens - self.mean_prompt_tokens)
        self.mean_fresh_tokens += SLOW_GAIN * (fresh - self.mean_fresh_tokens)
        self._learn_wait(
            worker, max(0.0, event.latency - fresh * self.paces.by_role[worker.role]), now, attempt.queue_wait
        )
        expected = attempt.queue_wait + fresh * self.paces.by_role[worker.role] * worker.backlog.slowdown(now)
        worker.backlog.read_ended(attempt.backlog_mark, event.latency, expected, now)
        expected_hits = (request.event.prompt_tokens - attempt.fresh_tokens) / worker.hit
        if expected_hits > 0:
            worker.hit += FAST_GAIN * (min(1.0, event.note / expected_hits) - worker.hit)  # falls on a flush
        request.state_reader = worker
        self._record_read(request, worker, now)

    def _learn_wait(self, worker: Worker, sample: float, now: float, expected: float = 0.0) -> None:
        self._gossip_wait(worker, self.waits.learn(worker, sample, now, expected), now)

    def _gossip_wait(self, worker: Worker, wait: float, now: float) -> None:
        """Send a server's wait to the other routers if it is an outlier of its role."""
        if self.waits.is_outlier(worker, wait, now) and (
            data := self.gossip.slow_message(worker.info.id, wait, now)
        ):
            self.actions.append(Tell(data))

    def _record_read(self, request: Request, worker: Worker, now: float) -> None:
        """Remember which server now has the session's prompt and the prefix cached."""
        session = self.sessions.pop(request.event.session, None) or Session()
        session.reader, session.prompt, session.at = worker.info.id, request.event.prompt_tokens, now
        self.sessions[request.event.session] = session
        self.prefix_cache.record_use(
            worker.info.id, short_tag(request.event.prefix) if request.event.prefix else NO_PREFIX, now
        )

    def _answered(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from a finished answer: the stream time, the server's drag and the session's service time."""
        time = max(0.0, event.latency - attempt.ttft)
        if attempt.fresh_tokens:  # the cached tokens, also of other routers' turns, are known only now
            self.paces.learn(
                attempt.server.role, max(0.0, request.event.prompt_tokens - event.note), attempt.ttft
            )
        mean = self.mean_stream_time[request.event.cls]
        self.mean_stream_time[request.event.cls] = mean = mean + SLOW_GAIN * (time - mean) if mean else time
        attempt.server.drag += SLOW_GAIN * (min(DRAG_MAX, time / max(mean, 1e-3)) - attempt.server.drag)
        time = min(time, self.settings.classes[request.event.cls].token_aim * request.event.max_tokens)
        read = sum(one.fresh_tokens for one in request.attempts if one.outcome in (Outcome.READ, Outcome.OK))
        if session := self.sessions.get(request.event.session):
            session.cst += time + read * self.paces.by_role[Role.READER]

    def _probe_ended(self, event: interface.ProbeEnded, now: float) -> None:
        """Record the load that a probe brought, or eject a server whose probes are lost."""
        if (worker := self.workers.get(event.server)) is None:
            return
        silent = self.health.probe_ended(worker, event.ok, now)
        if event.ok:
            self._record_load(worker, event.load, now)
        elif silent:
            self._eject(worker, now, silent=True)

    def _record_load(self, worker: Worker, load: interface.Load | None, now: float) -> None:
        if load is not None:
            worker.load, worker.load_at = load, now
            worker.streams_at_load, worker.sends_since_load = worker.streams, 0
            if worker.role is Role.READER and self.queues_reported:
                wait = self._queued(worker) * self.paces.by_role[worker.role]
                self.waits.learn_of_role(worker.role, wait, now)

    def _queued(self, worker: Worker) -> float:
        """Fresh tokens reported to be queued: a share of the backlog, as that includes cached ones."""
        if worker.load is None:
            return 0.0
        share = self.mean_fresh_tokens / max(self.mean_prompt_tokens, self.mean_fresh_tokens, 1.0)
        return max(
            (worker.load.backlog_tokens or 0.0) * share, (worker.load.queued or 0.0) * self.mean_fresh_tokens
        )

    def _eject(self, worker: Worker, now: float, silent: bool) -> None:
        """Eject a server; if silent, cancel its attempts without a first token and move some streams."""
        if not self.health.eject(worker, self._peers(worker), now):
            return
        self.actions.append(Log(f"eject {worker.info.id} {'silent' if silent else 'failing'} at {now:.1f}"))
        if not silent:  # at a silent server, attempts would run into timeouts, and streams make no progress
            return
        moves = max(1, int(MOVED_SHARE * sum(self.room.streams.values()))) if self.settings.may_resume else 0
        for request in list(self.requests.values()):
            for number, attempt in enumerate(request.attempts):
                if attempt.server is worker and attempt.live and attempt.streaming and moves > 0:
                    moves -= 1
                    self.actions.append(interface.MoveStream(request.event.id))
                elif (
                    attempt.server is worker
                    and attempt.live
                    and not attempt.streaming
                    and self.settings.may_cancel
                    and (attempt.read_only or self.settings.classes[request.event.cls].effect is Effect.SAFE)
                ):
                    self.actions.append(interface.CancelAttempt(request.event.id, number))

    def _usable(self, worker: Worker, now: float, request: Request | None = None) -> bool:
        """Whether a server may be used; a cold one only within its budget, if `request` is given."""
        if worker.known_usable:
            return True
        if not self.health.usable(worker, now):
            return False
        if not self.slow_start.is_cold(worker, now):
            worker.known_usable = not worker.trial
            return True
        return request is None or self.slow_start.has_budget(worker, self._peers(worker), now)

    def _peers(self, worker: Worker) -> list[Worker]:
        return self.fleet.running[worker.role]

    def pool(self, role: Role, now: float, request: Request | None = None) -> list[Worker]:
        """A role's usable servers; for a request only untried ones, for an unsafe one no suspect ones."""
        pool = self.fleet.running[role]
        if request is not None and request.attempts:
            tried = [attempt.server for attempt in request.attempts]
            pool = [worker for worker in pool if worker not in tried]
        pool = [worker for worker in pool if worker.known_usable or self._usable(worker, now, request)]
        if unreachable := self.zones.unreachable(now):
            pool = [worker for worker in pool if worker.info.zone not in unreachable] or pool
        if request is not None and self.settings.classes[request.event.cls].effect is Effect.UNSAFE:
            return self.health.without_suspects(pool, now) or pool
        return pool

    def _work_weight(self, request: Request) -> float:
        """A send's work as a multiple of the mean over classes, at least 1."""
        seen = [tokens for tokens in self.mean_class_tokens if tokens > 0]
        return max(1.0, self.mean_class_tokens[request.event.cls] * len(seen) / sum(seen)) if seen else 1.0

    def _room(self, role: Role, now: float) -> float:
        return self.room.smoothed(role, self.pool(role, now), now)

    def _admit_held(self, now: float) -> None:
        """Admit held requests while `free` has room for them: True = at mixed servers, False = at writers."""
        if not self.queue.count:
            return self.queue.compact()
        free = {True: self._room(Role.MIXED, now), False: self._room(Role.WRITER, now) - self.reads_in_flight}
        self.room.mark_smoothed(now)
        # Reads slow the answers of mixed servers, so all routers' reads are limited to a share of their time.
        mixed_servers = self.fleet.by_role[Role.MIXED]
        reads = self.read_load[Role.MIXED].decayed(now, WORK_RATE_TIME_CONSTANT_S) * self.settings.instances
        if mixed_servers and self.waits.uses_backlog(mixed_servers[0]):
            reads = sum(worker.backlog.read_share(now) for worker in mixed_servers)
        busy = reads / max(1, self.topology.running[Role.MIXED])
        free[True] *= max(0.0, 1 - busy / MIXED_READ_SHARE)
        idle = not self.attempts_in_flight
        # The threshold is random, as room for less than one stream at each of many routers would stay unused.
        while self.queue.count and (idle or max(free.values()) >= self.admission_threshold):
            self.admission_threshold = self.random.random()
            mixed = self._dispatch(self.queue.pop(now), free, now)
            if mixed is not None:
                free[mixed] -= 1
                idle = False

    def _dispatch(self, request: Request, free: dict[bool, float], now: float) -> bool | None:
        """Send a request to a reader or a mixed server; returns whether mixed, or None if it is rejected."""
        room, last = {kind: max(0.0, free[kind]) for kind in free}, self._last_reader(request)
        mixed_first = self.random.random() * (room[True] + room[False]) < room[True]
        if last is not None and room[last.role is Role.MIXED] > 0:
            mixed_first = last.role is Role.MIXED
        choices = []
        for mixed in (mixed_first, not mixed_first) if room[not mixed_first] > 0 else (mixed_first,):
            worker, share = self._reader(request, mixed, request.first_token_due, now)
            choices += [(share, worker)] if worker is not None else []
            if share <= ACCEPT_SHARE:
                break
        if not choices:
            self.paces.lower_if_uncertain()
            self._reject(request, "no reader in time")
            return None
        worker = min(choices, key=lambda choice: choice[0])[1]
        self._send(request, worker, now, read=worker.role is Role.READER)
        return worker.role is Role.MIXED

    def _last_reader(self, request: Request) -> Worker | None:
        session = self.sessions.get(request.event.session)
        return self.workers.get(session.reader) if session and session.reader is not None else None

    def _fresh_tokens(self, request: Request, worker: Worker) -> float:
        """The prompt's tokens that a server does not have cached and would have to read."""
        return self._fresh_at_each(request, (worker,))[0]

    def _fresh_at_each(self, request: Request, pool: Sequence[Worker]) -> list[float]:
        session, prompt = self.sessions.get(request.event.session), request.event.prompt_tokens
        last = session.reader if session is not None else None
        tag, uses = self.prefix_cache.tag_of(request.event.prefix), self.prefix_cache.uses
        fresh = []
        for worker in pool:
            number, cached = worker.info.id, 0.0
            if session is not None and number == last:
                cached = min(session.prompt, prompt)
            elif tag is not None and (number, tag) in uses:
                cached = request.event.prefix_tokens
            fresh.append(max(0.0, prompt - cached * worker.hit))
        return fresh

    def _expected_read_time(self, worker: Worker, fresh: float, now: float) -> float:
        """Seconds until a server has read its queue (as sent, observed or reported) and so many tokens."""
        pace = self.paces.by_role[worker.role]
        own = sum(attempt.fresh_tokens for attempt in worker.pending) * pace
        age = worker.longest_wait(now) - (worker.pending[0].fresh_tokens * pace if worker.pending else 0.0)
        wait = max(own, age, self.waits.of_server(worker, now))
        if self.waits.uses_backlog(worker):
            pace *= worker.backlog.slowdown(now)
        elif worker.load is not None and now - worker.load_at < REPORT_TTL_S:
            wait = max(wait, self._queued(worker) * pace * math.exp((worker.load_at - now) / WAIT_DECAY_S))
        return wait + fresh * pace

    def _reader(self, request: Request, mixed: bool, due: float, now: float) -> tuple[Worker | None, float]:
        """The reader for a turn, and the share of the time until `due` that its read is expected to take.

        The session's last reader, else its home, else the next in hash order, none with too many reads.
        Departure: if all take over ACCEPT_SHARE, the fastest of these, as others have nothing cached."""
        pool = self.pool(Role.MIXED if mixed else Role.READER, now, request)
        if mixed:  # a home must not take reads beyond its room, which would slow all its answers
            pool = self.room.with_room(pool, now) or pool
        if not pool:
            return None, math.inf
        by_backlog = self.waits.uses_backlog(pool[0]) and self.waits.sends_rarely(
            self.topology.running[Role.READER] + self.topology.running[Role.MIXED]
        )
        pool = self._candidates(request, pool, BACKLOG_SPARE_HOMES if by_backlog else SPARE_HOMES, now)
        fetch = 0.0 if mixed else self.waits.of_role(Role.WRITER, now)
        aim_share = BACKLOG_AIM_SHARE if by_backlog else AIM_SHARE
        left = (min((due - now) * aim_share, request.deadline - now) - fetch) * (
            1 - OVER_QUOTA_CUT * request.over_quota
        )
        fresh = self._fresh_at_each(request, pool)
        expected = [self._expected_read_time(w, tokens, now) for w, tokens in zip(pool, fresh, strict=True)]
        # The share is for the uncertain wait only; applied to reads too, it would refuse long prompts first.
        pace = self.paces.by_role[pool[0].role]
        reads = [tokens * pace * w.backlog.slowdown(now) for w, tokens in zip(pool, fresh, strict=True)]
        in_time = [n for n, wait in enumerate(expected) if wait - reads[n] * (1 - aim_share) <= left]
        if by_backlog:  # departure: the lowest cost, as the backlogs that all routers share are reliable
            cost = {n: expected[n] + READ_COST_WEIGHT * reads[n] for n in in_time}
            best = min(in_time, key=cost.__getitem__, default=-1)
            return (pool[best], expected[best] / left) if in_time and left > 0 else (None, math.inf)
        loads = [worker.streams if mixed else worker.reads for worker in pool]
        bound = MAX_READS_FACTOR * max(1.0, median(loads))
        for worker, wait, load in zip(pool, expected, loads, strict=True):
            if wait <= ACCEPT_SHARE * left and load <= bound:
                return worker, wait / left if left > 0 else 0.0
        best = min(range(len(pool)), key=expected.__getitem__)
        usable = best in in_time and expected[best] > 0 and left > 0
        return (pool[best], expected[best] / left) if usable else (None, math.inf)

    def _candidates(self, request: Request, pool: list[Worker], spare: int, now: float) -> list[Worker]:
        """The session's last reader, then its prefix's homes and `spare` more, in hash order."""
        self._refresh_home_weights()
        last, usable = self._last_reader(request), {worker.info.id: worker for worker in pool}
        order = self.home_orders[pool[0].role].order(request.event.prefix or request.event.session)
        homes = self.popularity.home_count(request.event.prefix, len(pool), now)
        found = list(islice((usable[number] for number in order if number in usable), homes + spare))
        found[:homes] = sorted(
            found[:homes], key=lambda w: rendezvous_score(request.event.session, w.info.id), reverse=True
        )
        if last is not None and last.info.id in usable:
            found = [last, *(worker for worker in found if worker is not last)]
        return found

    def _draw_writers(self, request: Request, home: Worker | None, now: float) -> list[Worker]:
        """Two random writers for a state at `home`. Departure: from its cell, else its zone, as other links
        are slow and cost money; but only as often as the balance there (see Topology) allows, as near writers
        would fill up unnoticed where few waits are seen. All routers have equal balances: draws add up."""
        pool = self.pool(Role.WRITER, now, request) or self.pool(Role.MIXED, now, request)
        pool = self.room.with_room(pool, now) or pool
        if home is not None:
            self._refresh_home_weights()
            cell, zone = self.topology.cell_balance(home), self.topology.zone_balance(home)
            cell *= self.mean_reader_weight / self.home_orders[Role.READER].weights.get(home.info.id, 1.0)
            draw = self.random.random()
            in_zone = [worker for worker in pool if worker.info.zone == home.info.zone]
            if draw < cell:
                near = [worker for worker in in_zone if worker.info.cell == home.info.cell]
            elif draw < zone:
                near = [worker for worker in in_zone if worker.info.cell in self.topology.writer_heavy_cells]
            else:
                near = [worker for worker in pool if worker.info.zone in self.topology.writer_heavy_zones]
            pool = near or in_zone or pool
        return self.random.sample(pool, 2) if len(pool) > 1 else pool

    def _writer(self, request: Request, now: float) -> Worker | None:
        """Of two random writers the one with fewer streams of this router. Departure: if load is reported,
        they were drawn and probed as the read began, and free room decides, as one router has few streams."""
        tried = [attempt.server for attempt in request.attempts]
        two = [w for w in request.writer_pair if w not in tried and self._usable(w, now, request)]
        two = [worker for worker in two if not self.health.is_suspect(worker, now)]
        if len(self.room.with_room(two, now)) < 2:
            two = self._draw_writers(request, request.state_reader, now)
        if self.load_reported and all(self.room.of_server(worker, now) is not None for worker in two):
            return max(two, key=lambda worker: self.room.of_server(worker, now) or 0.0, default=None)
        return min(two, key=lambda worker: worker.streams * worker.drag, default=None)

    def _may_send(self, request: Request, worker: Worker, now: float) -> bool:
        """The repeat rule: attempts that may have run limit whether, and to where, a request may be sent."""
        if len(request.attempts) >= self.settings.max_attempts or request.in_flight:
            return False
        cls, ran = self.settings.classes[request.event.cls], request.possibly_run
        if cls.effect is Effect.SAFE or not ran:
            return True
        if cls.effect is Effect.UNSAFE or now - ran[0].sent_at > cls.dedup_window - REPEAT_TRANSIT_S:
            return False
        first = ran[0].server.info
        same = worker.info.zone == first.zone if cls.group is Group.ZONE else worker.info.cell == first.cell
        return cls.group is Group.ALL or same

    def _send(self, request: Request, worker: Worker, now: float, read: bool) -> None:
        """Send a request to a server and record the attempt; `read` = a read only, at a reader."""
        fetch = worker.role is Role.WRITER or (worker.role is Role.MIXED and request.state_reader is not None)
        fresh = 0.0 if fetch else self._fresh_tokens(request, worker)
        expected = self.waits.of_server(worker, now)
        if fresh or read:
            expected = self._expected_read_time(worker, self._fresh_tokens(request, worker), now)
        least, times = READ_TIMEOUT if read else WRITE_TIMEOUT
        timeout = min(least + times * expected, max(0.05, request.deadline - now))
        if request.attempts and request.attempts[-1].outcome is not Outcome.READ:
            self.retry_budget -= 1
        attempt = Attempt(worker, read, now, fresh, expected)
        if not fetch:
            work = fresh * self.paces.by_role[worker.role]
            attempt.queue_wait = worker.backlog.wait(now)
            attempt.backlog_mark = worker.backlog.add(work, now)
            if self.waits.uses_backlog(worker):
                data = self.gossip.read_message(
                    worker.info.id, work, request.event.prefix, self.random.random()
                )
                self.actions += [Tell(data)] if data else []
        request.attempts.append(attempt)
        worker.add_attempt(attempt)
        self.attempts_in_flight += 1
        self.reads_in_flight += read
        self.room.streams[worker.role] += not read
        attempt.work = self._work_weight(request)
        worker.cold_level -= attempt.work
        self.read_load[worker.role].add(
            fresh * self.paces.by_role[worker.role] / WORK_RATE_TIME_CONSTANT_S,
            now,
            WORK_RATE_TIME_CONSTANT_S,
        )
        if worker.role is Role.MIXED:
            self._record_read(request, worker, now)
        self.actions.append(interface.Send(request.event.id, worker.info.id, timeout))
        if read and self.load_reported:
            request.writer_pair = self._draw_writers(request, worker, now)
            for worker in self.probes.due_among(request.writer_pair, now):
                self._probe(worker, now)

    def _send_next(self, request: Request, now: float) -> None:
        """Go on with a request that has nothing in flight: hand its state over, read it (again) or end it."""
        after_read = request.attempts[-1].outcome is Outcome.READ
        if request.deadline - now < ANSWER_TIME_S or len(request.attempts) >= self.settings.max_attempts:
            return self._reject(
                request, "out of time" if request.deadline - now < ANSWER_TIME_S else "out of attempts"
            )
        if not after_read and self.retry_budget < 1:
            return self._reject(request, "retry budget spent")
        if request.state_reader is not None:
            worker = self._writer(request, now)
            may_wait = now - request.state_since <= STATE_HOLD_SHARE * self.settings.release_within
            if may_wait and worker is not None and self._may_send(request, worker, now):
                return self._send(request, worker, now, read=False)
            if may_wait and worker is None:
                return None  # the next tick tries again
            return self._reject(request, "no writer")
        mixed = request.attempts[-1].server.role is Role.MIXED
        for whole in (mixed, not mixed):  # whole = read and answer, both at a mixed server
            worker = self._reader(request, whole, request.deadline, now)[0]
            if worker is not None and self._may_send(request, worker, now):
                return self._send(request, worker, now, read=not whole)
        return self._reject(request, "no second reader")

    def _reject(self, request: Request, why: str, gave_way: bool = False) -> None:
        """End a request that is not served: refuse it if the client may safely try again, else fail it."""
        self.unserved_counts[why] = self.unserved_counts.get(why, 0) + 1
        if self._explain is not None:
            self._explain(request.event.id, why)
        self.leaving_share[request.tenant] *= 1 - UNSERVED_GAIN  # else, while all are refused, it would stay
        cls = self.settings.classes[request.event.cls]
        if (
            not request.possibly_run
            or cls.effect is Effect.SAFE
            or (cls.effect, cls.group) == (Effect.KEYED, Group.ALL)
        ):
            after = min(self.random.uniform(*RETRY_AFTER_S), self.settings.max_retry_after)
            if self.level.name:  # spread below the longest advice that clients follow, later at worse levels
                least, most = self.level.retry_after
                after = self.random.uniform(least / most, 1.0) * min(most, self.settings.max_retry_after)
            self.actions.append(
                interface.Refuse(request.event.id, after if self.settings.retry_advice else 0.0, gave_way)
            )
        else:
            self.actions.append(interface.Fail(request.event.id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """The client has its answer or has left: cancel attempts that have not begun to stream."""
        request.done = True
        self.queue.remove(request)
        if self.settings.may_cancel:
            waiting = [n for n, a in enumerate(request.attempts) if a.live and not a.streaming]
            self.actions += [interface.CancelAttempt(request.event.id, n) for n in waiting]
        self._drop(request)

    def _drop(self, request: Request) -> None:
        """Release the state of a request and forget it, once none of its attempts is in flight."""
        if not request.in_flight:
            if request.state_reader is not None:
                self.actions.append(interface.ReleaseState(request.event.id))
                request.state_reader = None
            self.requests.pop(request.event.id, None)

    def _find_attempt(self, request_id: str, n: int) -> tuple[Request | None, Attempt | None]:
        found = self.requests.get(request_id)
        return found, found.attempts[n] if found is not None and 0 <= n < len(found.attempts) else None

    def _set_timer(self) -> None:
        self.timer_token += 1
        self.actions.append(interface.SetTimer(TICK_S, self.timer_token))

    def _timer_fired(self, event: interface.TimerFired, now: float) -> None:
        """The periodic work: subscribing again, requests that run out of time, expiry, checks, the log."""
        if event.token != self.timer_token:
            return
        self._set_timer()
        if now >= self.resubscribe_at:
            self.resubscribe_at = math.inf
            self.actions.append(interface.Subscribe())
        fetch = self.waits.of_role(Role.WRITER, now)
        for request in list(self.requests.values()):
            if request.held:
                if now + fetch > min(request.first_token_due, request.deadline) - ANSWER_TIME_S:
                    self._reject(request, "no room in time")
            elif not request.done and not request.in_flight:
                self._send_next(request, now)
        drop_unused(self.sessions, now - IDLE_LIMIT_S, MAX_SESSIONS)
        self.prefix_cache.expire(now - IDLE_LIMIT_S)
        self.popularity.expire(now)
        self._forget_gone(now)
        if self.timer_token % CHECK_TICKS == 0:
            self._check_silent(now)
        if self.unserved_counts and now - self.logged_at >= LOG_INTERVAL_S:
            self.actions.append(Log("; ".join(f"{why}: {n}" for why, n in self.unserved_counts.items())))
            self.unserved_counts, self.logged_at = {}, now

    def _forget_gone(self, now: float) -> None:
        """Forget servers that are gone for good, so that tables don't grow with ids that never come again."""
        for number in self.fleet.remove_gone(now - interface.FORGET_AFTER):
            self.gossip.remove_server(number)
        self.queue.compact()

    def _check_silent(self, now: float) -> None:
        """Eject writers that are silent, though they may answer probes, and send the probes that are due."""
        for w in self.fleet.by_role[Role.WRITER]:
            if w.pending and self.health.is_silent(w, now) and self.health.exceeds_silence_limit(w, now):
                self._eject(w, now, silent=True)
        for worker in self.probes.due(self.workers.values(), self.random, now):
            self._probe(worker, now)

    def _probe(self, worker: Worker, now: float) -> None:
        if self.probes.may_probe(worker):
            worker.probe_in_flight, worker.probed_at = True, now
            self.actions.append(interface.Probe(worker.info.id))
