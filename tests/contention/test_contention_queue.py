"""The admission queue of one router: who waits, who is released and who is refused."""

from __future__ import annotations

import pytest
from contention_fakes import SERVICE, FakeService, World, async_settle

from gypsumrouter.contention import Admitted, Refused, Return
from gypsumrouter.contention.const import HOLD_SHARE, TICK_MS
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    RoutingTable,
    Service,
    Target,
    WorkspaceKeys,
)


async def test_request_in_time_is_admitted_without_a_wait(world: World) -> None:
    """Guards against any delay or task while there is no contention."""
    await world.async_ask("a")
    assert world.outcomes == {"a": Admitted()}
    assert world.service.estimates == 1


async def test_waiting_request_is_released_as_soon_as_it_would_be_in_time(world: World) -> None:
    """Guards against idle upstreams while a request waits."""
    world.service.backlog_ms = 500
    await world.async_ask("a")
    await world.async_advance(50)
    assert not world.outcomes
    world.service.backlog_ms = 100
    await world.async_advance(TICK_MS)
    assert world.outcomes == {"a": Admitted(waited_ms=60)}


async def test_end_of_a_request_releases_without_a_tick(world: World) -> None:
    world.service.backlog_ms = 500
    await world.async_ask("a")
    world.service.backlog_ms = 0
    world.control.note_changed(SERVICE)
    await async_settle()
    assert world.outcomes == {"a": Admitted()}


async def test_request_is_sent_late_after_its_longest_wait(world: World) -> None:
    """Guards against waits beyond the time at which the target can be met."""
    world.service.backlog_ms = 500
    await world.async_ask("a")
    await world.async_advance(int(400 * HOLD_SHARE) - TICK_MS)
    assert not world.outcomes
    await world.async_advance(TICK_MS)
    assert world.outcomes == {"a": Admitted(waited_ms=200)}


async def test_request_that_would_miss_its_deadline_after_the_wait_is_refused(
    world: World,
) -> None:
    world.service.backlog_ms = 500
    await world.async_ask("a", remaining_ms=1_000)
    world.service.backlog_ms = 1_500
    await world.async_advance(200)
    outcome = world.outcomes["a"]
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.TARGET_UNATTAINABLE
    assert outcome.room_in_ms > 0


async def test_request_without_time_for_its_deadline_is_refused_on_arrival(world: World) -> None:
    """Guards against requests that are held and then refused."""
    world.service.backlog_ms = 5_000
    await world.async_ask("a")
    outcome = world.outcomes["a"]
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.TARGET_UNATTAINABLE


async def test_only_one_request_is_released_until_it_has_been_sent(world: World) -> None:
    """Guards against a burst of releases on one estimate that counts none of them."""
    world.service.backlog_ms = 500
    for name in "abc":
        await world.async_ask(name)
    world.service.backlog_ms = 0
    world.control.note_changed(SERVICE)
    world.control.note_changed(SERVICE)
    await async_settle()
    assert world.order == ["a"]
    world.control.note_changed(SERVICE)
    await async_settle()
    assert world.order == ["a", "b"]


async def test_arrival_does_not_overtake_a_more_urgent_waiting_request(world: World) -> None:
    world.service.backlog_ms = 500
    await world.async_ask("urgent", priority=0)
    world.service.backlog_ms = 0
    await world.async_ask("other", priority=2)
    assert world.order == ["urgent"]
    await world.async_advance(TICK_MS)
    assert world.order == ["urgent", "other"]


async def test_request_behind_others_is_released_if_only_it_would_be_in_time(
    world: World,
) -> None:
    """Guards against a head of the queue that blocks requests with a cached prompt."""
    world.service.backlog_ms = 500
    for number in range(8):
        await world.async_ask(f"cold{number}", priority=0)
    cached = FakeService(backlog_ms=500)
    await world.async_ask("cached", priority=2, estimate=cached.estimate)
    cached.backlog_ms = 100
    await world.async_advance(9 * TICK_MS)
    assert world.order == ["cached"]


async def test_caller_that_leaves_is_dropped(world: World) -> None:
    """Guards against a request that is sent after its caller has gone."""
    world.service.backlog_ms = 500
    await world.async_ask("a")
    await world.async_ask("b")
    world.tasks["a"].cancel()
    await async_settle()
    world.service.backlog_ms = 0
    await world.async_advance(TICK_MS)
    assert world.order == ["b"]


async def test_caller_that_leaves_at_the_release_is_not_admitted(world: World) -> None:
    """Guards the race between a release and the end of the caller's connection."""
    world.service.backlog_ms = 500
    await world.async_ask("a")
    await world.async_ask("b")
    world.service.backlog_ms = 0
    world.control.note_changed(SERVICE)
    world.tasks["a"].cancel()
    await async_settle()
    assert world.order == []
    await world.async_advance(TICK_MS)
    assert world.order == ["b"]


async def test_frozen_router_refuses_what_ran_out_of_time(world: World) -> None:
    """Guards against sending requests whose time ran out while the process was suspended."""
    world.service.backlog_ms = 500
    await world.async_ask("a", remaining_ms=2_000)
    world.service.backlog_ms = 0
    world.clock.advance(2_000)
    await async_settle()
    outcome = world.outcomes["a"]
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.DEADLINE


async def test_stop_refuses_all_that_wait(world: World) -> None:
    """Guards against requests that are cut off by the end of the process."""
    world.service.backlog_ms = 500
    await world.async_ask("a")
    await world.async_ask("b", service="other")
    await world.app.async_stop()
    await async_settle()
    for name in "ab":
        outcome = world.outcomes[name]
        assert isinstance(outcome, Refused)
        assert outcome.reason is Reason.LEAVING


async def test_full_queue_refuses_the_last_in_the_order() -> None:
    """Guards against an unbounded queue, and against the refusal of the urgent."""
    world = World(max_waiting=2)
    world.service.backlog_ms = 500
    await world.async_ask("a", priority=2)
    await world.async_ask("b", priority=1)
    await world.async_ask("c", priority=0)
    await world.async_ask("d", priority=2)
    assert set(world.outcomes) == {"a", "d"}
    for outcome in world.outcomes.values():
        assert isinstance(outcome, Refused)
        assert outcome.reason is Reason.QUEUE_FULL
        assert outcome.room_in_ms > 0
    await world.async_stop()


async def test_kept_place_goes_first_and_early_return_last() -> None:
    world = World()
    world.service.backlog_ms = 500
    for priority, returned in enumerate((Return.EARLY, Return.UNKNOWN, Return.KEPT)):
        await world.async_ask(returned.value, returned=returned, priority=priority)
    world.service.backlog_ms = 0
    await world.async_advance(3 * TICK_MS)
    assert world.order == ["kept", "unknown", "early"]
    await world.async_stop()


@pytest.mark.parametrize(("without", "first"), [((), "b"), ((Mechanism.URGENCY_ORDER,), "a")])
async def test_urgency_order_can_be_switched_off(
    without: tuple[Mechanism, ...], first: str
) -> None:
    world = World(without=frozenset(without))
    world.service.backlog_ms = 500
    await world.async_ask("a", priority=2)
    await world.async_ask("b", priority=0)
    world.service.backlog_ms = 0
    world.control.note_changed(SERVICE)
    await async_settle()
    assert world.order == [first]
    await world.async_stop()


async def test_decisions_are_counted_and_dumped(world: World) -> None:
    await world.async_ask("a")
    world.service.backlog_ms = 500
    await world.async_ask("b")
    text = world.app.metrics.render().decode()
    assert 'gypsumrouter_contention_decisions_total{decision="send",kind="engine"} 1' in text
    assert 'gypsumrouter_contention_waiting{kind="engine"} 1' in text
    section = world.app.dump()["contention"]
    assert isinstance(section, dict)
    assert section[SERVICE]["waiting"] == 1


def make_table(*, target_ms: int, priority: int, workspace_priority: int | None) -> RoutingTable:
    route = Route(
        name="short",
        host="h",
        prefix="/",
        kind=RouteKind.STREAMING,
        timeout_ms=4_000,
        target_latency_ms=target_ms,
        max_event_gap_ms=100,
        priority=priority,
        max_attempts=1,
        public=False,
        resumable=False,
        targets=(Target(service=SERVICE, weight=1.0),),
    )
    configuration = RoutingConfiguration(
        version=2,
        routes=(route,),
        services=(Service(name=SERVICE, max_connections=10),),
        workspaces=(WorkspaceKeys(name="w", keys=("k",), priority=workspace_priority),),
        limits=CallerLimits(),
        document=b"",
    )
    return RoutingTable(configuration=configuration)


async def test_changed_priorities_apply_to_what_waits(world: World) -> None:
    """Guards against an order by priorities that are no longer in effect."""
    world.service.backlog_ms = 500
    await world.async_ask("first", workspace="other", priority=1)
    await world.async_ask("second", workspace="w", priority=1)
    world.control.set_table(make_table(target_ms=400, priority=1, workspace_priority=0))
    world.service.backlog_ms = 0
    await world.async_advance(2 * TICK_MS)
    assert world.order == ["second", "first"]


async def test_shorter_target_ends_the_wait_earlier(world: World) -> None:
    world.service.backlog_ms = 500
    await world.async_ask("a", workspace="w")
    world.control.set_table(make_table(target_ms=200, priority=1, workspace_priority=None))
    await world.async_advance(100)
    assert world.outcomes == {"a": Admitted(waited_ms=100)}


async def test_request_does_not_wait_beside_idle_upstreams_for_work_that_peers_do_not_report(
    world: World,
) -> None:
    """Guards against contention that goes on at one router since its peers run many requests."""
    world.service.work = {
        "peers_known": True,
        "peers_running": 12,
        "own_running": 4,
        "peers_age_ms": 120,
        "routers": 3,
    }
    world.service.own_ms = 60
    world.service.backlog_ms = 500
    await world.async_ask("urgent", target_ms=300)
    await world.async_advance(int(300 * HOLD_SHARE))
    assert world.outcomes == {"urgent": Admitted(waited_ms=150)}
    world.service.backlog_ms = 0
    await world.async_ask("next", priority=2)
    assert world.outcomes["next"] == Admitted()
