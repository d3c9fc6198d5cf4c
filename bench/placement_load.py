"""Request loads of the placement replay, modelled on a recorded load with shared prompts."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.models import Prompt, PromptPart

MS_PER_S: Final = 1_000
MODEL: Final = "m"
# Upper bound of a size, as a multiple of the mean.
MAX_SIZE_FACTOR: Final = 3.0


class Tokens(Struct, frozen=True, kw_only=True):
    """Log-normal distribution of sizes; `spread` is the standard deviation of the logarithm."""

    mean: float
    spread: float

    def draw(self, rng: random.Random) -> int:
        """Return a random size."""
        centre = math.log(self.mean) - self.spread**2 / 2
        return max(
            1, int(min(MAX_SIZE_FACTOR * self.mean, rng.lognormvariate(centre, self.spread)))
        )


class RequestKind(Struct, frozen=True, kw_only=True):
    """One kind of request.

    A prompt consists of one of `roots` root parts, one of `prompts` prompt parts, chosen by Zipf's
    law with the exponent `skew`, and a part that is unique to the request.
    """

    name: str
    per_s: float
    roots: int
    root: Tokens
    prompts: int
    prompt: Tokens
    skew: float
    own: Tokens
    output: Tokens


class Load(Struct, frozen=True, kw_only=True):
    """A load of the routers, and the engines that serve it.

    From `hot_from_ms` to `hot_to_ms`, the fraction `hot_share` of the requests uses the most
    popular prompt of its kind. At `lost_at_ms`, the fraction `lost_share` of the engines is
    replaced by engines with empty caches. `slowdowns` are the factors by which the engines are
    slower, used in turn. Engines run at most `slots` requests at once if `queues` is set.
    """

    name: str
    routers: int
    engines: int
    engine_tokens: int
    slots: int
    kinds: tuple[RequestKind, ...]
    duration_ms: int
    hot_from_ms: int
    hot_to_ms: int
    hot_share: float
    lost_at_ms: int
    lost_share: float
    slowdowns: tuple[float, ...] = (1.0, 1.0, 1.3)
    queues: bool = False


class Arrival(Struct, frozen=True, kw_only=True):
    """Arrival of one request at a router."""

    at_ms: int
    router: int
    kind: str
    prompt: Prompt


def make_kinds(
    *, rate_share: float, prompts: tuple[int, int, int], output_scale: float
) -> tuple[RequestKind, ...]:
    """Return the three recorded kinds.

    `rate_share` scales their rates and `output_scale` their output tokens.
    """
    long, chat, short = prompts
    return (
        RequestKind(
            name="long",
            per_s=72 * rate_share,
            roots=1,
            root=Tokens(mean=512, spread=0.4),
            prompts=long,
            prompt=Tokens(mean=10_000, spread=0.7),
            skew=0.3,
            own=Tokens(mean=1_300, spread=1.4),
            output=Tokens(mean=54.6 * output_scale, spread=0.44),
        ),
        RequestKind(
            name="chat",
            per_s=107 * rate_share,
            roots=80,
            root=Tokens(mean=119, spread=0.4),
            prompts=chat,
            prompt=Tokens(mean=580, spread=0.7),
            skew=0.3,
            own=Tokens(mean=130, spread=1.0),
            output=Tokens(mean=41.6 * output_scale, spread=0.69),
        ),
        RequestKind(
            name="short",
            per_s=117 * rate_share,
            roots=16,
            root=Tokens(mean=341, spread=0.4),
            prompts=short,
            prompt=Tokens(mean=1_700, spread=0.7),
            skew=0.3,
            own=Tokens(mean=360, spread=1.3),
            output=Tokens(mean=3.2 * output_scale, spread=1.4),
        ),
    )


SMALL: Final = Load(
    name="three routers, six engines",
    routers=3,
    engines=6,
    engine_tokens=655_000,
    slots=64,
    kinds=make_kinds(rate_share=0.2, prompts=(76, 60, 60), output_scale=9.8),
    duration_ms=34_000,
    hot_from_ms=7_000,
    hot_to_ms=13_000,
    hot_share=0.18,
    lost_at_ms=16_000,
    lost_share=0.34,
)
LARGE: Final = Load(
    name="thirty routers, twenty-eight engines",
    routers=30,
    engines=28,
    engine_tokens=360_594,
    slots=64,
    kinds=make_kinds(rate_share=1.0, prompts=(348, 223, 248), output_scale=7.0),
    duration_ms=34_000,
    hot_from_ms=7_000,
    hot_to_ms=13_000,
    hot_share=0.18,
    lost_at_ms=16_000,
    lost_share=0.25,
)


def make_arrivals(load: Load, *, seed: int) -> Iterator[Arrival]:
    """Return the requests of a load in order of time; deterministic for a seed."""
    rng = random.Random(seed)
    streams = [_generate_arrivals(load, number, rng) for number in range(len(load.kinds))]
    arrivals = [arrival for stream in streams for arrival in stream]
    return iter(sorted(arrivals, key=lambda arrival: arrival.at_ms))


def _generate_arrivals(load: Load, number: int, rng: random.Random) -> Iterator[Arrival]:
    kind = load.kinds[number]
    roots = [_make_part(number, 1, at, kind.root.draw(rng)) for at in range(kind.roots)]
    prompts = [_make_part(number, 2, at, kind.prompt.draw(rng)) for at in range(kind.prompts)]
    weights = [1 / (rank + 1) ** kind.skew for rank in range(kind.prompts)]
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(kind.per_s) * MS_PER_S
        if at_ms >= load.duration_ms:
            return
        hot = load.hot_from_ms <= at_ms < load.hot_to_ms and rng.random() < load.hot_share
        rank = 0 if hot else rng.choices(range(kind.prompts), weights)[0]
        own = PromptPart(part=rng.getrandbits(60) | 1 << 62, tokens=kind.own.draw(rng))
        parts = (roots[rank % kind.roots], prompts[rank], own)
        prompt = Prompt(
            model=MODEL,
            parts=parts,
            input_tokens=sum(part.tokens for part in parts),
            max_output_tokens=kind.output.draw(rng),
        )
        yield Arrival(
            at_ms=int(at_ms), router=rng.randrange(load.routers), kind=kind.name, prompt=prompt
        )


def _make_part(kind: int, level: int, number: int, tokens: int) -> PromptPart:
    return PromptPart(part=(kind << 48) + (level << 32) + number, tokens=tokens)
