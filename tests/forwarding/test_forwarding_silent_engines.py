"""Engines that stop responding at once get fewer requests if their silence is tracked."""

from __future__ import annotations

import random

from engine_placers import ENGINES, SERVICE, make_placer

from gypsumrouter.forwarding.models import Prompt, PromptPart, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.util.clock import ManualClock

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
