"""Small fleet of separate processes behind fault proxies, and callers that check each answer."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from bench.accounts import Account
from bench.faults_rig import Group, SplitPlatform, SplitRig
from bench.load import CallerContext, ChatCaller, ChatShape, NoAnswer, make_uuid7, parse_error
from bench.processes import DaemonProcess
from bench.rig import ADDRESS_CALLERS
from bench.tally import Tally
from gypsumrouter.const import HEADER_DEADLINE, HEADER_IDEMPOTENCY_KEY, PATH_SERVICES
from gypsumrouter.fleet import Address
from gypsumrouter.helpers.connector import ShieldedConnector
from gypsumrouter.idempotency import find_owner
from gypsumrouter.outcomes import Executed
from gypsumrouter.standins import Deployment, EngineSettings, make_configuration
from gypsumrouter.util.clock import SystemClock

CRASH_MARKER = "crash-the-engine"
# Short timeouts make the tests fast; no test asserts them.
FAST_SETTINGS = {
    "platform": {"list_lease_ms": 800, "clock_skew_ms": 20, "list_poll_ms": 50},
    "link": {"heartbeat_ms": 200, "silence_ms": 800, "connect_ms": 500, "resume_ms": 1_500},
    "upstream": {"silence_ms": 800},
}
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02
DEADLINE_MS = 15_000

Answer = dict[str, Any] | NoAnswer


class IntegrationFleet:
    """Runs one router in each group, sides in both, and stand-ins in the test's process."""

    def __init__(self, *, deployment: Deployment) -> None:
        self.deployment = deployment
        self.clock = SystemClock()
        self.platform = SplitPlatform(
            clock=self.clock,
            deployments=(deployment,),
            engine_settings=EngineSettings(crash_marker=CRASH_MARKER),
        )
        self.rig = SplitRig(platform=self.platform, extra=FAST_SETTINGS)
        self.random = random.Random(2026)
        self.session: aiohttp.ClientSession

    async def async_start(self) -> None:
        self.session = aiohttp.ClientSession(connector=ShieldedConnector(limit=0))
        await self.platform.async_start()
        await self.rig.async_start(routers=2)
        await self.async_wait_until_new_calls_run()

    async def async_stop(self) -> None:
        await self.session.close()
        processes = (*self.rig.routers.values(), *self.rig.sides.values())
        await asyncio.gather(*(process.async_kill() for process in processes))
        await self.rig.async_stop()

    def get_router(self, group: Group) -> Address:
        """Return the caller address of the router of a group."""
        return self._find_router(group).addresses[ADDRESS_CALLERS]

    def _find_router(self, group: Group) -> DaemonProcess:
        for name, process in self.rig.routers.items():
            index = get_router_index(name)
            if self.platform.get_group(self.deployment.get_data_centre(index)) is group:
                return process
        raise LookupError(group)

    def list_service_sides(self, group: Group | None = None) -> list[str]:
        """Return the names of the sides of the service pool, in both groups or in one."""
        return [
            name
            for name in sorted(self.rig.sides)
            if (plan := self.platform.get_plan(name)).pool == self.deployment.service_pool
            and group in (None, self.platform.get_group(plan.data_centre))
        ]

    def list_engines(self) -> list[str]:
        """Return the names of the sides of the engines."""
        pool = self.deployment.engine_pool
        return [
            name for name in sorted(self.rig.sides) if self.platform.get_plan(name).pool == pool
        ]

    def find_busy_side(self) -> str:
        """Return the side of the only engine that has requests."""
        busy = [name for name, engine in self.platform.engines.items() if engine.load]
        assert len(busy) == 1
        return busy[0]

    async def async_wait_until_new_calls_run(self) -> None:
        """Wait until every side of the service runs calls with new keys."""
        for name in self.list_service_sides():
            await self.async_run_new_call(Group.LEFT, name)

    async def async_restart_side(self, name: str) -> None:
        """Kill a side and start a process with the same name; return when it is ready."""
        await self.rig.sides.pop(name).async_kill()
        await self.rig.async_start_side(name)
        await self.rig.async_wait_ready()

    # At-most-once calls

    def make_key(self, owner: str) -> str:
        """Return a new key that belongs to the side `owner` according to the left instance list."""
        listed = [self.platform.instances.get(name) for name in self.rig.sides]
        instances = [instance for instance in listed if instance is not None]
        while True:
            key = make_uuid7(wall_ms=self.clock.wall_ms(), randomness=self.random)
            pool, workspace = self.deployment.service_pool, self.deployment.workspaces[0].name
            if find_owner(pool=pool, workspace=workspace, key=key, instances=instances) == owner:
                return key

    async def async_call(self, group: Group, key: str, *, deadline_ms: int = DEADLINE_MS) -> Answer:
        """Send a call through the router of a group."""
        path = self.deployment.at_most_once[0]
        url = f"http://{self.get_router(group)}{PATH_SERVICES}{self.deployment.service_pool}{path}"
        headers = {**self.make_account().make_headers(), HEADER_IDEMPOTENCY_KEY: key}
        headers[HEADER_DEADLINE] = str(deadline_ms)
        async with self.session.post(url, json={"defect": key}, headers=headers) as response:
            body = await response.read()
            if response.status != 200:
                return parse_error(body, status=response.status)
            answer: dict[str, Any] = json.loads(body)
            return answer

    async def async_call_until_answered(self, group: Group, key: str) -> dict[str, Any]:
        """Repeat a call until it is answered."""
        return (await self._async_call_until_answered(group, lambda: key))[1]

    async def async_run_new_call(self, group: Group, owner: str) -> tuple[str, dict[str, Any]]:
        """Send calls with new keys until the owner runs one; return its key and answer.

        A restarted owner permanently rejects keys that may have been created before its start.
        """
        return await self._async_call_until_answered(group, lambda: self.make_key(owner))

    async def _async_call_until_answered(
        self, group: Group, choose_key: Callable[[], str]
    ) -> tuple[str, dict[str, Any]]:
        answers: list[tuple[str, dict[str, Any]]] = []

        async def async_is_answered() -> bool:
            key = choose_key()
            answer = await self.async_call(group, key)
            if isinstance(answer, NoAnswer):
                return False
            answers.append((key, answer))
            return True

        await async_wait_until(async_is_answered)
        return answers[0]

    def count_executions(self, key: str) -> int:
        """Return how often a call has run, summed over all upstreams."""
        return sum(service.executions_by_key[key] for service in self.platform.services.values())

    # Chats

    def make_account(self, workspace: int = 0) -> Account:
        plan = self.deployment.workspaces[workspace]
        caller_class = self.deployment.interactive[0].name
        return Account(workspace=plan.name, key=plan.key, caller_class=caller_class)

    async def async_chat(
        self,
        *groups: Group,
        tokens: int = 8,
        turns: int = 1,
        workspace: int = 0,
        prefix: str = "chat",
        seed: int | None = None,
        tries: int = 1,
    ) -> Tally:
        """Run a chat through the routers of some groups and return the tally of its answers.

        Chats with the same seed and prefix send the same requests.
        """
        chat_seed = self.random.getrandbits(32) if seed is None else seed
        tally = Tally()
        context = CallerContext(
            session=self.session,
            routers=[self.get_router(group) for group in groups],
            tally=tally,
            clock=self.clock,
            tries=tries,
        )
        shape = ChatShape(
            turns=turns, first_bytes=200, min_tokens=tokens, max_tokens=tokens, think_ms=10
        )
        await ChatCaller(
            context=context,
            account=self.make_account(workspace),
            seed=chat_seed,
            chat=f"{prefix}-{chat_seed:x}",
            model=self.deployment.model,
            shape=shape,
        ).async_run()
        return tally

    async def async_start_long_chat(self, group: Group, *, tokens: int) -> asyncio.Task[Tally]:
        """Start a chat on an idle fleet and return when an engine runs it."""
        task = asyncio.ensure_future(self.async_chat(group, tokens=tokens))
        await async_wait_until(lambda: any(item.load for item in self.platform.engines.values()))
        return task

    def publish(self, version: int) -> None:
        """Publish the same configuration with another version."""
        self.platform.publish(make_configuration(self.deployment, version=version))

    async def async_read_versions(self) -> set[int]:
        """Return the configuration versions that the processes use."""
        processes = (*self.rig.sides.values(), *self.rig.routers.values())
        dumps = [await self.rig.async_dump(process) for process in processes]
        return {dump["configuration"]["in_force"]["version"] for dump in dumps}


def get_router_index(name: str) -> int:
    """Return the index of a router by its name was started with."""
    return int(name.rpartition("-")[2]) - 1


def assert_all_complete(*tallies: Tally) -> None:
    """Assert that every request got its complete and correct answer."""
    for tally in tallies:
        assert tally.requests > 0
        assert tally.whole == tally.requests, tally


def assert_unknown(answer: Answer) -> None:
    assert isinstance(answer, NoAnswer), answer
    assert answer.executed is Executed.UNKNOWN, answer


async def async_wait_until(condition: Callable[[], bool | Awaitable[bool]]) -> None:
    """Wait for a condition; raises TimeoutError after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            result = condition()
            if result if isinstance(result, bool) else await result:
                return
            await asyncio.sleep(POLL_S)
