"""Tests of the ablation benchmark: settings without a mechanism, runs, and the result table."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from bench.ablate import (  # _mechanism
    ALL_ENABLED,
    TEMPLATE,
    AblationRun,
    disable_mechanism,
    format_table,
    run_command,
)
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
def test_settings_disable_each_mechanism(mechanism: Mechanism) -> None:
    document = disable_mechanism(json.dumps(SETTINGS), mechanism.value)
    assert check_forwarder_settings(document).without == {mechanism}


def test_unknown_mechanism_is_rejected() -> None:
    with pytest.raises(SettingsInvalid, match="without"):
        check_forwarder_settings(disable_mechanism(json.dumps(SETTINGS), "wishes"))


def test_deploy_template_is_unchanged_with_all_mechanisms() -> None:
    template = (ROOT / TEMPLATE).read_text()
    assert disable_mechanism(template, ALL_ENABLED) == template
    assert disable_mechanism(template, "copies").count('"without": ["copies"]') == 1


def test_run_returns_figure_of_its_report(tmp_path: Path) -> None:
    (tmp_path / "made.json").write_text('{"G": 0.75}')
    report = tmp_path / "report.json"
    copy = f"cp {tmp_path}/made.json {{report}}"
    assert run_command(folder=tmp_path, command=copy, report=report, field="G") == 0.75
    report.unlink()
    assert run_command(folder=tmp_path, command="true", report=report, field="G") is None


def test_table_shows_gain_of_each_mechanism() -> None:
    figures: dict[AblationRun, float | None] = {
        AblationRun(disabled=ALL_ENABLED, command=0): 0.8,
        AblationRun(disabled="copies", command=0): 0.7,
        AblationRun(disabled="health", command=0): None,
    }
    rows = format_table(figures, 1).splitlines()
    assert "| copies | 0.7000 | +0.1000 | 0.700 |" in rows
    assert "| health |  |  | failed |" in rows
