"""Measures a real router and a real side in a fleet of the target size.

All other members are lightweight peers. The fleet has a single region, which is the worst case: a
router has links to the sides of its own region only, unless those are lost.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final

from msgspec.structs import replace

from bench.client_host import ClientPlan, ClientResult, async_run_clients
from bench.ledger import (
    HANDSHAKE_KINDS,
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_STATUS,
    AverageUsage,
    UsageSnapshot,
    async_measure_since,
    async_take_snapshot,
)
from bench.metered_platform import MeteredPlatform, PlatformBytes
from bench.paced_engine import HOLD_TOKENS, QUICK_TOKENS, PacedEngine
from bench.peer_host import PeerHost, PeerPlan
from bench.processes import DaemonProcess
from bench.rig import ADDRESS_LINK, Rig
from bench.stages import (
    STAGE_BASE,
    STAGE_CONFIGURATION,
    STAGE_HOLD,
    STAGE_LINKS,
    STAGE_LIST,
    STAGE_LIST_CHANGES,
    STAGE_LOAD,
    STAGE_STATUSES,
    FullSize,
)
from bench.target_scale import (
    ANSWER_MS,
    FEW_WORKSPACES,
    REQUESTS_S,
    ROUTERS,
    SIDES,
    WORKSPACES,
    Location,
    get_class,
    list_locations,
)
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import InstanceListService
from gypsumrouter.util.clock import SystemClock

SIDE_HOSTS: Final = 3
ROUTER_HOSTS: Final = 2
TOKENS: Final = 24
SETTLE_S: Final = 2.0
LOAD_WARM_UP_S: Final = 9.0
HOLD_WARM_UP_S: Final = 4.0
OPEN_LINKS_S: Final = 5.0
OPEN_LINKS_ROUNDS: Final = 4
MIN_OPEN_LINKS_SHARE: Final = 0.95
OPEN_LINKS_STREAMS: Final = 48
LIST_CHANGES: Final = 6
BACKGROUND_REQUESTS_S: Final = 1.0
INITIAL_STATUS_INTERVAL_MS: Final = 8_000
FAST_STATUS_INTERVAL_MS: Final = 1_500

ROUTER_STREAMS: Final = round(REQUESTS_S / ROUTERS * ANSWER_MS / MS_PER_S)
SIDE_STREAMS: Final = round(REQUESTS_S / SIDES * ANSWER_MS / MS_PER_S)


class FullSizeFleet:
    """Runs the processes of the measurement through its stages."""

    def __init__(self, *, seconds: float, tokens: int = TOKENS) -> None:
        self.result = FullSize()
        self._measure_s = seconds
        self._tokens = tokens
        self._platform = MeteredPlatform(workspaces=FEW_WORKSPACES)
        self._list = InstanceListService(clock=SystemClock())
        self._engine = PacedEngine(model=self._platform.deployment.model)
        self._rig = Rig(platform=self._platform)
        self._router: DaemonProcess
        self._side: DaemonProcess
        self._side_hosts: list[PeerHost] = []
        self._router_hosts: list[PeerHost] = []
        self._links_opened: UsageSnapshot

    async def async_run(self, *, with_costs: bool) -> FullSize:
        """Run all stages, or only those that measure traffic."""
        async with AsyncExitStack() as stack:
            await self._async_start(stack)
            if with_costs:
                await self._async_stage(STAGE_BASE, 2 * SETTLE_S)
            await self._async_enlarge_list()
            await self._async_enlarge_configuration()
            await self._async_open_links()
            if with_costs:
                await self._async_raise_status_rate()
            await self._async_match_status_rate()
            if with_costs:
                await self._async_measure_held_streams()
            await self._async_measure_load()
            # Statuses are sent in bursts seconds apart, so the rate is measured over all stages.
            since = await async_measure_since(self._rig, [self._side], self._links_opened)
            self.result.side_status_bytes_s = since.rates[KIND_STATUS]
        return self.result

    async def _async_start(self, stack: AsyncExitStack) -> None:
        await self._platform.async_start()
        stack.push_async_callback(self._rig.async_stop)
        await self._list.async_start()
        stack.push_async_callback(self._list.async_stop)
        address = await self._engine.async_start()
        stack.push_async_callback(self._engine.async_stop)
        self._platform.plan_sides(count=1, upstream=address)
        await self._rig.async_start(routers=1)
        (self._router,) = self._rig.routers.values()
        (self._side,) = self._rig.sides.values()
        key = (self._rig.folder / "link.key").read_text()
        self._side_hosts = [
            PeerHost(plan=self._plan_peers(Role.SIDE, key, locations))
            for locations in _split_locations(Role.SIDE, SIDES - 1, SIDE_HOSTS)
        ]
        self._router_hosts = [
            PeerHost(plan=self._plan_peers(Role.ROUTER, key, locations))
            for locations in _split_locations(Role.ROUTER, ROUTERS - 1, ROUTER_HOSTS)
        ]
        for host in (*self._side_hosts, *self._router_hosts):
            await host.async_start()
            stack.push_async_callback(host.async_stop)

    async def _async_enlarge_list(self) -> None:
        own = [self._platform.instances.get(p.name) for p in (self._router, self._side)]
        hosts = (*self._side_hosts, *self._router_hosts)
        lightweight = [instance for host in hosts for instance in host.instances]
        # Advance the revision beyond that of the small list, so the new list replaces it.
        for _ in range(self._platform.instances.revision):
            self._list.remove()
        self._list.set(*(item for item in own if item is not None), *lightweight)
        self._platform.switch_instance_list(self._list)
        await self._async_stage(STAGE_LIST, SETTLE_S)
        before = self._count_list_bytes()
        await self._async_stage(STAGE_LIST_CHANGES, 0, work=self._async_change_list)
        self.result.list_change_bytes = (self._count_list_bytes() - before) / 2 / LIST_CHANGES

    async def _async_change_list(self) -> None:
        instance, *_ = self._side_hosts[0].instances
        for number in range(LIST_CHANGES):
            self._list.set(replace(instance, weight=1.0 + number / 100))
            await asyncio.sleep(0.5)
        self._list.set(instance)

    async def _async_enlarge_configuration(self) -> None:
        self.result.document_bytes = self._platform.publish_workspaces(WORKSPACES)
        await self._async_stage(STAGE_CONFIGURATION, 2 * SETTLE_S)

    async def _async_open_links(self) -> None:
        """Open every link of the real router and side, including those without requests."""
        for host in self._side_hosts:
            await host.async_command(interval_ms=INITIAL_STATUS_INTERVAL_MS)
        address = self._side.addresses[ADDRESS_LINK]
        target = {"name": self._side.name, "host": address.host, "port": address.port}
        before = await async_take_snapshot(self._rig, [self._side])
        for host in self._router_hosts:
            await host.async_command(target=target, link=True)
        opened = await async_measure_since(self._rig, [self._side], before)
        handshakes = sum(opened.rates[kind] for kind in HANDSHAKE_KINDS) * opened.seconds
        added_links = opened.links - before.links
        self.result.handshake_bytes = handshakes / added_links
        # A status is sent once on a new link.
        self.result.status_frame_bytes = opened.rates[KIND_STATUS] * opened.seconds / added_links
        self._links_opened = await async_take_snapshot(self._rig, [self._side])
        for host in self._router_hosts:
            # A few short requests, so that the load changes between statuses.
            await host.async_command(rate_s=BACKGROUND_REQUESTS_S, tokens=QUICK_TOKENS)
        for _ in range(OPEN_LINKS_ROUNDS):
            requests = self._plan_clients(
                QUICK_TOKENS, streams=OPEN_LINKS_STREAMS, seconds=OPEN_LINKS_S
            )
            await async_run_clients(requests)
            sections = await self._rig.async_dump(self._router)
            if sections["link"]["open"] >= MIN_OPEN_LINKS_SHARE * SIDES:
                break
        await self._async_stage(STAGE_LINKS, 2 * SETTLE_S)

    async def _async_raise_status_rate(self) -> None:
        """Raise the status rate of all lightweight sides to measure the cost of one status."""
        for host in self._side_hosts:
            await host.async_command(interval_ms=FAST_STATUS_INTERVAL_MS)
        await self._async_stage(STAGE_STATUSES, 2 * SETTLE_S)

    async def _async_match_status_rate(self) -> None:
        """Set the status rate of the lightweight sides to the measured rate of the real one."""
        so_far = await async_measure_since(self._rig, [self._side], self._links_opened)
        interval_ms = float(INITIAL_STATUS_INTERVAL_MS)
        if so_far.rates[KIND_STATUS] > 0:
            bytes_s_per_link = so_far.rates[KIND_STATUS] / so_far.links
            interval_ms = self.result.status_frame_bytes / bytes_s_per_link * MS_PER_S
        for host in self._side_hosts:
            await host.async_command(interval_ms=interval_ms)

    async def _async_measure_held_streams(self) -> None:
        """Measure with all streams of the target load open, and almost no tokens."""
        streams = self._plan_clients(HOLD_TOKENS, streams=ROUTER_STREAMS, seconds=self._measure_s)
        clients = asyncio.create_task(async_run_clients(replace(streams, warm_s=HOLD_WARM_UP_S)))
        for host in self._router_hosts:
            await host.async_command(burst=SIDE_STREAMS // ROUTER_HOSTS, tokens=HOLD_TOKENS)
        await asyncio.sleep(HOLD_WARM_UP_S)
        await self._async_stage(STAGE_HOLD, self._measure_s)
        await self._async_add_clients(clients)

    async def _async_measure_load(self) -> None:
        """Measure at the target request rate, with the configured number of tokens each."""
        plan = replace(
            self._plan_clients(
                self._tokens, streams=ROUTER_STREAMS, seconds=SETTLE_S + self._measure_s + 1.0
            ),
            warm_s=LOAD_WARM_UP_S,
        )
        clients = asyncio.create_task(async_run_clients(plan))
        for host in self._router_hosts:
            rate_s = REQUESTS_S / SIDES / ROUTER_HOSTS
            await host.async_command(rate_s=rate_s, tokens=self._tokens)
        await asyncio.sleep(LOAD_WARM_UP_S)
        await self._async_stage(STAGE_LOAD, self._measure_s)
        for host in self._router_hosts:
            counts = await host.async_command(rate_s=0.0, tokens=self._tokens)
            self.result.whole += counts["whole"]
            self.result.broken += counts["broken"]
        result = await self._async_add_clients(clients)
        self.result.load_tokens_s = result.tokens / plan.measure_s
        self.result.load_requests_s = len(result.first_ms) / plan.measure_s

    async def _async_stage(
        self, name: str, seconds: float, work: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        if work is None:
            await asyncio.sleep(SETTLE_S)
        begins = {
            p.name: await async_take_snapshot(self._rig, [p]) for p in (self._router, self._side)
        }
        exchanged_before = {role: self._platform.count_bytes(role) for role in Role}
        await (work() if work is not None else asyncio.sleep(seconds))
        self.result.router[name] = await self._async_measure_spent(
            self._router, begins, exchanged_before
        )
        self.result.side[name] = await self._async_measure_spent(
            self._side, begins, exchanged_before
        )

    async def _async_measure_spent(
        self,
        process: DaemonProcess,
        begins: dict[str, UsageSnapshot],
        exchanged_before: dict[Role, PlatformBytes],
    ) -> AverageUsage:
        spent = await async_measure_since(self._rig, [process], begins[process.name])
        platform = self._platform.count_bytes(process.role) - exchanged_before[process.role]
        rates = spent.rates | {
            KIND_CONFIGURATION: platform.configuration / spent.seconds,
            KIND_INSTANCES: platform.instances / spent.seconds,
        }
        return replace(spent, rates=rates)

    async def _async_add_clients(self, clients: asyncio.Task[ClientResult]) -> ClientResult:
        result = await clients
        self.result.whole += result.whole
        self.result.broken += result.broken
        return result

    def _plan_clients(self, tokens: int, *, streams: int, seconds: float) -> ClientPlan:
        deployment = self._platform.deployment
        return ClientPlan(
            origins=tuple(f"http://{address}" for address in self._rig.list_callers()),
            key=deployment.workspaces[0].key,
            model=deployment.model,
            streams=streams,
            tokens=tokens,
            warm_s=0.0,
            measure_s=seconds,
            seed=secrets.randbits(16),
        )

    def _plan_peers(self, role: Role, key: str, locations: list[Location]) -> PeerPlan:
        deployment = self._platform.deployment
        return PeerPlan(
            role=role,
            places=tuple(locations),
            key=key,
            model=deployment.model,
            pool=deployment.engine_pool,
            workspace=deployment.workspaces[0].name,
            caller_class=get_class(deployment).name,
        )

    def _count_list_bytes(self) -> int:
        return sum(self._platform.count_bytes(role).instances for role in Role)


def _split_locations(role: Role, count: int, hosts: int) -> list[list[Location]]:
    locations = list_locations(role, count, regions=1)
    return [locations[start::hosts] for start in range(hosts)]
