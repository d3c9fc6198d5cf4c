"""The ablation: templates without one mechanism, plays and their table."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from bench.ablate import ALL_ON, TEMPLATE, Play, format_table, play, switch_off
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import check_forwarder_settings

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "instance": {"name": "entry-1", "data_centre": "a", "region": "r"},
    "link": {"key_env": "K"},
    "store": "127.0.0.1:1",
}


@pytest.mark.parametrize("mechanism", list(Mechanism))
def test_settings_switch_each_mechanism_off(mechanism: Mechanism) -> None:
    document = switch_off(json.dumps(SETTINGS), mechanism.value)
    assert check_forwarder_settings(document).without == {mechanism}


def test_an_unknown_mechanism_is_named() -> None:
    with pytest.raises(SettingsInvalid, match="without"):
        check_forwarder_settings(switch_off(json.dumps(SETTINGS), "wishes"))


def test_the_deploy_template_stays_as_it_is_with_all_on() -> None:
    template = (ROOT / TEMPLATE).read_text()
    assert switch_off(template, ALL_ON) == template
    assert switch_off(template, "copies").count('"without": ["copies"]') == 1


def test_a_play_gives_the_figure_of_its_report(tmp_path: Path) -> None:
    (tmp_path / "made.json").write_text('{"G": 0.75}')
    report = tmp_path / "report.json"
    copy = f"cp {tmp_path}/made.json {{report}}"
    assert play(folder=tmp_path, command=copy, report=report, field="G") == 0.75
    report.unlink()
    assert play(folder=tmp_path, command="true", report=report, field="G") is None


def test_the_table_shows_what_is_lost_without_a_mechanism() -> None:
    figures: dict[Play, float | None] = {
        Play(without=ALL_ON, command=0): 0.8,
        Play(without="copies", command=0): 0.7,
        Play(without="health", command=0): None,
    }
    rows = format_table(figures, 1).splitlines()
    assert "| copies | 0.7000 | +0.1000 | 0.700 |" in rows
    assert "| health |  |  | failed |" in rows
