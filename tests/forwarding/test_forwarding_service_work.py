"""Work and demand at a service, and the expected times that the admission queue decides on."""

from __future__ import annotations

import pytest

from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.loads import PEER_LOADS_TTL_MS, PeerLoads, UpstreamLoad
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import QUEUED_COST_MS, Cap, estimate_first_event
from gypsumrouter.forwarding.prefill_speed import PRIOR_BASE_MS, PRIOR_TOKENS_PER_MS
from gypsumrouter.forwarding.service_work import SUMS_TTL_MS, ServiceWorkReader
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

PROMPT = Prompt(
    model="m",
    parts=(PromptPart(part=1, tokens=8_000), PromptPart(part=2, tokens=800)),
    input_tokens=8_800,
    max_output_tokens=80,
)


class World:
    """A placer with two engines and two plain upstreams of 6 slots."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=100_000)
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=self.clock
        )
        journal = Journal(app=app)
        directory = Directory(app=app, journal=journal)
        self.placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=directory,
            cap=Cap(factor=2.0, slack=3.0),
        )
        self.reader = ServiceWorkReader(clock=self.clock, placer=self.placer)
        services = enumerate(("models", "models", "records", "records"))
        add_entries(
            directory,
            (make_ready_entry(f"i-{n}", service=service, slots=6) for n, service in services),
        )

    def place(self, service: str, prompt: Prompt | None) -> Placement:
        placed = self.placer.place(service=service, prompt=prompt, excluded=())
        assert not isinstance(placed, PlacementRefusal)
        return placed

    def set_peer_loads(self, loads: dict[str, UpstreamLoad]) -> None:
        report = PeerLoads(received_ms=self.clock.now_ms(), loads=loads)
        self.placer.loads.set_peer_loads("p", report)


def test_estimate_is_that_of_the_placed_upstream() -> None:
    """Guards against a queue and a placement that disagree."""
    world = World()
    for upstream in ("i-0", "i-1"):
        world.placer.loads.begin(upstream, tokens=4_000)
    expected = world.placer.estimate(world.place("models", PROMPT), PROMPT)
    assert expected.backlog_ms == pytest.approx(4_000 / PRIOR_TOKENS_PER_MS)
    assert expected.own_ms == pytest.approx(PRIOR_BASE_MS + 8_800 / PRIOR_TOKENS_PER_MS)


def test_cached_parts_need_no_prefill() -> None:
    world = World()
    for upstream in ("i-0", "i-1"):
        world.placer.note_cached(part=1, upstream=upstream)
    expected = world.placer.estimate(world.place("models", PROMPT), PROMPT)
    assert expected.own_ms == pytest.approx(PRIOR_BASE_MS + 800 / PRIOR_TOKENS_PER_MS)


def test_requests_without_a_slot_are_a_backlog() -> None:
    expected = estimate_first_event(
        load=8,
        slots=6,
        pending_tokens=0,
        prefill_tokens=0,
        fetched_tokens=0,
        prefill_tokens_per_ms=80.0,
        base_ms=50.0,
    )
    assert expected.backlog_ms == 3 * QUEUED_COST_MS
    assert expected.own_ms == 50


def test_estimate_of_a_plain_request_includes_the_queue_beyond_the_slots() -> None:
    world = World()
    placed = world.place("records", None)
    assert world.placer.estimate(placed, None).total_ms == 0
    world.placer.plain.note_answered(placed, elapsed_ms=90, now_ms=0)
    for _ in range(8):
        for upstream in ("i-2", "i-3"):
            world.placer.loads.begin(upstream, tokens=0)
    expected = world.placer.estimate(world.place("records", None), None)
    assert expected.own_ms == pytest.approx(90)
    assert expected.backlog_ms == pytest.approx(90 * 3 / 6)


def test_estimate_uses_up_no_permit_of_plain_requests() -> None:
    """Guards against an admission of plain requests that is spent by estimates."""
    world = World()
    placed = world.place("records", None)
    world.placer.plain.note_answered(placed, elapsed_ms=90, now_ms=0)
    for _ in range(40):
        for upstream in ("i-2", "i-3"):
            world.placer.loads.begin(upstream, tokens=0)
    for _ in range(100):
        world.placer.estimate(world.place("records", None), None)
    admitted = world.placer.place(service="records", prompt=None, excluded=(), limit_ms=100)
    assert isinstance(admitted, Placement)


def test_work_of_own_requests_and_of_peers() -> None:
    world = World()
    world.placer.loads.begin("i-0", tokens=1_600)
    world.set_peer_loads({"i-1": UpstreamLoad(running=3, pending_tokens=4_000)})
    work = world.reader.read("models")
    assert work.own_ms == pytest.approx(1_600 / PRIOR_TOKENS_PER_MS)
    assert work.peers_ms == pytest.approx(4_000 / PRIOR_TOKENS_PER_MS)
    assert (work.own_running, work.peers_running, work.upstreams) == (1, 3, 2)
    assert work.slots == 12
    assert work.peers_known
    assert world.reader.read("records").own_running == 0


def test_work_of_plain_requests_is_their_service_time_per_slot() -> None:
    world = World()
    world.placer.plain.note_answered(world.place("records", None), elapsed_ms=90, now_ms=0)
    world.placer.loads.begin("i-2", tokens=0)
    world.set_peer_loads({"i-3": UpstreamLoad(running=4, pending_tokens=0)})
    work = world.reader.read("records")
    assert work.own_ms == pytest.approx(90 / 6)
    assert work.peers_ms == pytest.approx(4 * 90 / 6)


def test_figures_of_silent_peers_expire() -> None:
    """Guards against shares that are based on the figures of routers that are gone."""
    world = World()
    world.set_peer_loads({"i-1": UpstreamLoad(running=3, pending_tokens=0)})
    assert world.reader.read("models").peers_running == 3
    world.clock.advance(PEER_LOADS_TTL_MS + SUMS_TTL_MS)
    work = world.reader.read("models")
    assert not work.peers_known
    assert work.peers_running == 0
