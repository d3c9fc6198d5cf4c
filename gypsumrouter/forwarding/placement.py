"""Which upstream a request goes to: the cheapest by prompt tokens to read again and by load.

Answers this load: a few prompts of about ten thousand tokens are shared by many requests, and some
of them are suddenly in high demand. Reading such a prompt again takes an engine 0.12 s, in which
all its streams stand still; sending all of its requests to one engine overloads that one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

import xxhash
from msgspec import Struct

from gypsumrouter.forwarding.reading import PRIOR_TOKENS_PER_MS

# Copying cached tokens from another engine: 10 ms to set it up, and per token more than it takes.
# A wait behind the engine that holds a prompt costs nothing while its first event is in time; a
# copy is paid for at once, and pushes out what others use.
FETCH_SETUP_MS: Final = 10.0
FETCH_TOKENS_PER_MS: Final = 40.0
# Reading what another engine holds takes the engine five times as long as the copy and is twice as
# dear here: more, and requests would stay at an engine that fails three of four.
REDUNDANT_PREFILL_TOKENS_PER_MS: Final = FETCH_TOKENS_PER_MS / 2
# Below this a prompt is read faster than a copy is set up.
MIN_FETCH_TOKENS: Final = 256
# What one more running request costs the others, in each step to a first event. Reading a prompt
# again is paid for each time, so that load counts a quarter of its time; the cap bounds the rest.
LOAD_COST_MS: Final = 0.5
# What a request that waits for a slot of a plain service costs, in units of its mean service time.
QUEUED_COST_MS: Final = 20.0
# A prompt that nobody is cached to hold goes to the first of its own stable order, where another
# router would send it too; the others count as if they had to read it twice.
OFF_AFFINITY_SHARE: Final = 1.0
# Where a holder is cached the order only decides between equals, so that routers agree.
CACHED_OFF_AFFINITY_SHARE: Final = 0.1
# Requests and answers between data centres cost bytes; a nearer upstream wins among equals.
REMOTE_COST_MS: Final = 4.0


class Candidate(Struct, kw_only=True):
    """One upstream as it looks for one request.

    `load` counts the requests that all routers have there, `own_load` those of this one.
    `pending_tokens` are the prompt tokens that wait to be read there, `missing_tokens` those of
    this prompt that it has to read, of which `fetchable_tokens` can be copied from another engine.
    `off_affinity` is one that does not come first in the stable order of a prompt that nobody holds.
    `penalty_ms` is what its recent failures are expected to cost.
    """

    upstream: str
    load: int
    slots: int
    same_data_centre: bool
    own_load: int = 0
    pending_tokens: int = 0
    missing_tokens: int = 0
    fetchable_tokens: int = 0
    off_affinity: bool = False
    penalty_ms: float = 0.0


class Cap(Struct, frozen=True, kw_only=True):
    """The bound on skew: a multiple of the mean load of a service, and a floor."""

    factor: float
    slack: float

    def allows(self, *, load: int, mean: float) -> bool:
        """Return whether an upstream with `load` may take one more request."""
        return load + 1 <= self.factor * mean + self.slack


class CostModel(Struct, frozen=True, kw_only=True):
    """What all candidates of one request have in common.

    `off_affinity_ms` is added where a prompt would be a off_affinity, `cached` says that some engine has it.
    """

    prefill_tokens_per_ms: float
    off_affinity_ms: float
    cached: bool


def choose(
    candidates: Sequence[Candidate],
    *,
    cap: Cap,
    mean: float,
    shared_tokens: int,
    cached: bool,
    prefill_tokens_per_ms: float = PRIOR_TOKENS_PER_MS,
) -> Candidate | None:
    """Return the cheapest candidate under the cap, or the least loaded one if none is under it.

    `cached` says that some upstream is cached to hold the shared part of the prompt,
    `prefill_tokens_per_ms` how fast engines read.
    """
    if not candidates:
        return None
    allowed = [c for c in candidates if cap.allows(load=c.load, mean=mean)]
    if not allowed:
        return min(candidates, key=lambda c: (c.penalty_ms + c.load * LOAD_COST_MS, c.upstream))
    share = CACHED_OFF_AFFINITY_SHARE if cached else OFF_AFFINITY_SHARE
    costs = CostModel(
        prefill_tokens_per_ms=prefill_tokens_per_ms,
        off_affinity_ms=share * shared_tokens / prefill_tokens_per_ms,
        cached=cached,
    )
    return min(allowed, key=lambda c: (estimate_cost_ms(c, costs), c.upstream))


def estimate_cost_ms(candidate: Candidate, costs: CostModel) -> float:
    """Return what a request costs at a candidate, in milliseconds of an engine's time."""
    read = candidate.missing_tokens - candidate.fetchable_tokens
    cost = candidate.pending_tokens / costs.prefill_tokens_per_ms
    cost += read / (
        REDUNDANT_PREFILL_TOKENS_PER_MS if costs.cached else costs.prefill_tokens_per_ms
    )
    if candidate.fetchable_tokens:
        cost += FETCH_SETUP_MS + candidate.fetchable_tokens / FETCH_TOKENS_PER_MS
    if candidate.off_affinity:
        cost += costs.off_affinity_ms
    cost += candidate.load * LOAD_COST_MS
    waiting = candidate.load + 1 - candidate.slots
    if waiting > 0:
        cost += waiting * QUEUED_COST_MS
    if not candidate.same_data_centre:
        cost += REMOTE_COST_MS
    return cost + candidate.penalty_ms


def choose_plain(candidates: Sequence[Candidate], *, cap: Cap, mean: float) -> Candidate | None:
    """Return an upstream for a request without a prompt; None where there is no candidate.

    The fewest of this router's own requests decide, then chance. What peers told is some hundred
    milliseconds old: where all routers follow it, they all turn to the same upstream, fill its
    queue, and turn away from it together.
    """
    if not candidates:
        return None
    allowed = [c for c in candidates if cap.allows(load=c.load, mean=mean)] or candidates
    fewest = min(map(_count_own, allowed))
    equals = [c for c in allowed if _count_own(c) == fewest]
    weights = [1 / (1 + c.load) for c in equals]
    return random.choices(equals, weights)[0]


def _count_own(candidate: Candidate) -> int:
    """Return this router's requests there; what failed there counts as some more of them."""
    return candidate.own_load + int(candidate.penalty_ms / QUEUED_COST_MS)


def choose_by_affinity(upstreams: Iterable[str], *, affinity: int) -> str:
    """Return the first upstream in the stable order of a prompt; there has to be one."""
    seed = affinity.to_bytes(8, "little")
    return min(upstreams, key=lambda name: xxhash.xxh3_64_intdigest(seed + name.encode()))


def order_by_affinity(upstreams: Sequence[str], *, affinity: int) -> list[str]:
    """Return the upstreams in the stable order of a prompt, by rendezvous hashing."""
    seed = affinity.to_bytes(8, "little")
    return sorted(upstreams, key=lambda name: xxhash.xxh3_64_intdigest(seed + name.encode()))
