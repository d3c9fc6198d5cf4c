"""Estimates the tokens that running requests hold in the memory of each engine.

An engine whose memory is exhausted preempts a running request and prefills it again later.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.routing import RoutingTable

# Expected output before the first complete response of a model.
PRIOR_OUTPUT_TOKENS: Final = 200.0
# Weight of a new value in the exponentially weighted moving averages.
EWMA_WEIGHT: Final = 0.05
# New values are clamped to this multiple of the average. Callers state the size of their prompts;
# a wrong one must not make all engines look full.
OUTLIER_FACTOR: Final = 4.0
# Precision of the excess of an engine without memory, as a share of the memory. Requests of peers
# are counted with a mean, and a prompt should not leave the engine that has it cached for less:
# with 0.25 and less, engines that are all full prefilled more again in the replay.
STEP_SHARE: Final = 0.5
# Models whose mean output is kept; callers name the model.
MAX_MODELS: Final = 256


class HeldTokens(Struct, frozen=True, kw_only=True):
    """What a running request holds in an engine's memory: prompt parts, and tokens of output."""

    parts: tuple[PromptPart, ...]
    output: int


class MemoryDemand(Struct, frozen=True, kw_only=True):
    """The tokens that a request needs, the memory of an engine, and the mean of peers' requests.

    `shared_tokens` are those of the parts that other requests may share.
    """

    held: HeldTokens
    tokens: int
    shared_tokens: int
    capacity: int
    peer_tokens: float


class _EngineUsage:
    """Running requests of this router at one engine: their tokens, and their prompt parts.

    `parts` holds the number of requests that use a part, and its tokens as first stated.
    """

    __slots__ = ("parts", "requests", "service", "tokens")

    def __init__(self, *, service: str) -> None:
        self.service = service
        self.requests = 0
        self.tokens = 0
        self.parts: dict[int, tuple[int, int]] = {}

    def add(self, held: HeldTokens) -> int:
        """Count a request; return the tokens that it adds to those of the others."""
        added = held.output
        for part in held.parts:
            users, tokens = self.parts.get(part.part, (0, part.tokens))
            self.parts[part.part] = (users + 1, tokens)
            added += 0 if users else tokens
        self.requests += 1
        self.tokens += added
        return added

    def remove(self, held: HeldTokens) -> int:
        """Remove a request that was added; return the tokens that no other one holds."""
        removed = held.output
        for part in held.parts:
            users, tokens = self.parts.pop(part.part)
            if users > 1:
                self.parts[part.part] = (users - 1, tokens)
            else:
                removed += tokens
        self.requests -= 1
        self.tokens -= removed
        return removed


class _ServiceUsage:
    """Running requests of this router at a service's engines, and their mean tokens.

    Long prompts run longer, so the mean is taken over running requests and not over sent ones.
    """

    __slots__ = ("mean_tokens", "requests", "tokens")

    def __init__(self) -> None:
        self.requests = 0
        self.tokens = 0
        self.mean_tokens: float | None = None

    def add(self, tokens: int) -> None:
        """Count a request and update the mean."""
        self.requests += 1
        self.tokens += tokens
        mean = self.tokens / self.requests
        self.mean_tokens = _average(self.mean_tokens, mean)

    def remove(self, tokens: int) -> None:
        """Remove a request that was added."""
        self.requests -= 1
        self.tokens -= tokens


class EngineMemory:
    """Tracks the tokens that running requests hold at each engine.

    A part that several requests of this router use at an engine counts once. A request of a peer
    counts with the mean of this router's running requests, so a part that several routers use at
    the same engine counts once for each of them: the estimate is too high there.
    """

    __slots__ = ("_by_service", "_by_upstream", "_capacities", "_output_tokens")

    def __init__(self) -> None:
        self._capacities: dict[str, int] = {}
        self._by_upstream: dict[str, _EngineUsage] = {}
        self._by_service: dict[str, _ServiceUsage] = {}
        # Mean output of a complete response, by model; the least recently used model is dropped.
        self._output_tokens: OrderedDict[str, float] = OrderedDict()

    def set_table(self, table: RoutingTable) -> None:
        """Read the memory of each service's engines from the routing table."""
        self.set_capacities(
            {
                service.name: service.engine.cache_tokens
                for service in table.configuration.services
                if service.engine is not None
            }
        )

    def set_capacities(self, capacities: Mapping[str, int]) -> None:
        """Replace the memory of an engine of each service, in tokens; 0 if it is unknown."""
        self._capacities = {name: tokens for name, tokens in capacities.items() if tokens > 0}
        for service, usage in tuple(self._by_service.items()):
            if service not in self._capacities and not usage.requests:
                del self._by_service[service]

    def make_demand(self, service: str, prompt: Prompt | None) -> MemoryDemand | None:
        """Return what a request needs; None if the memory of the service's engines is unknown."""
        capacity = self._capacities.get(service, 0)
        if prompt is None or not capacity:
            return None
        held = self._make_held(prompt, capacity)
        tokens = min(capacity, held.output + sum(part.tokens for part in held.parts))
        usage = self._by_service.get(service)
        mean = None if usage is None else usage.mean_tokens
        return MemoryDemand(
            held=held,
            tokens=tokens,
            shared_tokens=sum(part.tokens for part in prompt.shared),
            capacity=capacity,
            peer_tokens=float(tokens) if mean is None else mean,
        )

    def _make_held(self, prompt: Prompt, capacity: int) -> HeldTokens:
        expected = self._output_tokens.get(prompt.model, PRIOR_OUTPUT_TOKENS)
        parts = tuple(
            PromptPart(part=part.part, tokens=min(capacity, max(0, part.tokens)))
            for part in prompt.parts
        )
        return HeldTokens(
            parts=parts, output=min(capacity, int(expected), max(0, prompt.max_output_tokens))
        )

    def estimate_excess(
        self, upstream: str, demand: MemoryDemand, *, peer_running: int, cached_tokens: int
    ) -> int:
        """Return by how many tokens a request would exceed an engine's memory; 0 if it has room.

        An excess is rounded up to a multiple of `STEP_SHARE` of the memory.
        `peer_running` is the number of running requests of peers there. `cached_tokens` of the
        prompt are in its cache: engines evict what no running request uses, so in a full memory
        these are held by a running request already.
        """
        usage = self._by_upstream.get(upstream)
        excess = demand.tokens - demand.capacity + int(peer_running * demand.peer_tokens)
        if usage is not None:
            excess += usage.tokens
        excess -= min(cached_tokens, demand.tokens)
        if excess <= 0:
            return 0
        step = max(1, int(demand.capacity * STEP_SHARE))
        return -(-excess // step) * step

    def begin(self, upstream: str, *, service: str, prompt: Prompt) -> HeldTokens | None:
        """Count a request that is sent; return what it holds, to be passed to `end`."""
        demand = self.make_demand(service, prompt)
        if demand is None:
            return None
        usage = self._by_upstream.get(upstream)
        if usage is None:
            usage = self._by_upstream[upstream] = _EngineUsage(service=service)
        self._by_service.setdefault(service, _ServiceUsage()).add(usage.add(demand.held))
        return demand.held

    def end(self, upstream: str, held: HeldTokens) -> None:
        """Remove a request that has ended."""
        usage = self._by_upstream.get(upstream)
        if usage is None:
            return
        self._by_service[usage.service].remove(usage.remove(held))
        if not usage.requests:
            del self._by_upstream[upstream]

    def summarize(self) -> dict[str, dict[str, float]]:
        """Return the state for the dump, in tokens: capacities and mean sizes of requests."""
        return {
            "capacity": dict(self._capacities),
            "mean_request": {
                service: round(usage.mean_tokens or 0.0)
                for service, usage in self._by_service.items()
            },
            "mean_output": {model: round(mean) for model, mean in self._output_tokens.items()},
        }

    def note_output(self, model: str, *, tokens: int) -> None:
        """Record the output of a complete response, in tokens; 0 is ignored as unknown."""
        if tokens <= 0:
            return
        self._output_tokens[model] = _average(self._output_tokens.get(model), tokens)
        self._output_tokens.move_to_end(model)
        if len(self._output_tokens) > MAX_MODELS:
            self._output_tokens.popitem(last=False)


def _average(mean: float | None, value: float) -> float:
    if mean is None:
        return float(value)
    # The bound is at least `OUTLIER_FACTOR`, so that an average of 0 can grow.
    bounded = min(float(value), OUTLIER_FACTOR * max(1.0, mean))
    return mean + EWMA_WEIGHT * (bounded - mean)
