"""The recorded loads replayed against placement and its baselines."""

from __future__ import annotations

import json

import pytest
from msgspec.structs import replace

from bench.placement_engine import Engine
from bench.placement_load import LARGE, SMALL, Load, make_arrivals
from bench.placement_strategies import Hashing, LeastLoaded, ProductPlacement, RoundRobin
from bench.placements import main, replay
from gypsumrouter.forwarding.models import Prompt, PromptPart

# A third of the recorded time, with the hot prompt in its middle.
SHORT: Load = replace(
    SMALL, duration_ms=15_000, hot_from_ms=4_000, hot_to_ms=8_000, lost_at_ms=10_000, hot_share=0.4
)


def make_prompt(shared: int, own: int, *, tokens: int = 1_000) -> Prompt:
    parts = (PromptPart(part=shared, tokens=tokens), PromptPart(part=own, tokens=100))
    return Prompt(model="m", parts=parts, input_tokens=tokens + 100, max_output_tokens=10)


def test_the_same_seed_makes_the_same_requests() -> None:
    assert list(make_arrivals(SHORT, seed=3)) == list(make_arrivals(SHORT, seed=3))
    assert list(make_arrivals(SHORT, seed=3)) != list(make_arrivals(SHORT, seed=4))


def test_an_engine_reads_a_shared_part_once_and_copies_what_another_holds() -> None:
    first, second = Engine(capacity=10_000), Engine(capacity=10_000)
    assert first.begin(make_prompt(1, 11), now_ms=0, source=None).prefilled_tokens == 1_000
    assert first.begin(make_prompt(1, 12), now_ms=0, source=None).prefilled_tokens == 0
    copied = second.begin(make_prompt(1, 13), now_ms=0, source=first)
    assert (copied.prefilled_tokens, copied.copied_tokens) == (0, 1_000)


def test_parts_of_running_requests_do_not_yield_and_the_oldest_of_the_others_do() -> None:
    engine = Engine(capacity=2_300)
    running = make_prompt(1, 11)
    engine.begin(running, now_ms=0, source=None)
    for number in (2, 3):
        prompt = make_prompt(number, 20 + number)
        engine.begin(prompt, now_ms=0, source=None)
        engine.end(prompt)
    assert engine.begin(make_prompt(1, 14), now_ms=0, source=None).prefilled_tokens == 0
    assert engine.begin(make_prompt(2, 15), now_ms=0, source=None).prefilled_tokens == 1_000


def test_placement_reads_as_little_as_hashing_without_its_skew() -> None:
    """The hot prompt stays under the cap of load and costs at most a sixth more than hashing."""
    ours = replay(SHORT, ProductPlacement(SHORT), seed=1).summarize()
    hashing = replay(SHORT, Hashing(SHORT), seed=1).summarize()
    assert ours["skewed_percent"] == 0
    assert hashing["skewed_percent"] > 5
    assert ours["read_first_percent"] + ours["read_again_percent"] <= 7 / 6 * (
        hashing["read_first_percent"] + hashing["read_again_percent"]
    )


def test_thirty_routers_copy_little_where_only_their_news_are_old() -> None:
    """Old news of prompts that have been read since must not send requests elsewhere."""
    short = replace(LARGE, duration_ms=10_000, hot_share=0.0, lost_share=0.0)
    ours = replay(short, ProductPlacement(short), seed=1).summarize()
    assert ours["copied_percent"] < 5
    assert ours["read_again_percent"] < 1.2


@pytest.mark.parametrize("baseline", [RoundRobin, LeastLoaded])
def test_placement_reads_less_than_half_of_what_load_alone_reads(
    baseline: type[RoundRobin],
) -> None:
    ours = replay(SHORT, ProductPlacement(SHORT), seed=1).summarize()
    theirs = replay(SHORT, baseline(SHORT), seed=1).summarize()
    ours_read = ours["read_first_percent"] + ours["read_again_percent"]
    assert ours_read < 0.5 * (theirs["read_first_percent"] + theirs["read_again_percent"])
    assert ours["first_p99_ms"] <= theirs["first_p99_ms"]


def test_the_command_prints_one_json_object_as_its_last_line(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bench.placements.LOADS", {"small": replace(SHORT, duration_ms=2_000)})
    assert main(["--seed", "2"]) == 0
    figures = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert set(figures["small"]) == {"round robin", "least loaded", "hashing", "gypsumrouter"}
