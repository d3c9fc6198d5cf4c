"""Timeouts of routes that change while requests are under way, in the soak of deaths."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator, Sequence
from typing import Final

from msgspec.structs import replace

from bench.soak_checks import Violation
from bench.soak_overlap_callers import ROUTES, OverlapCall
from bench.soak_overlap_checks import TIMEOUT_MS
from bench.soak_overlaps import PUBLISHED, make_overlaps_configuration
from bench.soak_rig import SoakRig
from bench.soak_silence_checks import Published, find_limit_s, list_in_force
from gypsumrouter.const import MS_PER_S

# Pauses between configurations, some of which come in series.
PAUSES_S: Final = ((0.05, 0.2), (1.0, 4.0))
# The others have a timeout that is longer than any request takes.
SHORT_SHARE: Final = 0.15
SHORT_MS: Final = (200, 3_000)
# Rule CONFIG: so many requests, and over such a share of those that reach their timeout, are still
# without an end so long after it.
MAX_HELD: Final = 7
MAX_HELD_SHARE: Final = 0.25
HELD_S: Final = 0.5


class ChangingTimeouts:
    """Publishes configurations that draw the timeout of each route; `published` has them."""

    def __init__(self, *, rig: SoakRig, seed: int) -> None:
        self._rig = rig
        self._rng = random.Random(f"{seed}/c")
        self.published: list[Published] = []

    async def async_run(self) -> None:
        """Publish until cancelled."""
        while True:
            await self.async_publish()
            await asyncio.sleep(self._rng.uniform(*self._rng.choice(PAUSES_S)))

    async def async_publish(self) -> None:
        """Publish the next version."""
        timeouts_ms = {
            name: self._rng.randint(*SHORT_MS) if self._rng.random() < SHORT_SHARE else TIMEOUT_MS
            for name in ROUTES
        }
        self._rig.version += 1
        timeouts_s = {name: timeout_ms / MS_PER_S for name, timeout_ms in timeouts_ms.items()}
        self.published.append(replace(PUBLISHED, at_s=time.monotonic(), timeouts_s=timeouts_s))
        configuration = make_overlaps_configuration(self._rig.version, timeouts_ms)
        await self._rig.store.async_put_configuration(configuration)


def limit_calls(calls: Sequence[OverlapCall], published: Sequence[Published]) -> list[OverlapCall]:
    """Return requests with the shortest of their limits in place of their deadline."""
    return [replace(call, deadline_s=find_limit_s(call, published)) for call in calls]


def check_held(calls: Sequence[OverlapCall], published: Sequence[Published]) -> Iterator[Violation]:
    """Check that requests end with the longest timeout that was in force while they ran.

    Callers that rest or read slowly hold up their answers themselves.
    """
    reached = []
    for call in calls:
        limit_s = max(p.timeouts_s[call.route] for p in list_in_force(call, published))
        took_s = call.answer.ended_s - call.answer.sent_s
        if call.manner in ("new", "kept") and took_s >= limit_s:
            reached.append((call, took_s - limit_s))
    held = [(call, late_s) for call, late_s in reached if late_s > HELD_S]
    if len(held) > max(MAX_HELD, len(reached) * MAX_HELD_SHARE):
        for call, late_s in held:
            yield Violation(
                guarantee="held past its timeout",
                request_id=call.answer.request_id,
                detail=f"{call.route} {call.answer.end} {call.answer.status}, {late_s:.2f} s late",
            )
