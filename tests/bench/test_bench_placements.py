"""Tests of the placement replay: the placement of the router against its baselines."""

from __future__ import annotations

import json

import pytest
from msgspec.structs import replace

from bench.placement_engine import Engine
from bench.placement_load import LARGE, SMALL, Load, make_arrivals
from bench.placement_strategies import Hashing, LeastLoaded, ProductPlacement, RoundRobin
from bench.placements import main, replay
from gypsumrouter.forwarding.models import Prompt, PromptPart

# Shortened load, with the hot prompt in the middle of its duration.
SHORT: Load = replace(
    SMALL, duration_ms=15_000, hot_from_ms=4_000, hot_to_ms=8_000, lost_at_ms=10_000, hot_share=0.4
)


def make_prompt(shared: int, own: int, *, tokens: int = 1_000) -> Prompt:
    parts = (PromptPart(part=shared, tokens=tokens), PromptPart(part=own, tokens=100))
    return Prompt(model="m", parts=parts, input_tokens=tokens + 100, max_output_tokens=10)


def test_arrivals_are_deterministic_for_a_seed() -> None:
    assert list(make_arrivals(SHORT, seed=3)) == list(make_arrivals(SHORT, seed=3))
    assert list(make_arrivals(SHORT, seed=3)) != list(make_arrivals(SHORT, seed=4))


def test_engine_prefills_shared_part_once_and_copies_cached_parts() -> None:
    first, second = Engine(capacity=10_000), Engine(capacity=10_000)
    assert first.begin(make_prompt(1, 11), now_ms=0, source=None).prefilled_tokens == 1_000
    assert first.begin(make_prompt(1, 12), now_ms=0, source=None).prefilled_tokens == 0
    copied = second.begin(make_prompt(1, 13), now_ms=0, source=first)
    assert (copied.prefilled_tokens, copied.copied_tokens) == (0, 1_000)


def test_engine_evicts_oldest_part_without_running_requests() -> None:
    engine = Engine(capacity=2_300)
    running = make_prompt(1, 11)
    engine.begin(running, now_ms=0, source=None)
    for number in (2, 3):
        prompt = make_prompt(number, 20 + number)
        engine.begin(prompt, now_ms=0, source=None)
        engine.end(prompt)
    assert engine.begin(make_prompt(1, 14), now_ms=0, source=None).prefilled_tokens == 0
    assert engine.begin(make_prompt(2, 15), now_ms=0, source=None).prefilled_tokens == 1_000


def test_placement_prefills_about_as_little_as_hashing_without_skew() -> None:
    """The hot prompt stays within the load cap and costs at most 1/6 more prefill than hashing."""
    product = replay(SHORT, ProductPlacement(SHORT), seed=1).summarize()
    hashing = replay(SHORT, Hashing(SHORT), seed=1).summarize()
    assert product["skewed_percent"] == 0
    assert hashing["skewed_percent"] > 5
    assert product["read_first_percent"] + product["read_again_percent"] <= 7 / 6 * (
        hashing["read_first_percent"] + hashing["read_again_percent"]
    )


def test_thirty_routers_copy_little_with_stale_updates() -> None:
    """Stale updates about prompts that were prefilled since must not divert requests."""
    short = replace(LARGE, duration_ms=10_000, hot_share=0.0, lost_share=0.0)
    product = replay(short, ProductPlacement(short), seed=1).summarize()
    assert product["copied_percent"] < 5
    assert product["read_again_percent"] < 1.2


@pytest.mark.parametrize("baseline", [RoundRobin, LeastLoaded])
def test_placement_prefills_less_than_half_of_load_only_baselines(
    baseline: type[RoundRobin],
) -> None:
    product = replay(SHORT, ProductPlacement(SHORT), seed=1).summarize()
    other = replay(SHORT, baseline(SHORT), seed=1).summarize()
    product_prefilled = product["read_first_percent"] + product["read_again_percent"]
    assert product_prefilled < 0.5 * (other["read_first_percent"] + other["read_again_percent"])
    assert product["first_p99_ms"] <= other["first_p99_ms"]


def test_command_prints_json_as_last_line(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bench.placements.LOADS", {"small": replace(SHORT, duration_ms=2_000)})
    assert main(["--seed", "2"]) == 0
    figures = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert set(figures["small"]) == {"round robin", "least loaded", "hashing", "gypsumrouter"}
