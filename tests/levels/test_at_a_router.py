"""Levels of one real router on loopback with scripted workers: changes, log lines, pins and reloads."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from test_platform import FLEET, Platform, begin

from hopshed import interface
from yewhook.config import ConfigError
from yewhook.core.router import Router
from yewhook.front import RouterFront
from yewhook.levels.level import Level
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.log import Log, LogFormat
from yewhook.service_level_admin import ServiceLevelAdmin
from yewhook.service_settings import ServiceSettings

QUICK = ServiceLevelSettings(mode=Mode.ON, confirm=0.5, least_stay=1.0, leave_after=2.0, leave_spread=0.0)


class RouterWithLevels(Platform):
    """A platform router with the levels of service, and its settings."""

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(FLEET)
        self.settings = settings
        fronts: list[RouterFront] = [self.front]
        self.level_admin = ServiceLevelAdmin(
            self.service.loop, self.log, self.config.limits, fronts, settings, self.read_settings
        )
        self.service.reloaders.append(self.level_admin.reload)

    def read_settings(self) -> ServiceSettings:
        """What a reload reads; a target of 0.5 stands for an invalid file."""
        if self.settings.levels.target == 0.5:
            raise ConfigError("service.toml: levels.target: invalid")
        return self.settings

    @property
    def level(self) -> str:
        return str(self.level_admin.report()["levels"]["platform"]["level"])

    def logged(self, text: str) -> bool:
        return any(text in line for line in self.log.lines)


@pytest.fixture
def router() -> Iterator[RouterWithLevels]:
    router = RouterWithLevels(ServiceSettings(levels=QUICK))
    yield router
    router.end()


def test_a_router_degrades_logs_it_and_recovers_and_answers_each_request_once(
    router: RouterWithLevels,
) -> None:
    router.play(begin()).play("writer send stream\nwriter send event text=one\nclient expect one")
    assert router.level == "full"
    # The only writer drains, so no new request can be served.
    router.play("discovery expect GET /v1/servers\ndiscovery send watch")
    router.play("discovery send list name=writer state=draining\nwait 1.5")
    assert router.level == "last-resort"
    assert router.logged("service level: full to last-resort: missing 1.00 reached 0.95")
    router.play("late send ask id=r2\nlate expect HTTP/1.1 503\nlate expect Retry-After: 0.")
    # The refused request was not sent to the reader.
    assert router.parties["reader"].heard.count("POST /v1/chat") == 1
    # The request in progress is finished.
    router.play("writer send last\nwait 0.1")
    assert router.parties["client"].heard.endswith("0\r\n\r\n")
    router.play("discovery send list name=writer state=up generation=3\nwait 14")
    assert router.level == "full"
    assert router.logged("service level: last-resort to essential: calm") and router.logged(
        "guarded to full: calm"
    )
    router.play("again send ask id=r3\nreader expect POST /v1/chat/completions")


def test_new_settings_are_applied_in_full_or_not_at_all(router: RouterWithLevels) -> None:
    router.settings = ServiceSettings(levels=replace(QUICK, target=0.5))
    router.service.reload()
    assert router.logged("reload refused: service.toml: levels.target")
    assert router.front.levels is not None and router.front.levels.level_settings.target == QUICK.target
    router.settings = ServiceSettings(levels=replace(QUICK, target=0.7))
    router.service.reload()
    assert router.logged("reloaded: the operators' settings are in force")
    assert router.front.levels.level_settings.target == 0.7
    router.settings = ServiceSettings()
    router.service.reload()
    router.play("wait 0.1")
    assert router.front.levels is None and router.level_admin.report()["levels"] == {"platform": None}
    router.settings = ServiceSettings(levels=QUICK)
    router.service.reload()
    router.play("wait 0.5")
    assert router.level == "full"  # it knows the workers listed before


def test_a_pin_holds_a_level_and_expires(router: RouterWithLevels) -> None:
    router.level_admin.pin(Level.LAST_RESORT, 3.0, "drill")
    router.play("wait 0.5")
    assert router.level == "last-resort" and router.logged("level pinned: last-resort for 3 s: drill")
    pin = router.level_admin.report()["levels"]["platform"]["pin"]
    assert pin["reason"] == "drill" and 2.0 < pin["for_s"] < 3.0
    router.play("wait 13")
    assert router.level == "full" and router.logged("pin ended")


def test_an_error_in_the_governor_leaves_the_router_at_full_service(
    router: RouterWithLevels, monkeypatch: pytest.MonkeyPatch
) -> None:
    router.level_admin.pin(Level.LAST_RESORT, 60.0, "drill")
    router.play("wait 0.5")
    monkeypatch.setattr("yewhook.levels.governor.Governor._measure", lambda *_: 1 / 0)
    router.play("wait 0.5")
    assert router.logged("levels failed: ") and not router.logged("turn failed")
    # The last level of the failed governor must not be reported any longer.
    assert router.level_admin.report()["levels"] == {"platform": None}
    router.play(begin("id=r7")).play("writer send stream\nwriter send event text=one\nclient expect one")


def test_without_levels_no_level_is_computed_or_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    without = RouterWithLevels(ServiceSettings())
    try:
        assert without.front.levels is None and without.front.router.governor is None
        received: list[interface.Event] = []
        module = without.front.router._module
        handle = module.handle

        def record(now: float, events: list[interface.Event]) -> list[interface.Action]:
            received.extend(events)
            return handle(now, events)

        monkeypatch.setattr(module, "handle", record)
        without.play(begin()).play("wait 0.2")
        assert not any(isinstance(event, interface.ServiceLevel) for event in received)
        assert {event.admit for event in received if isinstance(event, interface.RequestArrived)} == {1.0}
    finally:
        without.end()


def test_the_platform_distinguishes_client_retries_and_resumed_streams(
    router: RouterWithLevels, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: list[tuple[bool, bool]] = []
    accept = Router.accept

    def record(self: Router, arrived: interface.RequestArrived, *rest: object) -> bool:
        seen.append((arrived.repeat, arrived.resumed))
        return accept(self, arrived, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Router, "accept", record)
    for name, fields in (("a", ""), ("b", "X_Resent=1"), ("c", "X_Resent=again")):
        router.play(f"{name} send ask id={name} {fields}\nwait 0.05")
    assert seen == [(False, False), (True, False), (False, True)]


def test_levels_do_no_io_and_read_no_clock() -> None:
    folder = Path(__file__).parents[2] / "yewhook" / "levels"
    forbidden = {
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
        imported = {
            line.split()[1].partition(".")[0] for line in path.read_text().splitlines()
            if line.startswith(("import ", "from "))
        }  # fmt: skip
        assert not imported & forbidden, path


def test_log_lines_can_be_json_with_their_fields(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n1", LogFormat.JSON)
    log("service level", "full to guarded: load 1.04", before="full", after="guarded", value=1.04)
    for _ in range(12):
        log("accept failed", "why")
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert lines[0]["event"] == "service level" and lines[0]["router"] == "n1"
    assert (lines[0]["before"], lines[0]["value"], lines[0]["detail"][:4]) == ("full", 1.04, "full")
    assert "timestamp" in lines[0] and len(lines) == 11
