"""Which upstreams may get a request: evacuated, lost and warming up ones, together."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuation, Evacuations, Record
from gypsumrouter.forwarding.eligibility import NoPlace
from gypsumrouter.forwarding.health import HealthBook
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.rests import RestBook
from gypsumrouter.forwarding.slow_start import SETTLE_MS, WINDOW_MS, SlowStartBook
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
# Half of the bound, which a router that is alone may send in a window.
SHARE = 4
WARM_UP_MS = 3_000
PROMPT = Prompt(
    model="m",
    parts=(PromptPart(part=1, tokens=10_000), PromptPart(part=2, tokens=10)),
    input_tokens=10_010,
    max_output_tokens=80,
)


class Router:
    """One router before engines in two data centres, three in each."""

    def __init__(self, *, without: frozenset[Mechanism] = frozenset()) -> None:
        self.clock = ManualClock(now_ms=100_000)
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="dc-0", region="r", clock=self.clock
        )
        journal = Journal(app=app)
        self.directory = Directory(app=app, journal=journal)
        self.evacuations = Evacuations(app=app, journal=journal)
        self.health = HealthBook(clock=self.clock, journal=journal)
        slow_start = SlowStartBook(clock=self.clock, journal=journal, factor=FACTOR, slack=SLACK)
        slow_start.take_table(make_table())
        self.placer = Placer(
            app=app,
            directory=self.directory,
            cap=Cap(factor=2.0, slack=1_000.0),
            health=self.health,
            rests=RestBook(clock=self.clock, journal=journal),
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
        """Write the entry of an engine."""
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
        """Evacuate a data centre, or take it back."""
        self._revision += 1
        evacuation = Evacuation(data_centre=name, revision=self._revision, active=active)
        self.evacuations.merge(evacuation, source="test")

    def send(self, count: int, *, prompt: Prompt | None = PROMPT) -> list[str]:
        """Place and send requests; return where they went, refused ones by their reason."""
        places = []
        for _ in range(count):
            placed = self.placer.place(service=SERVICE, prompt=prompt, passed_over=())
            if isinstance(placed, NoPlace):
                places.append(placed.reason.value)
                continue
            self.placer.note_sent(placed, prompt)
            places.append(placed.entry.upstream)
        return places


def make_table() -> RoutingTable:
    traits = SlowStart(duration_ms=WARM_UP_MS, requests_per_s=PER_S)
    service = Service(name=SERVICE, max_connections=100, slow_start=traits)
    configuration = RoutingConfiguration(
        version=1,
        routes=(),
        services=(service,),
        workspaces=(),
        limits=CallerLimits(),
        document=b"",
    )
    return RoutingTable(configuration=configuration)


def test_one_that_warms_up_gets_nothing_while_a_warm_one_can_take_it() -> None:
    router = Router()
    for name in router.names[1:]:
        router.write(name, cold_ms=WARM_UP_MS)
    assert set(router.send(50)) == {"i-0"}
    assert set(router.send(50, prompt=None)) == {"i-0"}
    router.clock.advance(WARM_UP_MS)
    assert len(set(router.send(50, prompt=None))) > 1


def test_where_all_warm_up_they_get_their_share_and_the_rest_is_refused_at_once() -> None:
    router = Router()
    for name in router.names:
        router.write(name, cold_ms=WARM_UP_MS)
    places = router.send(60, prompt=None)
    assert all(places.count(name) == SHARE for name in router.names)
    assert places.count(Reason.WARMING_UP.value) == 60 - 6 * SHARE
    refused = router.placer.place(service=SERVICE, prompt=None, passed_over=())
    assert isinstance(refused, NoPlace)
    assert refused.not_before_ms == WINDOW_MS
    router.clock.advance(WINDOW_MS)
    assert Reason.WARMING_UP.value not in router.send(6 * SHARE, prompt=None)


def test_without_the_rule_one_that_warms_up_is_a_candidate_within_its_share() -> None:
    router = Router(without=frozenset({Mechanism.WARM_FIRST}))
    router.write("i-5", cold_ms=WARM_UP_MS)
    places = router.send(120, prompt=None)
    assert places.count("i-5") == SHARE


def test_an_engine_of_a_data_centre_that_is_taken_back_warms_up_first() -> None:
    router = Router()
    router.evacuate("dc-1")
    assert set(router.send(30, prompt=None)) == {"i-0", "i-2", "i-4"}
    router.evacuate("dc-1", active=False)
    assert set(router.send(30, prompt=None)) == {"i-0", "i-2", "i-4"}
    router.clock.advance(WARM_UP_MS)
    assert set(router.send(120, prompt=None)) == set(router.names)


def test_a_lost_one_that_was_warm_is_tried_before_a_request_is_refused() -> None:
    router = Router()
    for name in router.names[1:]:
        router.write(name, cold_ms=60_000)
    router.health.note_unreachable("i-0", reason="no answer")
    places = router.send(5 * SHARE, prompt=None)
    assert "i-0" not in places
    assert places.count(Reason.WARMING_UP.value) == 0
    assert set(router.send(SHARE, prompt=None)) == {"i-0"}


def test_no_engine_is_left_where_all_data_centres_are_evacuated() -> None:
    router = Router()
    router.evacuate("dc-0")
    router.evacuate("dc-1")
    assert router.send(3) == [Reason.EVACUATED.value] * 3


def test_an_engine_that_refused_a_peer_is_left_alone_and_taken_for_one_that_starts() -> None:
    router = Router()
    router.placer.take_refused(["i-0", "i-9"])
    assert "i-0" not in router.send(60, prompt=None)
    router.clock.advance(1_000)
    assert not router.health.is_down("i-0")
    assert "i-0" not in router.send(60, prompt=None)


def test_an_upstream_that_wants_a_rest_gets_nothing_until_it_is_over() -> None:
    router = Router()
    router.placer.rests.note("i-0", rest_ms=2_000)
    assert "i-0" not in router.send(60)
    router.clock.advance(1_999)
    assert "i-0" not in router.send(60)
    router.clock.advance(1)
    assert "i-0" in router.send(60, prompt=None)


def test_a_shorter_word_on_a_rest_does_not_end_an_earlier_one() -> None:
    router = Router()
    router.placer.rests.note("i-0", rest_ms=2_000)
    router.placer.rests.note("i-0", rest_ms=500)
    router.clock.advance(1_999)
    assert "i-0" not in router.send(60)
    router.placer.rests.note("i-0", rest_ms=500)
    assert router.placer.rests.get_left_ms("i-0") == 500


def test_where_all_left_want_a_rest_the_first_end_is_when_to_come_back() -> None:
    router = Router()
    for number, name in enumerate(router.names):
        router.placer.rests.note(name, rest_ms=1_000 + number * 100)
    placed = router.placer.place(service=SERVICE, prompt=PROMPT, passed_over=("i-0",))
    assert isinstance(placed, NoPlace)
    assert placed.reason is Reason.UPSTREAMS_REST
    assert placed.not_before_ms == 1_100


def test_an_upstream_that_rests_is_not_asked_even_where_all_others_are_down() -> None:
    router = Router()
    router.placer.rests.note("i-0", rest_ms=1_000)
    for name in router.names[1:]:
        router.health.note_unreachable(name, reason="test", refused=True)
    assert "i-0" not in router.send(60)


def test_a_rest_outlives_a_lapse_of_the_entry_and_ends_with_a_new_start() -> None:
    router = Router()
    router.placer.rests.note("i-0", rest_ms=60_000)
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
    reborn = replace(entry, started_ms=5)
    router.directory.merge(Record(revision=52, entry=reborn), source="test")
    router.clock.advance(SETTLE_MS)
    assert "i-0" in router.send(60, prompt=None)


def test_rests_that_are_over_are_forgotten() -> None:
    router = Router()
    router.placer.rests.note("i-0", rest_ms=1_000)
    router.placer.rests.note("i-1", rest_ms=3_000)
    router.clock.advance(2_000)
    router.placer.sweep()
    assert not router.placer.rests.is_resting("i-0")
    assert router.placer.rests.get_left_ms("i-1") == 1_000
