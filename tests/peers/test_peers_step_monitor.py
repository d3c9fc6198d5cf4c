"""A router that falls out of step, or stands still, says so, and says when it is back."""

from __future__ import annotations

import logging

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.journal import Journal
from gypsumrouter.peers.step_monitor import CHECK_INTERVAL_MS, OUTDATED_MS, StepMonitor
from gypsumrouter.published import WatchState
from gypsumrouter.util.clock import ManualClock


class Router:
    """A list that the store has confirmed, and what watches over it."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="dc", region="r", clock=self.clock
        )
        self.list = WatchState(clock=self.clock)
        self.list.as_of = 1
        self.list.note_response()
        self.monitor = StepMonitor(app=app, journal=Journal(app=app), upstreams=self.list)

    def run(self, duration_ms: int) -> None:
        """Run for a while without a word of the store."""
        for _ in range(duration_ms // CHECK_INTERVAL_MS):
            self.clock.advance(CHECK_INTERVAL_MS)
            self.monitor.check()


def _list_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records]


@pytest.fixture
def router(caplog: pytest.LogCaptureFixture) -> Router:
    caplog.set_level(logging.INFO)
    return Router()


def test_outdated_list_is_told_once_and_once_when_it_is_back(
    router: Router, caplog: pytest.LogCaptureFixture
) -> None:
    router.run(OUTDATED_MS)
    assert _list_events(caplog) == []
    router.run(1_000)
    assert _list_events(caplog) == ["list_outdated"]
    router.list.note_response()
    router.run(1_000)
    assert _list_events(caplog) == ["list_outdated", "list_refreshed"]


def test_process_that_stood_still_says_for_how_long(
    router: Router, caplog: pytest.LogCaptureFixture
) -> None:
    router.clock.advance(CHECK_INTERVAL_MS + 900)
    router.monitor.check()
    assert _list_events(caplog) == ["process_paused"]
