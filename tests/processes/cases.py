"""A stage of real router processes that serve clients, and the rules that are checked over all of them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from hopshed.interface import Role
from yewlab.processes.operate import Operators, Play, Waits
from yewlab.processes.stage import FLEET, Stage

MOST = 120.0  # s for one case, on a machine that is busy


class Case:
    """A stage of routers that serve clients, and a script that is played on it."""

    def __init__(
        self,
        folder: Path,
        routers: int,
        rate: float,
        fleet: tuple[Role, ...] = FLEET,
        let_go_ms: float = 1000.0,
        entries: int = 1,
        **contract: float,
    ) -> None:
        figures = {name.replace("_", "-"): value for name, value in contract.items()}
        extra = {"let-go-by-ms": let_go_ms}
        self.stage = Stage(
            folder, routers, seed=11, rate=rate, fleet=fleet, contract=figures, extra=extra, entries=entries
        )
        self.loop, self.operators = self.stage.loop, Operators(self.stage)

    def play(self, script: Callable[[], Waits]) -> None:
        clients = self.stage.clients

        def whole() -> Waits:
            for instance in self.stage.instances:
                instance.start()
            yield lambda: all(way.healthy for way in clients.ways)
            clients.begin()
            yield 1.0
            yield from script()
            clients.stopped = True
            yield lambda: not clients.open

        self.operators.begin()
        done, tally = Play(self.loop).whole(self.stage, whole(), MOST), clients.tally
        ready = sum(way.healthy for way in clients.ways)
        assert done, (ready, clients.open, tally.requests)
        assert self.stage.rules.broken == []
        assert tally.requests == tally.answered_once > 0 and not tally.lost_with_process
        for instance in self.stage.instances:
            for process in instance.processes:
                assert not process.said("turn failed") and not process.said("handler failed")
