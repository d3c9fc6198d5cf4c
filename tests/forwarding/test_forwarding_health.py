"""Failures of an upstream cost it requests, and one that cannot be reached is left out."""

from __future__ import annotations

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.forwarding.health.record import DOWN_FIRST_MS
from gypsumrouter.forwarding.health.tracker import FAILURE_COST_MS, HealthTracker
from gypsumrouter.forwarding.placement import FETCH_SETUP_MS, FETCH_TOKENS_PER_MS
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock


def make_health(clock: ManualClock) -> HealthTracker:
    app = Application(
        name="entry-1", role=Role.FORWARDER, data_centre="dc-a", region="r", clock=clock
    )
    return HealthTracker(clock=clock, journal=Journal(app=app))


def test_upstream_with_failures_gets_a_penalty_after_four_requests() -> None:
    health = make_health(ManualClock())
    for _ in range(2):
        health.note_success("a")
        health.note_failure("a", reason="status 500")
        health.note_success("b")
    assert health.penalty_ms("a") == pytest.approx(FAILURE_COST_MS / 3)
    assert health.penalty_ms("a") > FETCH_SETUP_MS + 10_000 / FETCH_TOKENS_PER_MS
    assert health.penalty_ms("b") == 0


def test_failure_penalty_decays_with_time() -> None:
    clock = ManualClock()
    health = make_health(clock)
    health.note_failure("a", reason="silent")
    health.note_failure("a", reason="silent")
    before = health.penalty_ms("a")
    clock.advance(10_000)
    assert health.penalty_ms("a") < before / 4


def test_unreachable_upstream_is_down_for_longer_after_each_failure() -> None:
    clock = ManualClock()
    health = make_health(clock)
    health.note_unreachable("a", reason="refused")
    assert health.is_down("a")
    clock.advance(DOWN_FIRST_MS)
    assert not health.is_down("a")
    health.note_unreachable("a", reason="refused")
    clock.advance(DOWN_FIRST_MS)
    assert health.is_down("a")
    health.note_success("a")
    assert not health.is_down("a")
