"""Silences of sound upstreams: they stand still with their connections open, and go on."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final, Protocol

from gypsumrouter.util.clock import Clock

SILENCE_MS: Final = (300, 2_000)
PAUSE_MS: Final = (300, 1_500)
MAX_GROUP: Final = 2


class Freezable(Protocol):
    """An upstream that can stand still."""

    def freeze(self) -> None:
        """Stop handling requests."""

    def thaw(self) -> None:
        """Handle requests again."""


async def async_draw_silences(
    *, kinds: Sequence[Sequence[Freezable]], clock: Clock, seed: int
) -> None:
    """Let one upstream, or a few of one kind, fall silent at a time until cancelled."""
    rng = random.Random(seed)
    while True:
        await clock.async_sleep(rng.randint(*PAUSE_MS))
        upstreams = rng.choice(kinds)
        silent = rng.sample(upstreams, rng.randint(1, min(MAX_GROUP, len(upstreams))))
        for upstream in silent:
            upstream.freeze()
        try:
            await clock.async_sleep(rng.randint(*SILENCE_MS))
        finally:
            for upstream in silent:
                upstream.thaw()
