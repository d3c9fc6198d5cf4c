"""Upstreams that stop responding are avoided before requests to them time out."""

from __future__ import annotations

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.forwarding.health.silence_verdict import (
    EXPECTED_RESPONSE_MS,
    MAX_SOUND_SILENCE_MS,
)
from gypsumrouter.forwarding.health.silences import (
    REPEATED_WITHIN_MS,
    RETRY_SILENT_MS,
    SilenceTracker,
)
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.journal.journal import Event
from gypsumrouter.util.clock import ManualClock

ENGINE = "i-1"


def make_tracker() -> tuple[ManualClock, SilenceTracker]:
    clock = ManualClock(now_ms=10_000)
    return clock, SilenceTracker(clock=clock)


def test_upstream_without_requests_is_not_silent() -> None:
    """Guards against a penalty for an idle upstream."""
    clock, silence = make_tracker()
    number = silence.begin(ENGINE)
    silence.end(ENGINE, number)
    clock.advance(60_000)
    assert silence.get_excess_ms(ENGINE) == 0


def test_silence_grows_while_a_request_is_unanswered() -> None:
    clock, silence = make_tracker()
    silence.begin(ENGINE)
    clock.advance(EXPECTED_RESPONSE_MS)
    assert silence.get_excess_ms(ENGINE) == 0
    clock.advance(200)
    assert silence.get_excess_ms(ENGINE) == 200


def test_further_requests_do_not_hide_the_silence() -> None:
    """Guards against an upstream that looks responsive because it keeps getting requests."""
    clock, silence = make_tracker()
    first = silence.begin(ENGINE)
    for _ in range(10):
        clock.advance(100)
        silence.begin(ENGINE)
    silence.end(ENGINE, first)
    assert silence.get_excess_ms(ENGINE) == 1_000 - EXPECTED_RESPONSE_MS


def test_any_response_ends_the_silence() -> None:
    """Guards against a penalty for an upstream that is slow with one request only."""
    clock, silence = make_tracker()
    silence.begin(ENGINE)
    clock.advance(5_000)
    silence.note_response(ENGINE)
    assert silence.get_excess_ms(ENGINE) == 0


def test_requests_that_time_out_end_the_silence() -> None:
    """Guards against an upstream that is avoided for good and never tried again."""
    clock, silence = make_tracker()
    number = silence.begin(ENGINE)
    clock.advance(5_000)
    silence.end(ENGINE, number)
    silence.end(ENGINE, number)
    assert silence.get_excess_ms(ENGINE) == 0


def test_silence_counts_as_a_cost_of_the_upstream() -> None:
    clock = ManualClock(now_ms=10_000)
    app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    silence = SilenceTracker(clock=clock)
    health = HealthTracker(clock=clock, journal=Journal(app=app), silence=silence)
    silence.begin(ENGINE)
    clock.advance(EXPECTED_RESPONSE_MS + 500)
    assert health.penalty_ms(ENGINE) == 500
    assert health.penalty_ms("i-2") == 0


PATIENCE_MS = 750


class RecordingJournal(Journal):
    """Keeps the events."""

    def __init__(self, *, clock: ManualClock) -> None:
        app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
        super().__init__(app=app)
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        self.events.append(event)

    @property
    def reasons(self) -> list[str]:
        """Return why upstreams became unhealthy."""
        return [e.reason for e in self.events if isinstance(e, UpstreamHealth) and not e.healthy]


class Router:
    """What one router knows of the health of its upstreams."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=10_000)
        self.journal = RecordingJournal(clock=self.clock)
        self.silence = SilenceTracker(clock=self.clock)
        self.health = HealthTracker(clock=self.clock, journal=self.journal, silence=self.silence)

    def take_over(self, number: int, *, silent_ms: int = PATIENCE_MS) -> None:
        """End a request in the order of an attempt that another upstream takes over."""
        self.silence.end(ENGINE, number)
        self.health.note_silent(ENGINE, silent_ms=silent_ms)

    def fall_silent(self) -> None:
        """Send a request and take it over when it has been silent for long enough."""
        number = self.silence.begin(ENGINE)
        self.clock.advance(PATIENCE_MS)
        self.take_over(number)

    def answer(self) -> None:
        """Send a request that is answered soon."""
        number = self.silence.begin(ENGINE)
        self.clock.advance(60)
        self.health.note_received(ENGINE)
        self.silence.end(ENGINE, number)

    @property
    def penalty_ms(self) -> float:
        """Return the cost of a further request."""
        return self.health.penalty_ms(ENGINE)


def test_silence_is_remembered_after_its_requests_were_taken_over() -> None:
    """Guards against new requests that go to a silent upstream as soon as none waits for it."""
    router = Router()
    router.fall_silent()
    assert router.penalty_ms == PATIENCE_MS - EXPECTED_RESPONSE_MS
    router.clock.advance(200)
    assert router.penalty_ms == PATIENCE_MS + 200 - EXPECTED_RESPONSE_MS
    assert router.journal.reasons == []


def test_remembered_silence_is_forgotten_with_the_first_byte() -> None:
    """Guards against a sound upstream that stays avoided after a second of silence."""
    router = Router()
    waiting = router.silence.begin(ENGINE)
    router.fall_silent()
    router.health.note_received(ENGINE)
    router.silence.end(ENGINE, waiting)
    assert router.penalty_ms == 0
    router.clock.advance(10 * MAX_SOUND_SILENCE_MS)
    assert router.penalty_ms == 0
    assert router.journal.reasons == []


def test_silent_upstream_gets_one_request_at_a_time_before_it_counts_as_failed() -> None:
    """Guards against a silence that can't end, since nothing is sent that could be answered."""
    router = Router()
    router.fall_silent()
    router.clock.advance(RETRY_SILENT_MS - 1)
    assert router.penalty_ms > 0
    router.clock.advance(1)
    assert router.penalty_ms == 0
    number = router.silence.begin(ENGINE)
    assert router.penalty_ms == PATIENCE_MS + RETRY_SILENT_MS - EXPECTED_RESPONSE_MS
    router.health.note_received(ENGINE)
    router.silence.end(ENGINE, number)
    assert router.penalty_ms == 0


def test_lasting_silence_counts_each_request_that_was_taken_over_as_a_failure() -> None:
    """Guards against an upstream that is gone and gets requests again as if it were sound."""
    router, failing = Router(), Router()
    numbers = [router.silence.begin(ENGINE) for _ in range(3)]
    waiting = router.silence.begin(ENGINE)
    router.clock.advance(PATIENCE_MS)
    for number in numbers:
        router.take_over(number)
    router.clock.advance(MAX_SOUND_SILENCE_MS - PATIENCE_MS - 1)
    assert router.penalty_ms == MAX_SOUND_SILENCE_MS - 1 - EXPECTED_RESPONSE_MS
    assert router.journal.reasons == []
    router.clock.advance(1)
    for _ in numbers:
        failing.health.note_failure(ENGINE, reason="status 500")
    excess_ms = MAX_SOUND_SILENCE_MS - EXPECTED_RESPONSE_MS
    for _ in range(2):
        assert router.penalty_ms == pytest.approx(excess_ms + failing.penalty_ms)
    assert router.journal.reasons == [f"silent for {MAX_SOUND_SILENCE_MS} ms"]
    router.silence.end(ENGINE, waiting)


def test_second_silent_request_of_a_lost_upstream_makes_the_first_a_failure() -> None:
    """Guards against an upstream that counts as failing later where requests to it are rare."""
    router, failing = Router(), Router()
    router.fall_silent()
    router.clock.advance(MAX_SOUND_SILENCE_MS)
    router.fall_silent()
    for _ in range(2):
        failing.health.note_failure(ENGINE, reason="status 500")
    router.clock.advance(RETRY_SILENT_MS)
    failing.clock.advance(RETRY_SILENT_MS)
    assert router.penalty_ms == pytest.approx(failing.penalty_ms)
    assert router.journal.reasons == [f"silent for {PATIENCE_MS} ms"]


def test_silence_is_no_failure_if_nothing_was_sent_that_could_be_answered() -> None:
    """Guards against sound upstreams that count as failed where requests to them are rare."""
    router = Router()
    router.fall_silent()
    router.clock.advance(REPEATED_WITHIN_MS)
    assert router.penalty_ms == 0
    assert router.journal.reasons == []


def test_silence_is_no_failure_while_a_new_request_may_still_be_answered() -> None:
    """Guards against an upstream that counts as failed although it was just asked again."""
    router = Router()
    router.fall_silent()
    router.clock.advance(MAX_SOUND_SILENCE_MS - PATIENCE_MS - 50)
    router.silence.begin(ENGINE)
    router.clock.advance(EXPECTED_RESPONSE_MS - 1)
    assert router.penalty_ms > 0
    assert router.journal.reasons == []
    router.clock.advance(1)
    assert router.penalty_ms > 0
    assert len(router.journal.reasons) == 1


def test_each_further_silent_request_of_a_lost_upstream_is_a_failure() -> None:
    """Guards against an upstream that gets two more seconds with each request."""
    router = Router()
    router.fall_silent()
    router.clock.advance(MAX_SOUND_SILENCE_MS)
    before = router.penalty_ms
    number = router.silence.begin(ENGINE)
    router.clock.advance(PATIENCE_MS)
    router.take_over(number)
    assert router.penalty_ms > before


def test_request_that_is_not_answered_while_others_are_is_a_failure_at_once() -> None:
    """Guards against an upstream that never answers some of its requests and stays in use."""
    router = Router()
    number = router.silence.begin(ENGINE)
    begun_ms = router.clock.now_ms()
    while router.clock.now_ms() - begun_ms < PATIENCE_MS:
        router.answer()
    router.take_over(number, silent_ms=router.clock.now_ms() - begun_ms)
    assert len(router.journal.reasons) == 1


def test_request_taken_over_just_after_the_silence_ended_is_no_failure() -> None:
    """Guards against a failure of an upstream whose next response would have been this one."""
    router = Router()
    number = router.silence.begin(ENGINE)
    router.clock.advance(PATIENCE_MS - 20)
    router.answer()
    router.take_over(number, silent_ms=PATIENCE_MS + 40)
    assert router.penalty_ms == 0
    assert router.journal.reasons == []


def test_silence_that_follows_one_that_had_just_ended_is_a_failure() -> None:
    """Guards against an upstream that leaves out requests between those that it answers."""
    router = Router()
    number = router.silence.begin(ENGINE)
    router.clock.advance(PATIENCE_MS - 20)
    router.answer()
    router.take_over(number, silent_ms=PATIENCE_MS + 40)
    router.fall_silent()
    assert len(router.journal.reasons) == 1


def test_requests_taken_over_in_a_silence_that_ended_are_never_failures() -> None:
    """Guards against a later silence that counts for those before it."""
    router, failing = Router(), Router()
    router.fall_silent()
    router.answer()
    router.clock.advance(REPEATED_WITHIN_MS)
    router.fall_silent()
    router.clock.advance(MAX_SOUND_SILENCE_MS)
    router.fall_silent()
    for _ in range(2):
        failing.health.note_failure(ENGINE, reason="status 500")
    router.clock.advance(RETRY_SILENT_MS)
    failing.clock.advance(RETRY_SILENT_MS)
    assert router.penalty_ms == pytest.approx(failing.penalty_ms)


@pytest.mark.parametrize(("pause_ms", "failures"), [(0, 1), (REPEATED_WITHIN_MS, 0)])
def test_silence_that_follows_another_one_is_a_failure(pause_ms: int, failures: int) -> None:
    """Guards against an upstream that answers most of the few requests that it gets."""
    router = Router()
    router.fall_silent()
    router.answer()
    router.clock.advance(pause_ms)
    router.fall_silent()
    assert len(router.journal.reasons) == failures


def test_silence_without_a_tracker_is_a_failure() -> None:
    """Guards against lost upstreams that stay in use where silence is not tracked."""
    clock = ManualClock(now_ms=10_000)
    journal = RecordingJournal(clock=clock)
    health = HealthTracker(clock=clock, journal=journal)
    health.note_silent(ENGINE, silent_ms=PATIENCE_MS)
    assert journal.reasons == [f"silent for {PATIENCE_MS} ms"]


def test_silence_of_a_removed_upstream_is_forgotten() -> None:
    router = Router()
    router.fall_silent()
    router.health.forget(ENGINE)
    assert router.penalty_ms == 0


def test_sweep_drops_upstreams_that_owe_nothing() -> None:
    """Guards against state that grows with each start of an upstream."""
    router = Router()
    for number in range(100):
        router.health.note_received(f"old-{number}")
    router.silence.begin(ENGINE)
    router.clock.advance(REPEATED_WITHIN_MS)
    assert router.silence.tracked == 101
    router.health.sweep()
    assert router.silence.tracked == 1
