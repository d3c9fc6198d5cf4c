"""The load that upstreams report: decoded if well-formed, ignored otherwise."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.forwarding.models import LoadReport, read_load_report


def test_three_figures_are_a_load_without_a_pace() -> None:
    assert read_load_report("3,1,8") == LoadReport(running=3, waiting=1, slots=8)


def test_fourth_figure_is_the_pace_in_percent() -> None:
    report = read_load_report("3, 0, 8, 250")
    assert report == LoadReport(running=3, waiting=0, slots=8, pace=2.5)


@pytest.mark.parametrize(
    "value",
    [
        None,
        "",
        ",,",
        "3",
        "3,0",
        "3,0,8,100,1",
        "-3,0,8",
        "3,0,0",
        "3,0,8,0",
        "3,0,8,-1",
        "3,0,8,",
        "a,b,c",
        "3.5,0,8",
        "1e3,0,8",
        "٣,0,8",
        "9" * 5_000 + ",0,8",
        "3,0,8," + "9" * 5_000,
    ],
)
def test_malformed_report_is_ignored(value: str | None) -> None:
    """Guards against a router that fails, or believes a load, because of a bad header."""
    assert read_load_report(value) is None


@given(st.text(alphabet="0123456789,. -+x\t", max_size=40))
def test_any_text_is_decoded_or_ignored(value: str) -> None:
    """Guards against an exception for text that nearly is a report."""
    report = read_load_report(value)
    if report is not None:
        assert report.slots > 0
        assert report.held >= 0
        assert report.pace is None or report.pace > 0
