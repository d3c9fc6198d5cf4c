"""Detection of requests that crash upstreams, without blaming requests that ran beside them."""

from __future__ import annotations

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.forwarding.suspects import MAX_STRIKES, STRIKE_TTL_MS, SuspectTracker
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

CRASHER = 1
NEIGHBOUR = 2


def make_suspects(clock: ManualClock | None = None) -> SuspectTracker:
    app = Application(
        name="entry-1",
        role=Role.FORWARDER,
        data_centre="a",
        region="r",
        clock=clock or ManualClock(),
    )
    return SuspectTracker(app=app, journal=Journal(app=app))


def test_request_is_suspect_after_crashing_three_upstreams() -> None:
    suspects = make_suspects()
    for number in range(MAX_STRIKES):
        assert not suspects.is_suspect(CRASHER)
        suspects.note_crash(CRASHER, f"i-{number}")
    assert suspects.is_suspect(CRASHER)


def test_strikes_at_the_same_upstream_count_once() -> None:
    suspects = make_suspects()
    for _ in range(10):
        suspects.note_crash(CRASHER, "i-1")
    assert not suspects.is_suspect(CRASHER)


def test_answered_request_is_not_suspect() -> None:
    suspects = make_suspects()
    suspects.note_crash(NEIGHBOUR, "i-1")
    suspects.note_success(NEIGHBOUR)
    for number in range(MAX_STRIKES):
        suspects.note_crash(NEIGHBOUR, f"i-{number}")
    assert not suspects.is_suspect(NEIGHBOUR)


def test_strikes_of_peers_count_and_are_not_forwarded() -> None:
    suspects = make_suspects()
    forwarded: list[tuple[int, str]] = []
    suspects.on_strike(lambda digest, upstream: forwarded.append((digest, upstream)))
    suspects.add_strike(CRASHER, "i-1", source="entry-2")
    suspects.add_strike(CRASHER, "i-2", source="entry-3")
    suspects.note_crash(CRASHER, "i-3")
    assert suspects.is_suspect(CRASHER)
    assert forwarded == [(CRASHER, "i-3")]


def test_strikes_expire() -> None:
    clock = ManualClock()
    suspects = make_suspects(clock)
    for number in range(MAX_STRIKES):
        suspects.note_crash(CRASHER, f"i-{number}")
    clock.advance(STRIKE_TTL_MS + 1)
    assert not suspects.is_suspect(CRASHER)
