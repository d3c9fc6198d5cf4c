"""What the silence of an upstream says about it, once another one has taken over from it.

A sound upstream may fall silent for a second and go on, so its silence alone is no failure. One
that answers other requests meanwhile, or that stays silent, has failed.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

from msgspec import Struct

# Silence up to this long has no cost. A response begins within this time unless long prompts wait
# before it.
EXPECTED_RESPONSE_MS: Final = 300
# Silence of a sound upstream lasts a second or so; a longer one counts as a failure.
MAX_SOUND_SILENCE_MS: Final = 2_000


class SilenceVerdict(Enum):
    """What to do about an upstream whose request was taken over.

    LASTING: new requests avoid it until it responds. ENDED: it has just responded to others.
    """

    FAILURE = auto()
    LASTING = auto()
    ENDED = auto()


class TakenOver(Struct, frozen=True, kw_only=True):
    """A request that was taken over, and what its upstream has sent to this router meanwhile.

    `request_silent_ms` is how long the request has received nothing, `upstream_silent_ms` how long
    the upstream has sent nothing at all. `responsive_ms` is how long the upstream has sent
    something to other requests since the request fell silent, or since a silence of the whole
    upstream. `repeated` is set if a silence that was taken over ended a short time before.
    """

    request_silent_ms: int
    upstream_silent_ms: int
    responsive_ms: int
    repeated: bool


def judge_silence(taken_over: TakenOver) -> SilenceVerdict:
    """Return what a request that was taken over says of its upstream."""
    if taken_over.repeated:
        # At a low rate the requests that an upstream never answers look like short silences.
        return SilenceVerdict.FAILURE
    if taken_over.responsive_ms >= EXPECTED_RESPONSE_MS:
        return SilenceVerdict.FAILURE
    if taken_over.upstream_silent_ms >= MAX_SOUND_SILENCE_MS:
        return SilenceVerdict.FAILURE
    if taken_over.upstream_silent_ms < min(EXPECTED_RESPONSE_MS, taken_over.request_silent_ms):
        return SilenceVerdict.ENDED
    return SilenceVerdict.LASTING
