"""The parts of placement for uneven engines and uneven demand, each of which may be disabled."""

from __future__ import annotations

from collections.abc import Sequence

from gypsumrouter.forwarding.candidates import make_affinity
from gypsumrouter.forwarding.engine_memory import EngineMemory, HeldTokens, MemoryDemand
from gypsumrouter.forwarding.engine_speed import EngineSpeeds
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.placed import SentRequest
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.prefill_speed import PrefillSpeed
from gypsumrouter.forwarding.prompt_spread import PromptSpread, choose_spread_engine
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention


class UnevenLoad:
    """Holds the parts that are built, and passes on the progress of requests to them.

    None is built without the setting `contention`.
    """

    __slots__ = ("engine_memory", "engine_speeds", "prompt_spread")

    def __init__(
        self,
        *,
        contention: Contention | None,
        without: frozenset[Mechanism],
        prefill_speed: PrefillSpeed,
    ) -> None:
        self.engine_speeds: EngineSpeeds | None = None
        self.engine_memory: EngineMemory | None = None
        self.prompt_spread: PromptSpread | None = None
        if contention is None:
            return
        if Mechanism.ENGINE_SPEED not in without:
            self.engine_speeds = EngineSpeeds(service=prefill_speed)
        if Mechanism.ENGINE_MEMORY not in without:
            self.engine_memory = EngineMemory()
        # Without copies, all engines of a spread prompt would have to prefill it.
        if without.isdisjoint((Mechanism.PROMPT_SPREAD, Mechanism.CACHE_TRANSFER)):
            self.prompt_spread = PromptSpread()

    def make_demand(self, service: str, prompt: Prompt | None) -> MemoryDemand | None:
        """Return the memory that a request needs; None if it is unknown."""
        if self.engine_memory is None:
            return None
        return self.engine_memory.make_demand(service, prompt)

    def choose_spread(
        self, upstreams: Sequence[str], *, prompt: Prompt, mean: float, cap: Cap, now_ms: int
    ) -> str | None:
        """Return the upstream of a request whose prompt one engine can't sustain, or None."""
        if self.prompt_spread is None:
            return None
        part = prompt.shared[-1].part
        count = self.prompt_spread.count_engines(part, mean=mean, cap=cap, now_ms=now_ms)
        if count == 1:
            return None
        affinity = make_affinity(prompt.shared)
        return choose_spread_engine(upstreams, prompt=prompt, affinity=affinity, n=count)

    def note_sent(self, upstream: str, *, service: str, prompt: Prompt) -> HeldTokens | None:
        """Record a request that is sent; return what it holds in the engine's memory."""
        if self.engine_memory is None:
            return None
        return self.engine_memory.begin(upstream, service=service, prompt=prompt)

    def note_first_event(self, sent: SentRequest, *, first_event_ms: int, now_ms: int) -> None:
        """Record the time to the first event of an uncontended request."""
        if self.engine_speeds is not None:
            self.engine_speeds.note(
                sent.upstream, tokens=sent.tokens, first_event_ms=first_event_ms, now_ms=now_ms
            )

    def note_ended(self, sent: SentRequest, *, held_ms: int) -> None:
        """Record that an attempt has ended, and how long it counted as running."""
        if self.engine_memory is not None and sent.held is not None:
            self.engine_memory.end(sent.upstream, sent.held)
        if self.prompt_spread is not None and sent.shared_part is not None:
            self.prompt_spread.note_ended(sent.shared_part, held_ms=held_ms)

    def note_output(self, prompt: Prompt | None, *, tokens: int) -> None:
        """Record the output of a complete response, in tokens."""
        if self.engine_memory is not None and prompt is not None:
            self.engine_memory.note_output(prompt.model, tokens=tokens)

    def sweep(self, *, now_ms: int) -> None:
        """Drop expired measurements."""
        if self.engine_speeds is not None:
            self.engine_speeds.sweep(now_ms=now_ms)

    def forget(self, upstream: str) -> None:
        """Drop the measurements of an upstream that was removed."""
        if self.engine_speeds is not None:
            self.engine_speeds.forget(upstream)
