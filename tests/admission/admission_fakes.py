"""Requests, a configuration and an admission harness for the tests of admission."""

from __future__ import annotations

import asyncio

from msgspec import Struct, field

from gypsumrouter.admission import Admission, Slot
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool, Workspace
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.link.models import Open, PoolLoad
from gypsumrouter.outcomes import Refused
from gypsumrouter.util.clock import ManualClock

INSPECTORS = "inspectors"
OFFICE = "office"
REPORTS = "reports"

CLASSES = (
    CallerClass(name=INSPECTORS, first_token_ms=400, penalty=50.0),
    CallerClass(name=OFFICE, first_token_ms=2_000, penalty=1.0),
    CallerClass(name=REPORTS, answer_ms=60_000, penalty=5.0, batch=True),
)
WORKSPACES = (
    Workspace(name="utility", share=3.0),
    Workspace(name="school", share=1.0),
    Workspace(name="plant", share=1.0),
)


def make_configuration(pool: Pool) -> Configuration:
    return Configuration(version=1, workspaces=WORKSPACES, classes=CLASSES, pools=(pool,))


def make_pool(*, slots: int = 2, queue: int = 8, cap: float = 1.25, floor: int = 64) -> Pool:
    return Pool(
        name="models", kind=UpstreamKind.ENGINE, slots=slots, queue=queue, cap=cap, floor=floor
    )


def make_open(
    number: int,
    *,
    workspace: str = "utility",
    caller_class: str = INSPECTORS,
    deadline_ms: int = 60_000,
    waited_ms: int = 0,
    pool_load: PoolLoad | None = None,
) -> Open:
    return Open(
        sequence=number,
        request_id=f"request-{number}",
        kind=UpstreamKind.ENGINE,
        pool="models",
        workspace=workspace,
        caller_class=caller_class,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"",
        stream=True,
        deadline_ms=deadline_ms,
        waited_ms=waited_ms,
        digest=number,
        pool_load=pool_load,
    )


async def async_settle() -> None:
    """Run the event loop until all ready tasks have run."""
    for _ in range(5):
        await asyncio.sleep(0)


class Call(Struct, kw_only=True):
    """One request submitted to admission."""

    task: asyncio.Task[Slot | Refused]
    cancelled: asyncio.Event
    caller_class: str

    @property
    def slot(self) -> Slot:
        outcome = self.task.result()
        assert isinstance(outcome, Slot)
        return outcome

    @property
    def refused(self) -> Refused:
        outcome = self.task.result()
        assert isinstance(outcome, Refused)
        return outcome

    @property
    def runs(self) -> bool:
        return self.task.done() and isinstance(self.task.result(), Slot)

    @property
    def waits(self) -> bool:
        return not self.task.done()


class AdmissionHarness(Struct, kw_only=True):
    """One instance's admission with a manual clock."""

    clock: ManualClock
    app: Application
    admission: Admission
    number: int = 0
    calls: list[Call] = field(default_factory=list)

    def configure(self, pool: Pool) -> None:
        self.admission.configure(make_configuration(pool), pool)

    async def async_call(
        self,
        caller_class: str = INSPECTORS,
        workspace: str = "utility",
        *,
        deadline_ms: int = 60_000,
        waited_ms: int = 0,
    ) -> Call:
        self.number += 1
        request = make_open(
            self.number,
            workspace=workspace,
            caller_class=caller_class,
            deadline_ms=deadline_ms,
            waited_ms=waited_ms,
        )
        cancelled = asyncio.Event()
        task = asyncio.get_running_loop().create_task(
            self.admission.async_admit(request, cancelled)
        )
        call = Call(task=task, cancelled=cancelled, caller_class=caller_class)
        self.calls.append(call)
        await async_settle()
        return call

    async def async_advance(self, delay_ms: int) -> None:
        self.clock.advance(delay_ms)
        await async_settle()

    async def async_finish(self, call: Call) -> None:
        call.slot.release()
        await async_settle()


def make_harness(
    *, clock: ManualClock, pool: Pool, weight: float = 1.0, name: str = "side-1"
) -> AdmissionHarness:
    app = Application(
        name=name,
        role=Role.SIDE,
        data_centre="dc-1",
        region="region-1",
        clock=clock,
        incarnation=1,
    )
    harness = AdmissionHarness(
        clock=clock, app=app, admission=Admission(app=app, weight=weight, name=name)
    )
    harness.configure(pool)
    return harness
