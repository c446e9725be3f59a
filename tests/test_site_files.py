"""Checks of customers' site files: those of this repository, and the errors for invalid ones."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from yewhook.cli import app
from yewhook.config import ConfigError
from yewhook.site_files import read

SITES = Path(__file__).parent.parent / "deploy" / "sites"


def test_the_sites_of_this_repository_are_valid_and_differ_in_their_effects() -> None:
    sites = [read(path) for path in sorted(SITES.glob("*.toml"))]
    assert [site.name for site in sites] == [path.stem for path in sorted(SITES.glob("*.toml"))]
    assert len(sites) >= 2 and len({tuple(c.effect for c in site.classes) for site in sites}) == len(sites)
    night_clinic = next(site for site in sites if site.name == "night-clinic")
    assert max(c.deadline_s for c in night_clinic.classes) <= 4.0
    assert min(c.dedup_window_s for c in night_clinic.classes if c.dedup_window_s is not None) <= 1.5


def test_check_prints_the_classes_and_tenants_of_a_site() -> None:
    done = CliRunner().invoke(app, ["check", "--site", str(SITES / "night-clinic.toml")])
    assert done.exit_code == 0 and "triage unsafe 2.5 s" in done.output and "2 tenants" in done.output


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('effect = "keyed"', 'effect = "often"', "class[1]: effect = 'often': expected one of safe"),
        ("window_ms = 1200", "window_ms = 0", "class[1]: window_ms = 0: expected a number above 0"),
        ('group = "zone"', 'group = "hall"', "class[1]: group = 'hall': expected one of all, zone, cell"),
        ("aim_ms = 900", "aim_ms = 9000", "class[0]: aim_ms = 9000: expected less than deadline_ms"),
        ("aim_ms = 900", 'aim_ms = "soon"', "class[0]: aim_ms = 'soon': expected a number above 0"),
        ('name = "leaflet"', 'name = "triage"', "expected each of them once"),
        ("fall_ms = 800", "fall_ms = -1", "rules: fall_ms = -1: expected a number above 0"),
        ("[[tenant]]", "[[renter]]", "tenant = None: expected one or more [[tenant]] tables"),
    ],
)
def test_an_invalid_site_is_reported_with_key_value_and_expectation(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    text = (SITES / "night-clinic.toml").read_text()
    assert old in text
    path = tmp_path / "site.toml"
    path.write_text(text.replace(old, new))
    with pytest.raises(ConfigError) as error:
        read(path)
    assert str(error.value).startswith(f"{path}: ") and message in str(error.value)
