"""Spreads a prompt in high demand over several engines before the first one is expected late.

Without it, requests of a popular prompt stay at the engine that has it cached until that engine
reaches the load cap, and only then does another engine copy or prefill the prompt.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.placement import Cap, order_by_affinity

# Time constant of the decaying rates.
# Peers' placements arrive after up to half a second and must not fluctuate with the updates.
RATE_MS: Final = 3_000
# Share of the load between the mean of the service and the cap that one prompt may take. The rest
# allows for the delay of peers' reports. With 0.75 more requests wait, with 0.25 more are copied.
SUSTAINED_SHARE: Final = 0.5
# Parts whose rates are kept; the least recently placed one is dropped. It covers the placements of
# several time constants, and a part in high demand is always among the recent ones.
MAX_PARTS: Final = 8_192
# Weight of a request that has ended in the moving averages of how long requests run.
EWMA_WEIGHT: Final = 0.1


class _Demand:
    """Decaying count of the placements of a part, and how long its requests run."""

    __slots__ = ("count", "held_ms", "noted_ms")

    def __init__(self, *, now_ms: int) -> None:
        self.count = 0.0
        self.noted_ms = now_ms
        self.held_ms: float | None = None

    def get_count(self, now_ms: int) -> float:
        return self.count * math.exp(-max(0, now_ms - self.noted_ms) / RATE_MS)


class PromptSpread:
    """Determines over how many engines the requests of a prompt are spread.

    The engines are the first ones in the rendezvous order of the prompt. All routers use the same
    order, so the engines of routers with different estimates are nested.
    """

    __slots__ = ("_demands", "_held_ms")

    def __init__(self) -> None:
        self._demands: OrderedDict[int, _Demand] = OrderedDict()
        # Moving average over all prompts, in milliseconds; None before the first request has ended.
        self._held_ms: float | None = None

    def note_placed(self, part: int, *, now_ms: int) -> None:
        """Count a placement of a part by this router or a peer."""
        demand = self._demands.get(part)
        if demand is None:
            demand = self._demands[part] = _Demand(now_ms=now_ms)
            if len(self._demands) > MAX_PARTS:
                self._demands.popitem(last=False)
        else:
            self._demands.move_to_end(part)
        demand.count = demand.get_count(now_ms) + 1
        demand.noted_ms = now_ms

    def note_ended(self, part: int, *, held_ms: int) -> None:
        """Record how long an engine held a request whose last shared part is `part`."""
        self._held_ms = _average(self._held_ms, held_ms)
        demand = self._demands.get(part)
        if demand is not None:
            demand.held_ms = _average(demand.held_ms, held_ms)

    def estimate_running(self, part: int, *, now_ms: int) -> float:
        """Return the expected number of running requests with a part, over all routers."""
        demand = self._demands.get(part)
        if demand is None:
            return 0.0
        held_ms = self._held_ms if demand.held_ms is None else demand.held_ms
        return 0.0 if held_ms is None else demand.get_count(now_ms) / RATE_MS * held_ms

    def count_engines(self, part: int, *, mean: float, cap: Cap, now_ms: int) -> int:
        """Return over how many engines the requests with a part are spread; at least 1.

        One engine sustains a share of what the cap allows above `mean`, the mean load of the
        service, because it has the requests of other prompts as well.
        """
        running = self.estimate_running(part, now_ms=now_ms)
        sustained = ((cap.factor - 1) * mean + cap.slack) * SUSTAINED_SHARE
        return max(1, math.ceil(running / max(1.0, sustained)))


def choose_spread_engine(upstreams: Sequence[str], *, prompt: Prompt, affinity: int, n: int) -> str:
    """Return one of the first `n` upstreams in a prompt's order, by a hash of its last part.

    That part is not shared with other prompts. The choice does not depend on reported loads, which
    are old: routers that followed them would all send to the same engine. The requests of a chat
    stay at one engine.
    """
    order = order_by_affinity(upstreams, affinity=affinity)[:n]
    own = xxhash.xxh3_64_intdigest(prompt.parts[-1].part.to_bytes(8, "little"))
    return order[own % len(order)]


def _average(mean_ms: float | None, value_ms: int) -> float:
    return value_ms if mean_ms is None else mean_ms + EWMA_WEIGHT * (value_ms - mean_ms)
