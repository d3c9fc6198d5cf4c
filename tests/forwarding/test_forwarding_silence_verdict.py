"""The silence of an upstream is told from its failure."""

from __future__ import annotations

import pytest

from gypsumrouter.forwarding.health.silence_verdict import (
    EXPECTED_RESPONSE_MS,
    MAX_SOUND_SILENCE_MS,
    SilenceVerdict,
    TakenOver,
    judge_silence,
)

FAILURE, LASTING, ENDED = SilenceVerdict.FAILURE, SilenceVerdict.LASTING, SilenceVerdict.ENDED


@pytest.mark.parametrize(
    ("request_ms", "upstream_ms", "responsive_ms", "repeated", "expected"),
    [
        # Nothing came since the request was sent.
        (150, 150, 0, False, LASTING),
        (750, 750, 0, False, LASTING),
        (MAX_SOUND_SILENCE_MS - 1, MAX_SOUND_SILENCE_MS - 1, 0, False, LASTING),
        (MAX_SOUND_SILENCE_MS, MAX_SOUND_SILENCE_MS, 0, False, FAILURE),
        # The upstream was silent before the request was sent.
        (750, MAX_SOUND_SILENCE_MS, 0, False, FAILURE),
        # It responded to others right after, as before its silence, or for a while.
        (750, 700, 50, False, LASTING),
        (750, 460, EXPECTED_RESPONSE_MS - 1, False, LASTING),
        (750, 450, EXPECTED_RESPONSE_MS, False, FAILURE),
        (750, 0, 750, False, FAILURE),
        # It has responded again a moment ago, and this request would have been next.
        (750, 20, 0, False, ENDED),
        (750, EXPECTED_RESPONSE_MS - 1, EXPECTED_RESPONSE_MS - 1, False, ENDED),
        (750, EXPECTED_RESPONSE_MS, 0, False, LASTING),
        # It does so again and again.
        (750, 750, 0, True, FAILURE),
        (750, 20, 0, True, FAILURE),
    ],
)
def test_silence_is_told_from_failure(
    request_ms: int,
    upstream_ms: int,
    responsive_ms: int,
    repeated: bool,
    expected: SilenceVerdict,
) -> None:
    """Guards against a sound upstream that counts as failing, and a lost one that does not."""
    taken_over = TakenOver(
        request_silent_ms=request_ms,
        upstream_silent_ms=upstream_ms,
        responsive_ms=responsive_ms,
        repeated=repeated,
    )
    assert judge_silence(taken_over) is expected
