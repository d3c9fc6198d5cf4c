"""Fakes for tests of the admission queue: claims, and a service whose work is set by the test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Any

from gypsumrouter.const import Role
from gypsumrouter.contention import (
    Admitted,
    Claim,
    ContentionControl,
    Expected,
    Refused,
    ServiceWork,
    get_hold_ms,
)
from gypsumrouter.contention.const import TICK_MS
from gypsumrouter.core import Application
from gypsumrouter.journal import Journal
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
Outcome = Admitted | Refused


@dataclass
class FakeService:
    """A service of one router, whose backlog the test sets."""

    backlog_ms: float = 0.0
    own_ms: float = 100.0
    work: dict[str, Any] = field(default_factory=dict)
    estimates: int = 0

    def estimate(self) -> Expected:
        """Return the expected time with the backlog of now."""
        self.estimates += 1
        return Expected(backlog_ms=self.backlog_ms, own_ms=self.own_ms)

    def get_work(self, service: str = SERVICE) -> ServiceWork:
        """Return the work of a router that is alone, unless `work` says otherwise."""
        return ServiceWork(
            **{
                "own_ms": 0.0,
                "peers_ms": 0.0,
                "upstreams": 4,
                "slots": 32,
                "own_running": 1,
                "peers_running": 0,
                "peers_known": False,
                "peers_age_ms": 0,
                "routers": 1,
                **self.work,
            }
        )


def make_claim(fake: FakeService, request_id: str = "r", **more: Any) -> Claim:
    """Return a claim with a target of 400 ms and a deadline of 4 s."""
    target_ms = more.pop("target_ms", 400)
    remaining_ms = more.pop("remaining_ms", 4_000)
    return Claim(
        **{
            "request_id": request_id,
            "service": SERVICE,
            "caller_class": "short",
            "workspace": "w",
            "priority": 1,
            "plain": False,
            "digest": 1,
            "target_ms": target_ms,
            "remaining_ms": remaining_ms,
            "hold_ms": get_hold_ms(target_ms=target_ms, remaining_ms=remaining_ms),
            "route_target_ms": target_ms,
            "estimate": fake.estimate,
            **more,
        }
    )


class World:
    """A router's admission under a driven clock."""

    def __init__(self, *, max_waiting: int = 512, **more: Any) -> None:
        self.clock = ManualClock(now_ms=10_000)
        self.app = Application(
            name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=self.clock
        )
        self.service = FakeService()
        self.control = ContentionControl(
            app=self.app,
            journal=Journal(app=self.app),
            settings=Contention(max_waiting=max_waiting),
            get_work=self.service.get_work,
            **more,
        )
        self.outcomes: dict[str, Outcome] = {}
        self.order: list[str] = []
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def async_ask(self, request_id: str, **more: Any) -> None:
        """Ask for the admission of a request in a task of its own."""
        claim = make_claim(self.service, request_id, **more)
        self.tasks[request_id] = asyncio.create_task(
            self._async_note(request_id, self.control.async_admit(claim))
        )
        await async_settle()

    async def async_advance(self, duration_ms: int) -> None:
        """Advance the clock in steps of a tick."""
        for _ in range(0, duration_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            await async_settle()

    async def async_stop(self) -> None:
        """Stop the application and the tasks."""
        await self.app.async_stop()
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def _async_note(self, request_id: str, admission: Awaitable[Outcome]) -> None:
        self.outcomes[request_id] = await admission
        self.order.append(request_id)


async def async_settle() -> None:
    """Run the tasks that are ready."""
    for _ in range(6):
        await asyncio.sleep(0)
