"""Placement cost model: chooses the upstream with the lowest cost of prefill, copying and load.

Many requests share a few long prompts. Sending them to the engine that has the prompt cached saves
prefill time, during which all streams of an engine stall; the load cap keeps a popular prompt from
overloading that engine.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Final

import xxhash
from msgspec import Struct

from gypsumrouter.contention import Expected
from gypsumrouter.forwarding.prefill_speed import PRIOR_TOKENS_PER_MS

# Cost of copying cached tokens from another engine: a set-up time and a rate. The rate is set below
# the real one, because a copy also evicts other prompts from the cache of the receiving engine.
FETCH_SETUP_MS: Final = 10.0
FETCH_TOKENS_PER_MS: Final = 40.0
# Cost of prefilling a prompt that another engine has cached: twice that of copying it.
# Prefilling takes the engine five times as long as the copy. With a higher cost, requests would
# stay at an engine that fails three of four.
REDUNDANT_PREFILL_TOKENS_PER_MS: Final = FETCH_TOKENS_PER_MS / 2
# Shorter prompts are prefilled faster than a copy is set up.
MIN_FETCH_TOKENS: Final = 256
# Cost of each running request at the upstream.
# A prefill is paid for each time, so load counts a quarter of what it takes from the others; the
# cap bounds the rest.
LOAD_COST_MS: Final = 0.5
# Cost of each request that waits for a slot at the upstream.
QUEUED_COST_MS: Final = 20.0
# Surcharge on upstreams that are not first in the rendezvous order of a prompt that is cached
# nowhere, as a share of the prompt's prefill time. It makes routers agree on one upstream.
OFF_AFFINITY_SHARE: Final = 1.0
# The same surcharge if some upstream has the prompt cached; decides only between similar costs.
CACHED_OFF_AFFINITY_SHARE: Final = 0.1
# Surcharge on upstreams in another data centre, for the traffic between data centres.
REMOTE_COST_MS: Final = 4.0
# A plain upstream is clearly slower than the fastest one if its expected completion time is this
# many times as long. Smaller differences are within the error of reports some 100 ms old: at 1.5,
# more requests were late or refused near capacity.
CLEARLY_SLOWER: Final = 2.0
# The ratio of expected completion times is limited to this. It keeps some requests at an upstream
# that wrongly appears slow, so that its next responses correct the estimate.
MAX_SLOWNESS: Final = 5.0

NO_EXPECTATIONS: Final[Mapping[str, float]] = MappingProxyType({})


class Candidate(Struct, kw_only=True):
    """An upstream and its state as seen by the placement of one request.

    `load` is the number of running requests of all routers, `own_load` that of this router.
    `pending_tokens` are prompt tokens that wait for prefill there. `missing_tokens` are the tokens
    of this prompt that are not in its cache, of which `fetchable_tokens` can be copied from another
    engine. `off_affinity` is set if another upstream comes first in the rendezvous order of the
    prompt. `penalty_ms` is the cost of its recent failures and of its silence.
    `unreported` is a randomized estimate of the requests that `load` misses; it counts towards the
    cap only. `slowness` is how long a prefill takes there, as a multiple of the
    time at all engines. `overcommitted_tokens` is by how much the request would exceed its memory.
    `copies_ahead` is set if a prompt in high demand is spread to this upstream: the copy serves all
    requests that follow, so it is not counted as a cost of this one.
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
    unreported: float = 0.0
    slowness: float = 1.0
    overcommitted_tokens: int = 0
    copies_ahead: bool = False


class Cap(Struct, frozen=True, kw_only=True):
    """The load cap of an upstream: a multiple of the mean load of its service, plus a constant."""

    factor: float
    slack: float

    def allows(self, *, load: float, mean: float) -> bool:
        """Return whether an upstream with `load` running requests may receive another one."""
        return load + 1 <= self.factor * mean + self.slack


class CostModel(Struct, frozen=True, kw_only=True):
    """Parameters of the cost estimate that are the same for all candidates of a request.

    `off_affinity_ms` is the surcharge on `off_affinity` candidates; `cached` is set if some engine
    has the shared parts of the prompt in its cache. `own_tokens` are the tokens that only this
    request has, which every engine has to prefill.
    """

    prefill_tokens_per_ms: float
    off_affinity_ms: float
    cached: bool
    own_tokens: int = 0


def choose(
    candidates: Sequence[Candidate],
    *,
    cap: Cap,
    mean: float,
    shared_tokens: int,
    cached: bool,
    own_tokens: int = 0,
    prefill_tokens_per_ms: float = PRIOR_TOKENS_PER_MS,
) -> Candidate | None:
    """Return the cheapest candidate below the cap; if there is none, the least loaded candidate.

    A candidate without memory for the request costs more than any that has it, because a request
    that is preempted later is prefilled twice; of those without, the least overcommitted is chosen.
    `cached` is set if some upstream is known to have the shared parts of the prompt in its cache.
    """
    if not candidates:
        return None
    allowed = _select_below_cap(candidates, cap, mean)
    if not allowed:
        return min(candidates, key=lambda c: (c.penalty_ms + c.load * LOAD_COST_MS, c.upstream))
    share = CACHED_OFF_AFFINITY_SHARE if cached else OFF_AFFINITY_SHARE
    costs = CostModel(
        prefill_tokens_per_ms=prefill_tokens_per_ms,
        off_affinity_ms=share * shared_tokens / prefill_tokens_per_ms,
        cached=cached,
        own_tokens=own_tokens,
    )
    return min(
        allowed,
        key=lambda c: (c.overcommitted_tokens, estimate_cost_ms(c, costs), c.upstream),
    )


def estimate_cost_ms(candidate: Candidate, costs: CostModel) -> float:
    """Return the estimated cost of a request at a candidate, in milliseconds of engine time."""
    prefill_tokens = candidate.missing_tokens - candidate.fetchable_tokens
    cost = candidate.pending_tokens / costs.prefill_tokens_per_ms
    cost += prefill_tokens / (
        REDUNDANT_PREFILL_TOKENS_PER_MS if costs.cached else costs.prefill_tokens_per_ms
    )
    # Cost of a slow engine: the additional time of every prefill there. The redundant prefill above
    # is a price for the service, which does not depend on the engine.
    engine_tokens = candidate.pending_tokens + prefill_tokens + costs.own_tokens
    cost += (candidate.slowness - 1) * engine_tokens / costs.prefill_tokens_per_ms
    if candidate.fetchable_tokens and not candidate.copies_ahead:
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


def estimate_first_event(
    *,
    load: int,
    slots: int,
    pending_tokens: int,
    prefill_tokens: int,
    fetched_tokens: int,
    prefill_tokens_per_ms: float,
    base_ms: float,
) -> Expected:
    """Return the expected time to the first event of a request at a model engine.

    `prefill_tokens` of its prompt are prefilled, `fetched_tokens` are copied from another engine.
    `base_ms` is the time that a prompt without either takes on an idle engine.
    """
    backlog_ms = pending_tokens / prefill_tokens_per_ms
    backlog_ms += max(0, load + 1 - slots) * QUEUED_COST_MS
    own_ms = base_ms + prefill_tokens / prefill_tokens_per_ms
    if fetched_tokens:
        own_ms += FETCH_SETUP_MS + fetched_tokens / FETCH_TOKENS_PER_MS
    return Expected(backlog_ms=backlog_ms, own_ms=own_ms)


def choose_plain(
    candidates: Sequence[Candidate],
    *,
    cap: Cap,
    mean: float,
    expected_ms: Mapping[str, float] = NO_EXPECTATIONS,
) -> Candidate | None:
    """Return an upstream for a request without a prompt; None if there is no candidate.

    Chooses the upstream with the fewest requests of this router; ties are broken by a random choice
    that favours a low total load. Loads reported by peers are some hundred milliseconds old:
    routers that all followed them would send to the same upstream at the same time (herding).

    `expected_ms` is the expected completion time at each candidate, as far as known. It replaces
    the load in the weights of a tie, and candidates that are clearly slower than the fastest one
    are passed over at random, the more often the slower they are.
    """
    if not candidates:
        return None
    allowed = _select_below_cap(candidates, cap, mean) or candidates
    slowness = _get_slowness(allowed, expected_ms)
    allowed = [c for c in allowed if not _is_passed_over(slowness.get(c.upstream, 1.0))]
    fewest = min(map(_count_own, allowed))
    equals = [c for c in allowed if _count_own(c) == fewest]
    if slowness:
        weights = [1 / slowness.get(c.upstream, 1.0) for c in equals]
    else:
        weights = [1 / (1 + c.load) for c in equals]
    return random.choices(equals, weights)[0]


def _get_slowness(
    candidates: Sequence[Candidate], expected_ms: Mapping[str, float]
) -> dict[str, float]:
    """Return the ratio of each expected completion time to the shortest one, at most the limit."""
    known = {c.upstream: expected_ms[c.upstream] for c in candidates if c.upstream in expected_ms}
    shortest_ms = min(known.values(), default=0.0)
    if shortest_ms <= 0:
        return {}
    return {upstream: min(MAX_SLOWNESS, ms / shortest_ms) for upstream, ms in known.items()}


def _is_passed_over(slowness: float) -> bool:
    """Decide at random whether to pass over an upstream; never the fastest one."""
    return slowness > CLEARLY_SLOWER and random.random() * slowness > CLEARLY_SLOWER


def _select_below_cap(candidates: Sequence[Candidate], cap: Cap, mean: float) -> list[Candidate]:
    return [c for c in candidates if cap.allows(load=c.load + c.unreported, mean=mean)]


def _count_own(candidate: Candidate) -> int:
    """Return the number of this router's requests, with the failure penalty as extra requests."""
    return candidate.own_load + int(candidate.penalty_ms / QUEUED_COST_MS)


def choose_by_affinity(upstreams: Iterable[str], *, affinity: int) -> str:
    """Return the first upstream in the rendezvous order of a prompt; `upstreams` is not empty."""
    seed = affinity.to_bytes(8, "little")
    return min(upstreams, key=lambda name: xxhash.xxh3_64_intdigest(seed + name.encode()))


def order_by_affinity(upstreams: Sequence[str], *, affinity: int) -> list[str]:
    """Return the upstreams in the order of a prompt by rendezvous hashing."""
    seed = affinity.to_bytes(8, "little")
    return sorted(upstreams, key=lambda name: xxhash.xxh3_64_intdigest(seed + name.encode()))
