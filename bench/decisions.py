"""Benchmark of single decisions: placing a request, admitting it, dequeuing the next one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from msgspec import Struct, field

from bench.report import print_machine, print_result, print_table
from gypsumrouter.admission import Admission, Slot
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool, Workspace
from gypsumrouter.const import EXIT_OK, Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Instance
from gypsumrouter.link import Open, PoolLoad, Status, StatusView
from gypsumrouter.placement import Placement, PlacementQuery

ROUNDS: Final = 5
CALLS: Final = 2_000
CALLS_LARGE: Final = 300
QUEUED: Final = 512
WORKSPACES: Final = 20
NS_PER_US: Final = 1_000
MEAN_LOAD: Final = 16

POOL: Final = Pool(
    name="models", kind=UpstreamKind.ENGINE, cap=1.25, floor=4, slots=16, queue=QUEUED
)
CLASSES: Final = (
    CallerClass(name="inspectors", first_token_ms=330, penalty=50.0),
    CallerClass(name="office", first_token_ms=60_000, penalty=1.0),
    CallerClass(name="parents", first_token_ms=30_000, penalty=5.0),
)


class StaticFleet(Struct, kw_only=True):
    """A fleet whose members and statuses never change."""

    instances: tuple[Instance, ...]
    views: dict[str, StatusView] = field(default_factory=dict)

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return all instances, whatever the pool."""
        return self.instances

    def status(self, name: str) -> StatusView | None:
        """Return the latest status of an instance."""
        return self.views.get(name)


def main(argv: list[str]) -> int:
    """Print a table and a JSON result of costs in microseconds."""
    print_machine()
    figures = asyncio.run(async_measure())
    print_table(
        title="Cost of one decision",
        columns=("decision", "us"),
        rows=[(name, value) for name, value in figures.items()],
    )
    print_result({name: round(value, 2) for name, value in figures.items()})
    return EXIT_OK


async def async_measure() -> dict[str, float]:
    """Return the costs in microseconds by name; the minimum of several rounds."""
    return {
        "order_us_9": measure_placement(9, CALLS),
        "order_us_930": measure_placement(930, CALLS_LARGE),
        "pool_load_us_930": measure_pool_load(930),
        "admit_us": await async_measure_admit(),
        "queue_pick_us_512": await async_measure_pick(workspaces=WORKSPACES),
        "queue_pick_us_512_each_alone": await async_measure_pick(workspaces=QUEUED),
    }


def measure_placement(members: int, calls: int) -> float:
    """Return the cost of placing a request of a returning chat."""
    placement = _make_placement(members)
    queries = [
        PlacementQuery(pool=POOL, workspace="chapin", chat=f"chat-{number}", returning=True)
        for number in range(calls)
    ]

    def place_all() -> None:
        for query in queries:
            placement.order(query)

    return _measure_us(place_all, calls)


def measure_pool_load(members: int) -> float:
    """Return the cost of reading a pool's load, including refreshes of the cached value."""
    placement = _make_placement(members)

    def read_all() -> None:
        for _ in range(CALLS):
            placement.pool_load(POOL)

    return _measure_us(read_all, CALLS)


async def async_measure_admit() -> float:
    """Return the cost of admitting a request without queueing and releasing its slot."""
    admission = _make_admission(workspaces=WORKSPACES)
    cancelled = asyncio.Event()
    requests = [_make_open(number, WORKSPACES) for number in range(CALLS)]
    best = float("inf")
    for _ in range(ROUNDS):
        started_ns = time.perf_counter_ns()
        for request in requests:
            slot = await admission.async_admit(request, cancelled)
            assert isinstance(slot, Slot)
            slot.release()
        best = min(best, (time.perf_counter_ns() - started_ns) / NS_PER_US / CALLS)
    return best


async def async_measure_pick(*, workspaces: int) -> float:
    """Return the cost of releasing a slot while 512 requests are queued."""
    admission = _make_admission(workspaces=workspaces)
    cancelled = asyncio.Event()
    running: list[Slot] = []
    for number in range(POOL.slots):
        slot = await admission.async_admit(_make_open(number, workspaces), cancelled)
        assert isinstance(slot, Slot)
        running.append(slot)
    tasks: list[asyncio.Task[object]] = []
    spent_ns = 0
    for number in range(CALLS):
        while admission.load < POOL.slots + QUEUED:
            request = _make_open(number + len(tasks), workspaces)
            tasks.append(asyncio.create_task(admission.async_admit(request, cancelled)))
            await asyncio.sleep(0)
        started_ns = time.perf_counter_ns()
        running.pop(0).release()
        spent_ns += time.perf_counter_ns() - started_ns
        await asyncio.sleep(0)
        running += [slot for slot in _pop_done(tasks) if isinstance(slot, Slot)]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return spent_ns / NS_PER_US / CALLS


def _pop_done(tasks: list[asyncio.Task[object]]) -> list[object]:
    done = [task for task in tasks if task.done()]
    for task in done:
        tasks.remove(task)
    return [task.result() for task in done]


def _measure_us(work: Callable[[], None], calls: int) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started_ns = time.perf_counter_ns()
        work()
        best = min(best, (time.perf_counter_ns() - started_ns) / NS_PER_US / calls)
    return best


def _make_application(role: Role) -> Application:
    return Application(name="bench", role=role, data_centre="dc-1", region="region-1")


def _make_placement(members: int) -> Placement:
    instances = tuple(
        Instance(
            name=f"engine-{number:04}",
            role=Role.SIDE,
            address=Address(host="127.0.0.1", port=1),
            data_centre="dc-1",
            region="region-1",
            pool=POOL.name,
        )
        for number in range(members)
    )
    fleet = StaticFleet(instances=instances)
    for number, instance in enumerate(instances):
        load = MEAN_LOAD + number % 4
        status = Status(load=load, running=load, weight=1.0, leaving=False, ready=True)
        fleet.views[instance.name] = StatusView(status=status, age_ms=50, incarnation=1)
    return Placement(app=_make_application(Role.ROUTER), fleet=fleet, links=fleet)


def _make_admission(*, workspaces: int) -> Admission:
    configuration = Configuration(
        version=1,
        workspaces=tuple(Workspace(name=f"workspace-{n}") for n in range(workspaces)),
        classes=CLASSES,
        pools=(POOL,),
    )
    admission = Admission(app=_make_application(Role.SIDE), weight=1.0, name="bench")
    admission.configure(configuration, POOL)
    return admission


def _make_open(number: int, workspaces: int) -> Open:
    return Open(
        sequence=number,
        request_id=f"request-{number}",
        kind=UpstreamKind.ENGINE,
        pool=POOL.name,
        workspace=f"workspace-{number % workspaces}",
        caller_class=CLASSES[number % len(CLASSES)].name,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"",
        stream=True,
        deadline_ms=120_000,
        waited_ms=0,
        digest=number,
        pool_load=PoolLoad(mean=1_000.0, known=9, members=9, age_ms=50),
    )
