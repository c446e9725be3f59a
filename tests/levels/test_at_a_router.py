"""Levels at one real router on loopback, against stand-in workers: down, said so, and up again."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from test_platform import FLEET, Platform, begin

from hopshed import interface as i
from yewhook.config import ConfigError
from yewhook.core.router import Router
from yewhook.front import RouterFront
from yewhook.levels.level import Level
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.log import Log, LogFormat
from yewhook.service_level_admin import ServiceLevelAdmin
from yewhook.service_settings import ServiceSettings

QUICK = ServiceLevelSettings(mode=Mode.ON, confirm=0.5, least_stay=1.0, leave_after=2.0, leave_spread=0.0)


class Overseen(Platform):
    """A platform router with levels."""

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(FLEET)
        self.settings = settings
        fronts: list[RouterFront] = [self.front]
        self.level_admin = ServiceLevelAdmin(
            self.service.loop, self.log, self.config.limits, fronts, settings, self.read
        )
        self.service.reloaders.append(self.level_admin.reload)

    def read(self) -> ServiceSettings:
        if self.settings.levels.target == 0.5:
            raise ConfigError("service.toml: levels.target: a mistake")
        return self.settings

    @property
    def level(self) -> str:
        return str(self.level_admin.report()["levels"]["platform"]["level"])

    def said(self, text: str) -> bool:
        return any(text in line for line in self.log.lines)


@pytest.fixture
def p() -> Iterator[Overseen]:
    overseen = Overseen(ServiceSettings(levels=QUICK))
    yield overseen
    overseen.end()


def test_it_steps_down_says_so_and_steps_up_and_each_request_gets_one_answer(p: Overseen) -> None:
    p.play(begin()).play("writer send stream\nwriter send event text=one\nclient expect one")
    assert p.level == "full"
    # The only writer drains: nothing that comes now can be served.
    p.play("discovery expect GET /v1/servers\ndiscovery send watch")
    p.play("discovery send list name=writer state=draining\nwait 1.5")
    assert p.level == "last-resort"
    assert p.said("service level: full to last-resort: missing 1.00 reached 0.95")
    p.play("late send ask id=r2\nlate expect HTTP/1.1 503\nlate expect Retry-After: 0.")
    assert p.parties["reader"].heard.count("POST /v1/chat") == 1  # it was not read for nothing
    # What was under way is finished.
    p.play("writer send last\nwait 0.1")
    assert p.parties["client"].heard.endswith("0\r\n\r\n")
    p.play("discovery send list name=writer state=up generation=3\nwait 14")
    assert p.level == "full"
    assert p.said("service level: last-resort to essential: calm") and p.said("guarded to full: calm")
    p.play("again send ask id=r3\nreader expect POST /v1/chat/completions")


def test_a_new_file_is_put_in_force_whole_or_not_at_all(p: Overseen) -> None:
    p.settings = ServiceSettings(levels=replace(QUICK, target=0.5))
    p.service.reload()
    assert p.said("reload refused: service.toml: levels.target")
    assert p.front.levels is not None and p.front.levels.levels.target == QUICK.target
    p.settings = ServiceSettings(levels=replace(QUICK, target=0.7))
    p.service.reload()
    assert p.said("reloaded: the operators' settings are in force")
    assert p.front.levels.levels.target == 0.7
    p.settings = ServiceSettings()
    p.service.reload()
    p.play("wait 0.1")
    assert p.front.levels is None and p.level_admin.report()["levels"] == {"platform": None}
    p.settings = ServiceSettings(levels=QUICK)
    p.service.reload()
    p.play("wait 0.5")
    assert p.level == "full"  # it knows the fleet that was listed before


def test_a_pin_holds_a_level_and_ends_by_itself(p: Overseen) -> None:
    p.level_admin.pin(Level.LAST_RESORT, 3.0, "drill")
    p.play("wait 0.5")
    assert p.level == "last-resort" and p.said("level pinned: last-resort for 3 s: drill")
    pin = p.level_admin.report()["levels"]["platform"]["pin"]
    assert pin["reason"] == "drill" and 2.0 < pin["for_s"] < 3.0
    p.play("wait 13")
    assert p.level == "full" and p.said("pin ended")


def test_a_level_that_cannot_be_judged_leaves_the_router_at_full_service(
    p: Overseen, monkeypatch: pytest.MonkeyPatch
) -> None:
    p.level_admin.pin(Level.LAST_RESORT, 60.0, "drill")
    p.play("wait 0.5")
    monkeypatch.setattr("yewhook.levels.governor.Governor._judge", lambda *_: 1 / 0)
    p.play("wait 0.5")
    assert p.said("levels failed: ") and not p.said("turn failed")
    assert p.level_admin.report()["levels"] == {"platform": None}  # it told of the level of a dead judge
    p.play(begin("id=r7")).play("writer send stream\nwriter send event text=one\nclient expect one")


def test_without_levels_nothing_is_judged_and_nothing_told(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Overseen(ServiceSettings())
    try:
        assert plain.front.levels is None and plain.front.router.governor is None
        heard: list[i.Event] = []
        module = plain.front.router._module
        handle = module.handle

        def listen(now: float, events: list[i.Event]) -> list[i.Action]:
            heard.extend(events)
            return handle(now, events)

        monkeypatch.setattr(module, "handle", listen)
        plain.play(begin()).play("wait 0.2")
        assert not any(isinstance(event, i.ServiceLevel) for event in heard)
        assert {event.admit for event in heard if isinstance(event, i.RequestArrived)} == {1.0}
    finally:
        plain.end()


def test_the_clients_repeat_is_told_apart_on_the_platform(
    p: Overseen, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: list[tuple[bool, bool]] = []
    accept = Router.accept

    def look(self: Router, arrived: i.RequestArrived, *rest: object) -> bool:
        seen.append((arrived.repeat, arrived.resumed))
        return accept(self, arrived, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Router, "accept", look)
    for name, words in (("a", ""), ("b", "X_Resent=1"), ("c", "X_Resent=again")):
        p.play(f"{name} send ask id={name} {words}\nwait 0.05")
    assert seen == [(False, False), (True, False), (False, True)]


def test_levels_know_no_wire() -> None:
    folder = Path(__file__).parents[2] / "yewhook" / "levels"
    wires = {
        "socket",
        "selectors",
        "ssl",
        "http",
        "json",
        "httptools",
        "dns",
        "struct",
        "os",
        "time",
        "pathlib",
    }
    for path in folder.glob("*.py"):
        words = {
            line.split()[1].partition(".")[0] for line in path.read_text().splitlines()
            if line.startswith(("import ", "from "))
        }  # fmt: skip
        assert not words & wires, path


def test_log_lines_can_be_json_with_their_figures(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n1", LogFormat.JSON)
    log("service level", "full to guarded: load 1.04", before="full", after="guarded", value=1.04)
    for _ in range(12):
        log("accept failed", "why")
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert lines[0]["event"] == "service level" and lines[0]["router"] == "n1"
    assert (lines[0]["before"], lines[0]["value"], lines[0]["detail"][:4]) == ("full", 1.04, "full")
    assert "timestamp" in lines[0] and len(lines) == 11
