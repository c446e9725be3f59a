"""The work of a request at a server, as counted by the rule against overloading cold servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from hopshed.interface import Role

from .engines import Engine, Job


def whole_work(engine: Engine, job: Job) -> float:
    """How long an attempt occupies a whole warm server, in seconds.

    A stream counts with its part of a server that streams as many such jobs as its slots and memory allow.
    """
    read_time = 0.0 if engine.role is Role.WRITER else job.prompt / engine.read_rate
    if engine.role is Role.READER:
        return read_time
    streams = min(engine.slots, engine.memory / (job.prompt + job.answer))
    return read_time + job.answer * (engine.token_interval + engine.added_interval * streams) / max(
        1.0, streams
    )


@dataclass(slots=True)
class Costs:
    """Mean work by class and role, over all attempts sent so far."""

    _sent: dict[tuple[int, Role], tuple[float, int]] = field(default_factory=dict)

    def mean(self, cls: int, role: Role, work: float) -> tuple[float, float]:
        """Add an attempt of `work` seconds; returns the mean work of its class and that of the role.

        At a cold server an attempt counts with the mean work of its class, as the benchmark's rule defines it
        (BENCH, 'This kind of system').
        """
        total, count = self._sent.get((cls, role), (0.0, 0))
        self._sent[cls, role] = total + work, count + 1
        by_class = [sent for (_, sent_to), sent in self._sent.items() if sent_to is role]
        mean = sum(class_total for class_total, _ in by_class) / sum(sent_count for _, sent_count in by_class)
        return (total + work) / (count + 1), mean
