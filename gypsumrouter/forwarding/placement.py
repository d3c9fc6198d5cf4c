"""Which upstream a request goes to: the cheapest by prompt tokens to read again and by load.

Answers this load: a few prompts of about ten thousand tokens are shared by many requests, and some
of them are suddenly in high demand. Reading such a prompt again takes an engine 0.12 s, in which
all its streams stand still; sending all of its requests to one engine overloads that one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

# Prompt tokens that an engine reads in a millisecond, from the published trait of the engines.
READ_TOKENS_PER_MS: Final = 80.0
# What one more running request costs the others: 0.08 ms a step over about 100 steps.
LOAD_MS: Final = 6.0
# What a request that waits for a slot of a plain service costs, in units of its mean service time.
WAIT_MS: Final = 20.0
# A prompt that nobody is known to hold goes to the first of its own stable order, where another
# router would send it too; the others count as if they had to read half of it once more.
STRANGER_SHARE: Final = 0.5
# Requests and answers between data centres cost bytes; a nearer upstream wins among equals.
FAR_MS: Final = 4.0


@dataclass(slots=True, kw_only=True)
class Candidate:
    """One upstream as it looks for one request.

    `load` counts the requests that all routers have there, `pending_tokens` the prompt tokens that
    wait to be read there, `missing_tokens` those of this prompt that it has to read.
    `penalty_ms` is what its recent failures are expected to cost.
    """

    upstream: str
    load: int
    slots: int
    near: bool
    pending_tokens: int = 0
    missing_tokens: int = 0
    stranger: bool = False
    penalty_ms: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Cap:
    """The bound on skew: a multiple of the mean load of a service, and a floor."""

    factor: float
    slack: float

    def allows(self, *, load: int, mean: float) -> bool:
        """Return whether an upstream with `load` may take one more request."""
        return load + 1 <= self.factor * mean + self.slack


def choose(
    candidates: Sequence[Candidate], *, cap: Cap, mean: float, shared_tokens: int
) -> Candidate | None:
    """Return the cheapest candidate under the cap, or the least loaded one if none is under it."""
    if not candidates:
        return None
    allowed = [c for c in candidates if cap.allows(load=c.load, mean=mean)]
    if not allowed:
        return min(candidates, key=lambda c: (c.penalty_ms + c.load * LOAD_MS, c.upstream))
    return min(allowed, key=lambda c: (estimate_ms(c, shared_tokens=shared_tokens), c.upstream))


def estimate_ms(candidate: Candidate, *, shared_tokens: int) -> float:
    """Return what a request costs at a candidate, in milliseconds of an engine's time."""
    cost = (candidate.missing_tokens + candidate.pending_tokens) / READ_TOKENS_PER_MS
    if candidate.stranger:
        cost += STRANGER_SHARE * shared_tokens / READ_TOKENS_PER_MS
    cost += candidate.load * LOAD_MS
    waiting = candidate.load + 1 - candidate.slots
    if waiting > 0:
        cost += waiting * WAIT_MS
    if not candidate.near:
        cost += FAR_MS
    return cost + candidate.penalty_ms


def order_by_affinity(upstreams: Sequence[str], *, affinity: int) -> list[str]:
    """Return the upstreams in the stable order of a prompt, by rendezvous hashing."""
    seed = affinity.to_bytes(8, "little")
    return sorted(upstreams, key=lambda name: xxhash.xxh3_64_intdigest(seed + name.encode()))
