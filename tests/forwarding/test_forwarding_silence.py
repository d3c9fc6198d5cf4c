"""Upstreams that stop responding are avoided before requests to them time out."""

from __future__ import annotations

import random

from engine_placers import ENGINES, SERVICE, make_placer

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.forwarding.health import EXPECTED_RESPONSE_MS, HealthTracker, SilenceTracker
from gypsumrouter.forwarding.models import Prompt, PromptPart, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.journal import Journal
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


RESPONSE_MS = 60
TIMEOUT_MS = 1_000
ARRIVAL_INTERVAL_MS = 50
RESPONSE = ResponseMetadata(
    request_id=None,
    signed=True,
    not_run=False,
    content_encoded=False,
    is_event_stream=True,
    keep_alive_ms=None,
)


def count_sent_to_silent_engines(*, tracks_silence: bool) -> int:
    """Return the requests that a router sends to engines of which half fall silent for 3 s."""
    clock, rng = ManualClock(now_ms=100_000), random.Random(2)
    placer = make_placer(clock, tracks_silence=tracks_silence)
    silent = {f"i-{number}" for number in range(0, ENGINES, 2)}
    running: list[tuple[int, Placement, SentRequest]] = []
    sent_to_silent = 0
    for _ in range(0, 3_000, ARRIVAL_INTERVAL_MS):
        clock.advance(ARRIVAL_INTERVAL_MS)
        now_ms = clock.now_ms()
        for item in [item for item in running if item[0] <= now_ms]:
            running.remove(item)
            _, placement, sent = item
            if placement.entry.upstream in silent:
                placer.health.note_failure(placement.entry.incarnation, reason="silent")
            else:
                placer.apply_response_metadata(placement.entry, RESPONSE)
                placer.health.note_success(placement.entry.incarnation)
            placer.note_prefilled(sent)
            placer.note_ended(sent, held_ms=RESPONSE_MS)
        parts = (
            PromptPart(part=rng.getrandbits(40), tokens=500),
            PromptPart(part=rng.getrandbits(40), tokens=100),
        )
        prompt = Prompt(model="m", parts=parts, input_tokens=600, max_output_tokens=50)
        chosen = placer.place(service=SERVICE, prompt=prompt, excluded=())
        assert isinstance(chosen, Placement)
        is_silent = chosen.entry.upstream in silent
        sent_to_silent += is_silent
        ends_ms = now_ms + (TIMEOUT_MS if is_silent else RESPONSE_MS)
        running.append((ends_ms, chosen, placer.note_sent(chosen, prompt)))
    return sent_to_silent


def test_half_of_the_engines_lost_at_once_cost_fewer_requests() -> None:
    """Guards against sending to silent engines until the first request has timed out."""
    without = count_sent_to_silent_engines(tracks_silence=False)
    assert count_sent_to_silent_engines(tracks_silence=True) < without
