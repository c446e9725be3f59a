"""What a send weighs at a server, by the rule on cold ones."""

from __future__ import annotations

from dataclasses import dataclass, field

from hopshed.interface import Role

from .engines import Engine, Job


def whole_work(engine: Engine, job: Job) -> float:
    """s of a warm server's whole time that an attempt takes."""
    read = 0.0 if engine.role is Role.WRITER else job.prompt / engine.read_rate
    if engine.role is Role.READER:
        return read
    most = min(engine.slots, engine.memory / (job.prompt + job.answer))
    return read + job.answer * (engine.token_time + engine.slot_time * most) / max(1.0, most)


@dataclass(slots=True)
class Costs:
    """Mean work by class and role, over all that was sent so far."""

    _booked: dict[tuple[int, Role], tuple[float, int]] = field(default_factory=dict)

    def mean(self, cls: int, role: Role, work: float) -> tuple[float, float]:
        """What a send counts for at a cold server: the mean work of its class there, as the bench's rule says
        (BENCH, 'This kind of system'); and the mean work over all classes. This one's is booked first."""
        whole, count = self._booked.get((cls, role), (0.0, 0))
        self._booked[cls, role] = whole + work, count + 1
        every = [booked for (_, where), booked in self._booked.items() if where is role]
        mean = sum(one for one, _ in every) / sum(number for _, number in every)
        return (whole + work) / (count + 1), mean
