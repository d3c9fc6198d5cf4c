"""Loads of the replays with uneven engines, uneven demand and little memory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.placement_load import Load, RequestKind, Tokens, make_kinds
from bench.placement_strategies import ProductPlacement
from bench.placements import Outcome, replay
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention

# The routers and engines of the first deployment of the design page; a warm-up of the caches takes
# half of the time.
EVEN: Final = Load(
    name="nine routers, twenty engines",
    routers=9,
    engines=20,
    engine_tokens=443_550,
    slots=64,
    kinds=make_kinds(rate_share=0.7, prompts=(348, 223, 248), output_scale=7.0),
    duration_ms=20_000,
    hot_from_ms=0,
    hot_to_ms=0,
    hot_share=0.0,
    lost_at_ms=1_000_000,
    lost_share=0.0,
    slowdowns=(1.0,),
)
THREE_SPEEDS: Final = replace(EVEN, slowdowns=(1.0, 1.5, 3.0))
# Long prompts that share little, of which the memory of an engine holds ten: a slow engine holds
# its requests four times as long as the others.
LONG_PROMPTS: Final = replace(
    EVEN,
    engine_tokens=120_000,
    kinds=(
        RequestKind(
            name="long",
            per_s=34.4,
            roots=1,
            root=Tokens(mean=512, spread=0.4),
            prompts=100,
            prompt=Tokens(mean=1_000, spread=0.4),
            skew=0.3,
            own=Tokens(mean=10_300, spread=0.4),
            output=Tokens(mean=600, spread=0.4),
        ),
    ),
    slowdowns=(1.0, 1.0, 1.0, 4.0),
)
# For ten seconds, half of the requests use the most popular prompt of their kind. The load cap
# allows more requests at one engine than it has slots.
HOT_PROMPT: Final = replace(
    EVEN, hot_from_ms=8_000, hot_to_ms=18_000, hot_share=0.5, slots=20, queues=True
)
PARTS: Final = frozenset({Mechanism.ENGINE_SPEED, Mechanism.ENGINE_MEMORY, Mechanism.PROMPT_SPREAD})


class FirstEvents(Struct, frozen=True, kw_only=True):
    """Times to the first event of a replay, in milliseconds."""

    mean: float
    p99: float
    worst: float


def replay_seeds(
    load: Load, seeds: tuple[int, ...], *, mechanism: Mechanism | None
) -> list[Outcome]:
    """Replay a load with a single one of the parts, or with none of them."""
    without = PARTS if mechanism is None else PARTS - {mechanism}

    def make_strategy() -> ProductPlacement:
        return ProductPlacement(load, contention=Contention(), without=without)

    return [replay(load, make_strategy(), seed=seed) for seed in seeds]


def average(outcomes: list[Outcome], read: Callable[[Outcome], float]) -> float:
    """Return the mean of a figure over the replays."""
    return sum(read(outcome) for outcome in outcomes) / len(outcomes)


def summarize_first_events(outcomes: list[Outcome]) -> FirstEvents:
    """Return the times to the first event over all replays."""
    times = sorted(time_ms for outcome in outcomes for time_ms in outcome.first_ms)
    return FirstEvents(
        mean=sum(times) / len(times), p99=times[len(times) * 99 // 100], worst=times[-1]
    )
