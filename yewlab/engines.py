"""Simulated servers: how long reads and streams take, what is cached and what is rejected.

A reader reads one prompt at a time. A writer streams many answers at once, each more slowly the more there
are, and holds their contexts in a memory of fixed size. A mixed server does both, and its streams are slower
while it reads. Capacity may change while jobs are in progress: progress is recorded up to the change, and the
rest continues at the new pace.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hopshed.interface import Load, Role
from yewhook.deadlines import Deadline

from .simulation import Clock

REPORT_INTERVAL_S = 1.0  # a load report is at most this old
STREAM_PACE_WHILE_READING = 0.5  # factor on the pace of a mixed server's streams
FETCH_TOKENS_PER_S = 300_000.0  # at which a writer fetches the state that a reader holds


@dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of one kind of server when it is warm."""

    role: Role
    read_rate: float = 15_000.0  # tokens per second
    slots: int = 64  # streams at once
    queue: int = 24  # most requests that wait: for a read at a reader, for a slot elsewhere
    memory: float = 70_000.0  # tokens
    token_interval: float = 0.02  # seconds between tokens of a lone stream
    added_interval: float = 0.0012  # seconds added for each further stream
    cached_texts: int = 400  # entries of the prompt cache


@dataclass(slots=True)
class Job:
    """One attempt at a server; lengths are in tokens."""

    request_id: str
    session: str
    prefix: str | None
    prefix_tokens: float
    prompt: float
    answer: float
    done: Callable[[Job, str], None]  # called with "read", "first" (event of the stream) and "served"
    remaining: float = 0.0  # of the read or stream in progress
    fresh: float = 0.0  # prompt tokens that are not cached and must be read
    reserved: float = 0.0  # memory


@dataclass(slots=True)
class JobBatch:
    """Jobs that progress at a common pace; `pace` maps their number to tokens per second each."""

    clock: Clock
    pace: Callable[[int], float]
    on_finished: Callable[[Job], None]
    jobs: list[Job] = field(default_factory=list)
    recorded_at: float = 0.0  # time up to which progress is recorded
    rate: float = 0.0  # tokens per second of each job since then
    next_end: Deadline | None = None

    def record_progress(self) -> None:
        """Record the progress up to now, at the pace that applied until now."""
        progress = (self.clock.now - self.recorded_at) * self.rate
        self.recorded_at = self.clock.now
        for job in self.jobs:
            job.remaining -= progress

    def schedule(self) -> None:
        """Continue at the current pace and set the timer for the next job that ends."""
        self.clock.cancel(self.next_end)
        self.next_end = None
        self.rate = self.pace(len(self.jobs)) if self.jobs else 0.0
        if self.jobs and self.rate > 0:
            least = min(job.remaining for job in self.jobs)
            self.next_end = self.clock.after(max(0.0, least) / self.rate, self._finish_due)

    def _finish_due(self) -> None:
        self.next_end = None
        self.record_progress()
        ended = [job for job in self.jobs if job.remaining <= 1e-6 + self.rate * 1e-6]
        self.jobs = [job for job in self.jobs if job not in ended]
        for job in ended:
            self.on_finished(job)
        self.schedule()


class PromptCache:
    """Texts that need not be read again, by session and by prefix; the least recently added is evicted."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._texts: OrderedDict[str, float] = OrderedDict()

    def cached_tokens(self, job: Job) -> float:
        """How much of a job's prompt is cached, in tokens."""
        session = self._texts.get("s:" + job.session, 0.0)
        prefix = self._texts.get(f"p:{job.prefix}", 0.0) if job.prefix else 0.0
        return min(job.prompt, max(session, prefix))

    def add(self, job: Job) -> None:
        """Cache a job's prompt and prefix."""
        texts = [("s:" + job.session, job.prompt)]
        if job.prefix:
            texts.append((f"p:{job.prefix}", job.prefix_tokens))
        for key, tokens in texts:
            self._texts.pop(key, None)
            self._texts[key] = tokens
        while len(self._texts) > self._capacity:
            self._texts.popitem(last=False)


class Server:
    """One process of a server: its queues and jobs, and its pace, which an experiment can change."""

    def __init__(self, clock: Clock, engine: Engine) -> None:
        self.clock, self.engine = clock, engine
        self.speed = 1.0  # factor on the capacity; below 1 for a slow machine
        self.started = -1e9
        self.cold_from, self.cold_time = 1.0, 0.0  # capacity at the start, seconds until it is 1
        self.prompt_cache = PromptCache(engine.cached_texts)
        self.reserved = 0.0  # memory, in tokens
        self._read_queue: deque[Job] = deque()
        self._stream_queue: deque[Job] = deque()  # jobs that wait for a slot and memory
        self._reading = JobBatch(clock, lambda n: self.engine.read_rate * self.capacity, self._finish_read)
        self._streams = JobBatch(clock, self._stream_pace, self._finish_stream)
        self._report_at, self._report = -1.0, Load()
        self._fetches: dict[str, Deadline] = {}

    @property
    def capacity(self) -> float:
        """The current capacity as a fraction of the warm engine's."""
        if self.cold_time <= 0:
            return self.speed
        warm = min(1.0, (self.clock.now - self.started) / self.cold_time)
        return self.speed * (self.cold_from + (1.0 - self.cold_from) * warm)

    def _stream_pace(self, count: int) -> float:
        reading = STREAM_PACE_WHILE_READING if self._reading.jobs else 1.0
        return (
            self.capacity
            * reading
            / (self.engine.token_interval + self.engine.added_interval * max(0, count - 1))
        )

    def set_speed(self, speed: float) -> None:
        """Change the factor on the capacity; jobs in progress continue at the new pace."""
        self._record_progress()
        self.speed = speed
        self._schedule()

    def replan(self) -> None:
        """Continue all jobs at the current pace, after the capacity has changed."""
        self._record_progress()
        self._schedule()

    def _record_progress(self) -> None:
        """Record the progress of reads and streams: reads slow streams, so a change to one affects both."""
        self._reading.record_progress()
        self._streams.record_progress()

    def _schedule(self) -> None:
        self._reading.schedule()
        self._streams.schedule()

    def load(self) -> Load:
        """The latest load report, at most REPORT_INTERVAL_S old."""
        if self.clock.now - self._report_at >= REPORT_INTERVAL_S:
            self._report_at = self.clock.now
            unread = sum(job.remaining for job in self._reading.jobs) + sum(
                job.fresh for job in self._read_queue
            )
            share = self.reserved / self.engine.memory
            self._report = Load(memory_share=min(1.0, share), backlog_tokens=unread)
        return self._report

    # ---- jobs ----

    def take(self, job: Job, reads: bool) -> bool:
        """Queue a job, for a read first or for a slot at once; returns whether the queue had room."""
        if len(self._read_queue if reads else self._stream_queue) >= self.engine.queue:
            return False
        if reads:
            job.fresh = job.prompt - self.prompt_cache.cached_tokens(job)
            self._read_queue.append(job)
            self._start_next_read()
        else:
            self._stream_queue.append(job)
            self._start_streams()
        return True

    def _start_next_read(self) -> None:
        if self._read_queue and not self._reading.jobs:
            job = self._read_queue.popleft()
            job.fresh = job.prompt - self.prompt_cache.cached_tokens(job)
            job.remaining = max(1.0, job.fresh)
            self._record_progress()
            self._reading.jobs.append(job)
            self._schedule()

    def _finish_read(self, job: Job) -> None:
        self.prompt_cache.add(job)
        if self.engine.role is Role.READER:
            job.done(job, "read")
        else:
            self._stream_queue.append(job)
        self._streams.record_progress()
        self._start_next_read()
        self._streams.schedule()
        self._start_streams()

    def _start_streams(self) -> None:
        """Give slots and memory to waiting jobs, in the order of the queue."""
        while self._stream_queue and len(self._streams.jobs) + len(self._fetches) < self.engine.slots:
            job = self._stream_queue[0]
            need = job.prompt + job.answer
            if self.reserved + need > self.engine.memory and self.reserved > 0:
                return
            self._stream_queue.popleft()
            job.reserved = need
            self.reserved += need
            delay = 0.0 if self.engine.role is Role.MIXED else job.prompt / FETCH_TOKENS_PER_S
            self._fetches[job.request_id] = self.clock.after(delay, lambda job=job: self._begin(job))  # type: ignore[misc]

    def _begin(self, job: Job) -> None:
        self._fetches.pop(job.request_id, None)
        self._streams.record_progress()
        job.remaining = max(1.0, job.answer)
        self._streams.jobs.append(job)
        self._streams.schedule()
        job.done(job, "first")

    def _finish_stream(self, job: Job) -> None:
        self.reserved -= job.reserved
        job.done(job, "served")
        self._start_streams()

    def drop(self, job: Job) -> None:
        """Remove a job whose attempt was canceled, wherever it is."""
        if job in self._read_queue:
            self._read_queue.remove(job)
        if job in self._stream_queue:
            self._stream_queue.remove(job)
        fetch = self._fetches.pop(job.request_id, None)
        if fetch is not None:
            self.clock.cancel(fetch)
            self.reserved -= job.reserved
        for batch in (self._reading, self._streams):
            if job in batch.jobs:
                self._record_progress()
                batch.jobs.remove(job)
                self.reserved -= job.reserved
        self._start_next_read()
        self._schedule()
        self._start_streams()
