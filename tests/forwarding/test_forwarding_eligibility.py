"""Eligibility of upstreams that are evacuated, unreachable, backing off or warming up."""

from __future__ import annotations

from msgspec.structs import replace

from bench.replay_placer import make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuation, Evacuations, Record
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.health.slow_start import SETTLE_MS, WINDOW_MS, SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import (
    CallerLimits,
    RoutingConfiguration,
    RoutingTable,
    Service,
    SlowStart,
)
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
PER_S, FACTOR, SLACK = 4.0, 1.5, 2.0
# Half of the bound, which a single router may send per window.
SHARE = 4
WARM_UP_MS = 3_000
PROMPT = Prompt(
    model="m",
    parts=(PromptPart(part=1, tokens=10_000), PromptPart(part=2, tokens=10)),
    input_tokens=10_010,
    max_output_tokens=80,
)


class Router:
    """One router with three engines in each of two data centres."""

    def __init__(self, *, without: frozenset[Mechanism] = frozenset()) -> None:
        self.clock = ManualClock(now_ms=100_000)
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="dc-0", region="r", clock=self.clock
        )
        journal = Journal(app=app)
        self.directory = Directory(app=app, journal=journal)
        self.evacuations = Evacuations(app=app, journal=journal)
        self.health = HealthTracker(clock=self.clock, journal=journal)
        slow_start = SlowStartLimiter(clock=self.clock, journal=journal, factor=FACTOR, slack=SLACK)
        slow_start.set_table(make_table())
        self.placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=self.directory,
            cap=Cap(factor=2.0, slack=1_000.0),
            health=self.health,
            evacuations=self.evacuations,
            slow_start=slow_start,
            without=without,
        )
        self._revision = 0
        self.names = [f"i-{number}" for number in range(6)]
        for name in self.names:
            self.write(name)
        self.clock.advance(SETTLE_MS)

    def write(self, name: str, *, cold_ms: int = 0) -> None:
        """Write the directory entry of an engine."""
        self._revision += 1
        entry = Entry(
            upstream=name,
            state=EntryState.READY,
            service=SERVICE,
            address=Address(host="10.0.0.1", port=80),
            data_centre=f"dc-{int(name[2:]) % 2}",
            slots=64,
            warm_up_ms=cold_ms,
        )
        self.directory.merge(Record(revision=self._revision, entry=entry), source="test")

    def evacuate(self, name: str, *, active: bool = True) -> None:
        """Evacuate a data centre, or end its evacuation."""
        self._revision += 1
        evacuation = Evacuation(data_centre=name, revision=self._revision, active=active)
        self.evacuations.merge(evacuation, source="test")

    def send(self, count: int, *, prompt: Prompt | None = PROMPT) -> list[str]:
        """Place and send requests; return the upstream, or the reason of the refusal, of each."""
        results = []
        for _ in range(count):
            placed = self.placer.place(service=SERVICE, prompt=prompt, excluded=())
            if isinstance(placed, PlacementRefusal):
                results.append(placed.reason.value)
                continue
            self.placer.note_sent(placed, prompt)
            results.append(placed.entry.upstream)
        return results


def make_table() -> RoutingTable:
    settings = SlowStart(duration_ms=WARM_UP_MS, requests_per_s=PER_S)
    service = Service(name=SERVICE, max_connections=100, slow_start=settings)
    configuration = RoutingConfiguration(
        version=1,
        routes=(),
        services=(service,),
        workspaces=(),
        limits=CallerLimits(),
        document=b"",
    )
    return RoutingTable(configuration=configuration)


def test_warming_upstreams_get_no_requests_while_a_warm_one_is_available() -> None:
    router = Router()
    for name in router.names[1:]:
        router.write(name, cold_ms=WARM_UP_MS)
    assert set(router.send(50)) == {"i-0"}
    assert set(router.send(50, prompt=None)) == {"i-0"}
    router.clock.advance(WARM_UP_MS)
    assert len(set(router.send(50, prompt=None))) > 1


def test_all_warming_upstreams_get_their_share_and_excess_requests_are_refused() -> None:
    router = Router()
    for name in router.names:
        router.write(name, cold_ms=WARM_UP_MS)
    results = router.send(60, prompt=None)
    assert all(results.count(name) == SHARE for name in router.names)
    assert results.count(Reason.WARMING_UP.value) == 60 - 6 * SHARE
    refused = router.placer.place(service=SERVICE, prompt=None, excluded=())
    assert isinstance(refused, PlacementRefusal)
    assert refused.not_before_ms == WINDOW_MS
    router.clock.advance(WINDOW_MS)
    assert Reason.WARMING_UP.value not in router.send(6 * SHARE, prompt=None)


def test_warming_upstream_is_a_candidate_within_its_share_without_warm_first() -> None:
    router = Router(without=frozenset({Mechanism.WARM_FIRST}))
    router.write("i-5", cold_ms=WARM_UP_MS)
    results = router.send(120, prompt=None)
    assert results.count("i-5") == SHARE


def test_engines_warm_up_after_the_evacuation_of_their_data_centre_ends() -> None:
    router = Router()
    router.evacuate("dc-1")
    assert set(router.send(30, prompt=None)) == {"i-0", "i-2", "i-4"}
    router.evacuate("dc-1", active=False)
    assert set(router.send(30, prompt=None)) == {"i-0", "i-2", "i-4"}
    router.clock.advance(WARM_UP_MS)
    assert set(router.send(120, prompt=None)) == set(router.names)


def test_unreachable_warm_upstream_is_tried_before_requests_are_refused() -> None:
    router = Router()
    for name in router.names[1:]:
        router.write(name, cold_ms=60_000)
    router.health.note_unreachable("i-0", reason="no answer")
    results = router.send(5 * SHARE, prompt=None)
    assert "i-0" not in results
    assert results.count(Reason.WARMING_UP.value) == 0
    assert set(router.send(SHARE, prompt=None)) == {"i-0"}


def test_requests_are_refused_when_all_data_centres_are_evacuated() -> None:
    router = Router()
    router.evacuate("dc-0")
    router.evacuate("dc-1")
    assert router.send(3) == [Reason.EVACUATED.value] * 3


def test_engine_that_refused_a_peer_is_skipped_and_then_treated_as_warming() -> None:
    router = Router()
    router.placer.apply_peer_refusals(["i-0", "i-9"])
    assert "i-0" not in router.send(60, prompt=None)
    router.clock.advance(1_000)
    assert not router.health.is_down("i-0")
    assert "i-0" not in router.send(60, prompt=None)


def test_upstream_gets_no_requests_during_its_backoff() -> None:
    router = Router()
    router.placer.backoffs.note("i-0", backoff_ms=2_000)
    assert "i-0" not in router.send(60)
    router.clock.advance(1_999)
    assert "i-0" not in router.send(60)
    router.clock.advance(1)
    assert "i-0" in router.send(60, prompt=None)


def test_shorter_backoff_does_not_shorten_an_earlier_one() -> None:
    router = Router()
    router.placer.backoffs.note("i-0", backoff_ms=2_000)
    router.placer.backoffs.note("i-0", backoff_ms=500)
    router.clock.advance(1_999)
    assert "i-0" not in router.send(60)
    router.placer.backoffs.note("i-0", backoff_ms=500)
    assert router.placer.backoffs.get_remaining_ms("i-0") == 500


def test_refusal_names_the_earliest_end_of_all_backoffs() -> None:
    router = Router()
    for number, name in enumerate(router.names):
        router.placer.backoffs.note(name, backoff_ms=1_000 + number * 100)
    placed = router.placer.place(service=SERVICE, prompt=PROMPT, excluded=("i-0",))
    assert isinstance(placed, PlacementRefusal)
    assert placed.reason is Reason.UPSTREAMS_BACKING_OFF
    assert placed.not_before_ms == 1_100


def test_upstream_in_backoff_is_skipped_even_if_all_others_are_down() -> None:
    router = Router()
    router.placer.backoffs.note("i-0", backoff_ms=1_000)
    for name in router.names[1:]:
        router.health.note_unreachable(name, reason="test", refused=True)
    assert "i-0" not in router.send(60)


def test_backoff_survives_expiry_of_the_entry_and_ends_with_a_restart() -> None:
    router = Router()
    router.placer.backoffs.note("i-0", backoff_ms=60_000)
    gone = Record(revision=50, entry=Entry(upstream="i-0", state=EntryState.GONE))
    router.directory.merge(gone, source="test")
    router.placer.sweep()
    entry = Entry(
        upstream="i-0",
        state=EntryState.READY,
        service=SERVICE,
        address=Address(host="10.0.0.1", port=80),
        data_centre="dc-0",
        slots=64,
    )
    router.directory.merge(Record(revision=51, entry=entry), source="test")
    assert "i-0" not in router.send(60, prompt=None)
    restarted = replace(entry, started_ms=5)
    router.directory.merge(Record(revision=52, entry=restarted), source="test")
    router.clock.advance(SETTLE_MS)
    assert "i-0" in router.send(60, prompt=None)


def test_sweep_drops_only_backoffs_that_have_ended() -> None:
    router = Router()
    router.placer.backoffs.note("i-0", backoff_ms=1_000)
    router.placer.backoffs.note("i-1", backoff_ms=3_000)
    router.clock.advance(2_000)
    router.placer.sweep()
    assert not router.placer.backoffs.is_backing_off("i-0")
    assert router.placer.backoffs.get_remaining_ms("i-1") == 1_000
