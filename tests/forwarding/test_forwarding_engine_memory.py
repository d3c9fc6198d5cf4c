"""The memory of each engine: tokens of running requests, and their effect on placement."""

from __future__ import annotations

import random

import pytest
from uneven_loads import LONG_PROMPTS, average, replay_seeds, summarize_first_events

from gypsumrouter.forwarding.engine_memory import (
    MAX_MODELS,
    PRIOR_OUTPUT_TOKENS,
    EngineMemory,
    HeldTokens,
)
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Candidate, Cap, choose
from gypsumrouter.mechanisms import Mechanism

SERVICE = "models"
CAPACITY = 100_000
OUTPUT = int(PRIOR_OUTPUT_TOKENS)
SEEDS = (1, 2, 3)


def make_prompt(shared: int, own: int, *, tokens: int = 10_000, model: str = "m") -> Prompt:
    """Return a prompt with a shared part of `tokens`, an own part of 100, and a large maximum."""
    parts = (PromptPart(part=shared, tokens=tokens), PromptPart(part=own, tokens=100))
    return Prompt(model=model, parts=parts, input_tokens=tokens + 100, max_output_tokens=30_000)


def make_memory(capacity: int = CAPACITY) -> EngineMemory:
    memory = EngineMemory()
    memory.set_capacities({SERVICE: capacity})
    return memory


def estimate(
    memory: EngineMemory,
    prompt: Prompt,
    *,
    upstream: str = "i-1",
    peer_running: int = 0,
    cached_tokens: int = 0,
) -> int:
    demand = memory.make_demand(SERVICE, prompt)
    assert demand is not None
    return memory.estimate_excess(
        upstream, demand, peer_running=peer_running, cached_tokens=cached_tokens
    )


def begin(memory: EngineMemory, prompt: Prompt) -> HeldTokens:
    held = memory.begin("i-1", service=SERVICE, prompt=prompt)
    assert held is not None
    return held


def test_engine_is_full_after_the_requests_that_fit() -> None:
    memory = make_memory()
    fit = CAPACITY // (10_100 + OUTPUT)
    for number in range(fit):
        assert estimate(memory, make_prompt(number, 1_000 + number)) == 0
        begin(memory, make_prompt(number, 1_000 + number))
    assert estimate(memory, make_prompt(500, 501)) > 0
    assert estimate(memory, make_prompt(500, 501), upstream="i-2") == 0


def test_shared_part_of_running_requests_counts_once() -> None:
    """Counted for each, ten requests of one prompt would make an engine look full."""
    memory = make_memory()
    for number in range(20):
        begin(memory, make_prompt(1, 1_000 + number))
    assert estimate(memory, make_prompt(2, 2), upstream="i-1") == 0


def test_cached_part_needs_no_further_memory() -> None:
    memory = make_memory()
    for number in range(9):
        begin(memory, make_prompt(number, 1_000 + number))
    assert estimate(memory, make_prompt(500, 501)) > 0
    assert estimate(memory, make_prompt(500, 501), cached_tokens=10_000) == 0


@pytest.mark.parametrize("capacity", [0, -5, None])
def test_unknown_memory_has_no_effect(capacity: int | None) -> None:
    memory = EngineMemory()
    if capacity is not None:
        memory.set_capacities({SERVICE: capacity})
    assert memory.make_demand(SERVICE, make_prompt(1, 2)) is None
    assert memory.begin("i-1", service=SERVICE, prompt=make_prompt(1, 2)) is None
    assert not memory._by_upstream


def test_requests_of_peers_count_with_the_mean_of_own_requests() -> None:
    memory = make_memory()
    begin(memory, make_prompt(1, 2))
    assert estimate(memory, make_prompt(3, 4), peer_running=2) == 0
    assert estimate(memory, make_prompt(3, 4), peer_running=20) > 0


def test_missing_counts_of_peers_leave_the_own_ones() -> None:
    memory = make_memory()
    for number in range(9):
        begin(memory, make_prompt(number, 1_000 + number))
    assert estimate(memory, make_prompt(500, 501), peer_running=0) > 0


def test_expected_output_is_learned_for_each_model() -> None:
    """The maximum that callers state is far above what is generated."""
    memory = make_memory()
    for _ in range(200):
        memory.note_output("long", tokens=900)
        memory.note_output("short", tokens=10)
    assert begin(memory, make_prompt(1, 2, model="long")).output == 900
    assert begin(memory, make_prompt(1, 2, model="short")).output == 10
    assert begin(memory, make_prompt(1, 2, model="other")).output == OUTPUT


def test_output_of_unknown_length_is_ignored() -> None:
    memory = make_memory()
    memory.note_output("m", tokens=0)
    assert begin(memory, make_prompt(1, 2)).output == OUTPUT


def test_models_named_by_callers_are_bounded() -> None:
    memory = make_memory()
    for number in range(2 * MAX_MODELS):
        memory.note_output(f"model-{number}", tokens=5)
    assert len(memory._output_tokens) == MAX_MODELS


def test_wrong_prompt_size_makes_other_engines_look_hardly_fuller() -> None:
    """The sizes are the callers' statements."""
    memory = make_memory()
    for number in range(10):
        begin(memory, make_prompt(number, 1_000 + number, tokens=500))
    begin(memory, make_prompt(99, 100, tokens=10**15))
    assert estimate(memory, make_prompt(3, 4, tokens=500), upstream="i-2", peer_running=50) == 0


def test_counts_return_to_nothing_after_all_requests_have_ended() -> None:
    """Requests share parts, state different sizes for them and end in any order."""
    rng = random.Random(7)
    memory = make_memory()
    running: list[tuple[str, HeldTokens]] = []
    for _ in range(3_000):
        if running and rng.random() < 0.5:
            upstream, held = running.pop(rng.randrange(len(running)))
            memory.end(upstream, held)
        else:
            upstream = f"i-{rng.randrange(4)}"
            tokens = rng.choice((-7, 0, 500, 20_000, 10**9))
            prompt = make_prompt(rng.randrange(6), rng.randrange(6), tokens=tokens)
            held_or_none = memory.begin(upstream, service=SERVICE, prompt=prompt)
            assert held_or_none is not None
            running.append((upstream, held_or_none))
        assert all(usage.tokens >= 0 for usage in memory._by_upstream.values())
    for upstream, held in running:
        memory.end(upstream, held)
    assert not memory._by_upstream
    assert memory._by_service[SERVICE].tokens == 0
    assert memory._by_service[SERVICE].requests == 0


def test_removed_service_does_not_break_its_running_requests() -> None:
    memory = make_memory()
    held = begin(memory, make_prompt(1, 2))
    memory.set_capacities({})
    memory.end("i-1", held)
    memory.set_capacities({})
    assert not memory._by_service


def choose_upstream(**excess: int) -> str:
    candidates = [
        Candidate(
            upstream=name,
            load=5,
            slots=64,
            same_data_centre=True,
            overcommitted_tokens=tokens,
            # The engine without memory is the one that has the prompt cached.
            missing_tokens=0 if name == "cached" else 10_000,
        )
        for name, tokens in excess.items()
    ]
    chosen = choose(
        candidates, cap=Cap(factor=2, slack=3), mean=5, shared_tokens=10_000, cached=True
    )
    assert chosen is not None
    return chosen.upstream


def test_engine_without_memory_costs_more_than_any_that_has_it() -> None:
    assert choose_upstream(cached=0, other=0) == "cached"
    assert choose_upstream(cached=1, other=0) == "other"


def test_without_memory_anywhere_the_least_overcommitted_engine_is_chosen() -> None:
    assert choose_upstream(cached=50_000, other=100_000) == "cached"
    assert choose_upstream(cached=100_000, other=50_000) == "other"


def test_replay_of_a_slow_engine_filled_by_long_prompts() -> None:
    """Without the memory, the load cap lets slow engines hold twice the mean, more than fits."""
    before = replay_seeds(LONG_PROMPTS, SEEDS, mechanism=None)
    after = replay_seeds(LONG_PROMPTS, SEEDS, mechanism=Mechanism.ENGINE_MEMORY)
    preempted = [average(outcomes, lambda o: o.preempted) for outcomes in (before, after)]
    first = [summarize_first_events(outcomes) for outcomes in (before, after)]
    print(f"long prompts: preempted {preempted}, first events {first}")
    assert preempted[1] < 0.4 * preempted[0]
    assert first[1].mean < 1.05 * first[0].mean
