"""A stage of real router processes that serve clients, and the rules that are checked over all of them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from hopshed.interface import Role
from yewlab.processes.operate import Operators, Script, ScriptRunner
from yewlab.processes.testbed import DEFAULT_ROLES, ProcessTestBed

MOST = 120.0  # s for one case, on a machine that is busy


class Case:
    """A stage of routers that serve clients, and a script that is played on it."""

    def __init__(
        self,
        folder: Path,
        routers: int,
        rate: float,
        roles: tuple[Role, ...] = DEFAULT_ROLES,
        let_go_ms: float = 1000.0,
        entries: int = 1,
        **contract: float,
    ) -> None:
        figures = {name.replace("_", "-"): value for name, value in contract.items()}
        extra = {"let-go-by-ms": let_go_ms}
        self.test_bed = ProcessTestBed(
            folder,
            routers,
            seed=11,
            rate=rate,
            roles=roles,
            contract=figures,
            extra=extra,
            entries_per_worker=entries,
        )
        self.loop, self.operators = self.test_bed.loop, Operators(self.test_bed)

    def play(self, script: Callable[[], Script]) -> None:
        clients = self.test_bed.clients

        def whole() -> Script:
            for instance in self.test_bed.instances:
                instance.start_process()
            yield lambda: all(way.healthy for way in clients.routes)
            clients.start()
            yield 1.0
            yield from script()
            clients.stopped = True
            yield lambda: not clients.open_requests

        self.operators.start_clock()
        done, tally = ScriptRunner(self.loop).run(self.test_bed, whole(), MOST), clients.tally
        ready = sum(way.healthy for way in clients.routes)
        assert done, (ready, clients.open_requests, tally.requests)
        assert self.test_bed.rules.broken == []
        assert tally.requests == tally.answered_once > 0 and not tally.lost_with_process
        for instance in self.test_bed.instances:
            for process in instance.processes:
                assert not process.count_log_lines("turn failed") and not process.count_log_lines(
                    "handler failed"
                )
