"""Loads for the replay of placement: kinds of requests with shared prompts, as recorded."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from gypsumrouter.forwarding.models import Prompt, PromptPart

MS_PER_S: Final = 1_000
MODEL: Final = "m"


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """One kind of request: `prompts` different shared parts, asked for by Zipf's law."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    prompts: int
    skew: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """What the routers meet; the most popular prompt of each kind is hot for a while.

    From `hot_from_ms` to `hot_to_ms` a share of `hot_share` of the requests asks for it.
    """

    name: str
    routers: int
    engines: int
    engine_tokens: int
    slots: int
    kinds: tuple[Kind, ...]
    duration_ms: int
    hot_from_ms: int
    hot_to_ms: int
    hot_share: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Arrival:
    """One request at one router."""

    at_ms: int
    router: int
    kind: str
    prompt: Prompt


SMALL: Final = Load(
    name="three routers, six engines",
    routers=3,
    engines=6,
    engine_tokens=655_000,
    slots=64,
    kinds=(
        Kind(
            name="long",
            per_s=14,
            shared_tokens=10_512,
            own_tokens=1_300,
            output_tokens=532,
            prompts=60,
            skew=0.8,
        ),
        Kind(
            name="chat",
            per_s=20,
            shared_tokens=699,
            own_tokens=130,
            output_tokens=406,
            prompts=60,
            skew=0.8,
        ),
        Kind(
            name="short",
            per_s=22,
            shared_tokens=2_041,
            own_tokens=360,
            output_tokens=35,
            prompts=60,
            skew=0.8,
        ),
    ),
    duration_ms=60_000,
    hot_from_ms=25_000,
    hot_to_ms=35_000,
    hot_share=0.4,
)
LARGE: Final = Load(
    name="thirty routers, twenty-eight engines",
    routers=30,
    engines=28,
    engine_tokens=360_594,
    slots=64,
    kinds=(
        Kind(
            name="long",
            per_s=66,
            shared_tokens=10_512,
            own_tokens=1_300,
            output_tokens=385,
            prompts=300,
            skew=0.8,
        ),
        Kind(
            name="chat",
            per_s=96,
            shared_tokens=699,
            own_tokens=130,
            output_tokens=294,
            prompts=300,
            skew=0.8,
        ),
        Kind(
            name="short",
            per_s=107,
            shared_tokens=2_041,
            own_tokens=360,
            output_tokens=21,
            prompts=300,
            skew=0.8,
        ),
    ),
    duration_ms=60_000,
    hot_from_ms=25_000,
    hot_to_ms=35_000,
    hot_share=0.4,
)


def make_arrivals(load: Load, *, seed: int) -> Iterator[Arrival]:
    """Return the requests of a load in order of time; the same ones for the same seed."""
    rng = random.Random(seed)
    streams = [_make_kind(load, number, rng) for number in range(len(load.kinds))]
    arrivals = [arrival for stream in streams for arrival in stream]
    return iter(sorted(arrivals, key=lambda arrival: arrival.at_ms))


def _make_kind(load: Load, number: int, rng: random.Random) -> Iterator[Arrival]:
    kind = load.kinds[number]
    weights = [1 / (rank + 1) ** kind.skew for rank in range(kind.prompts)]
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(kind.per_s) * MS_PER_S
        if at_ms >= load.duration_ms:
            return
        hot = load.hot_from_ms <= at_ms < load.hot_to_ms and rng.random() < load.hot_share
        rank = 0 if hot else rng.choices(range(kind.prompts), weights)[0]
        shared = PromptPart(part=(number << 32) + rank, tokens=kind.shared_tokens)
        own = PromptPart(part=rng.getrandbits(60) | 1 << 62, tokens=kind.own_tokens)
        prompt = Prompt(
            model=MODEL,
            parts=(shared, own),
            input_tokens=kind.shared_tokens + kind.own_tokens,
            max_output_tokens=kind.output_tokens,
        )
        yield Arrival(
            at_ms=int(at_ms), router=rng.randrange(load.routers), kind=kind.name, prompt=prompt
        )
