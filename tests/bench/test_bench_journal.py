"""Tests of the journal benchmark: its lines must actually be written."""

from __future__ import annotations

import json
import logging

import pytest

from bench.journal_cost import EVENT, main, measure_line_us
from gypsumrouter.settings import LogLevel


@pytest.fixture(autouse=True)
def restore_root_logger() -> object:
    """Restore handlers and level of the root logger after each test."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_line_costs_more_with_logging_on() -> None:
    written_us = measure_line_us(level=LogLevel.INFO, lines=2_000)
    assert written_us > measure_line_us(level=LogLevel.ERROR, lines=2_000) > 0


def test_command_prints_costs_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--lines", "2000"]) == 0
    figures = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert figures["line_us"] > figures["line_without_log_us"]
    assert figures["stalled_reader_mb"] > 0
    assert EVENT.name == "request_placed"
