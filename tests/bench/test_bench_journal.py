"""The cost of the journal is measured with lines that are really written."""

from __future__ import annotations

import json
import logging

import pytest

from bench.journal_cost import EVENT, main, measure_line_us
from gypsumrouter.settings import LogLevel


@pytest.fixture(autouse=True)
def keep_handlers() -> object:
    """Put the root logger back as it was."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_a_line_costs_more_where_it_is_written() -> None:
    written_us = measure_line_us(level=LogLevel.INFO, lines=2_000)
    assert written_us > measure_line_us(level=LogLevel.ERROR, lines=2_000) > 0


def test_the_command_tells_what_a_request_costs(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--lines", "2000"]) == 0
    figures = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert figures["line_us"] > figures["line_without_log_us"]
    assert figures["stalled_reader_mb"] > 0
    assert EVENT.name == "request_placed"
