"""Placers of several routers choose the same upstream for a prompt without communication."""

from __future__ import annotations

import random
from collections.abc import Collection

from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Evacuation, Evacuations
from gypsumrouter.directory.evacuations import STARTUP_MS
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
ENGINES = tuple(f"i-{number}" for number in range(12))
ROUTERS = 20
PROMPTS = 30
TOKENS = 10_000
EVACUATION_MS = 5_000


def make_prompt(number: int) -> Prompt:
    """Return a prompt of a shared part and a part that only this request has."""
    parts = (
        PromptPart(part=number, tokens=TOKENS),
        PromptPart(part=(number << 20) + 1, tokens=100),
    )
    return Prompt(model="m", parts=parts, input_tokens=TOKENS + 100, max_output_tokens=80)


class Router:
    """The placer of one router, which receives no reports from others."""

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
        journal = Journal(app=app)
        directory = Directory(app=app, journal=journal)
        self.evacuations = Evacuations(app=app, journal=journal)
        self.placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=directory,
            cap=Cap(factor=2.0, slack=3.0),
            evacuations=self.evacuations,
            evacuation_ms=EVACUATION_MS,
        )
        add_entries(
            directory,
            (
                make_ready_entry(name, service=SERVICE, slots=24, data_centre=f"dc-{number % 3}")
                for number, name in enumerate(ENGINES)
            ),
        )
        for name in ENGINES:
            for _ in range(rng.randrange(6, 12)):
                self.placer.loads.begin(name, tokens=0)

    def place(self, number: int, down: Collection[str] = ()) -> str:
        """Return the upstream of a prompt; upstreams in `down` fail to connect and are excluded."""
        excluded: set[str] = set()
        while True:
            placed = self.placer.place(
                service=SERVICE, prompt=make_prompt(number), excluded=excluded
            )
            assert not isinstance(placed, PlacementRefusal)
            if placed.entry.upstream not in down:
                return placed.entry.upstream
            self.placer.health.note_unreachable(placed.entry.incarnation, reason="refused")
            excluded.add(placed.entry.incarnation)


def count_engines_per_prompt(routers: list[Router], down: Collection[str] = ()) -> float:
    """Return the mean number of engines that the routers choose for the same prompt."""
    places = [{router.place(number, down) for router in routers} for number in range(PROMPTS)]
    return sum(len(engines) for engines in places) / PROMPTS


def make_routers() -> list[Router]:
    clock, rng = ManualClock(now_ms=100_000), random.Random(3)
    return [Router(clock, rng) for _ in range(ROUTERS)]


def test_routers_agree_on_the_engine_of_a_prompt_after_the_same_failures() -> None:
    """A third of the engines refuse connections; the routers do not communicate."""
    assert count_engines_per_prompt(make_routers(), down=ENGINES[:4]) < 1.5


def test_routers_agree_on_the_engine_of_a_prompt_after_an_evacuation() -> None:
    routers = make_routers()
    for router in routers:
        evacuation = Evacuation(data_centre="dc-1", revision=99, active=True)
        router.evacuations.merge(evacuation, source="test")
    assert count_engines_per_prompt(routers) < 1.5


def test_prompts_are_copied_from_an_evacuated_data_centre_only_at_the_beginning() -> None:
    clock = ManualClock(now_ms=100_000)
    router = Router(clock, random.Random(3))
    clock.advance(STARTUP_MS)
    prompt = make_prompt(1)
    holder = router.place(1)
    router.placer.note_cached(part=1, upstream=holder)
    number = ENGINES.index(holder)
    evacuation = Evacuation(data_centre=f"dc-{number % 3}", revision=99, active=True)
    router.evacuations.merge(evacuation, source="test")
    for passed_ms, source in ((0, holder), (EVACUATION_MS // 2, None), (EVACUATION_MS, None)):
        clock.advance(passed_ms)
        placed = router.placer.place(service=SERVICE, prompt=prompt, excluded=())
        assert not isinstance(placed, PlacementRefusal)
        assert placed.entry.upstream != holder
        copied_from = placed.fetch_from
        assert (None if copied_from is None else copied_from.upstream) == source
