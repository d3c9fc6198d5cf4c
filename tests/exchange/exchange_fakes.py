"""Fake upstream and answer, and requests, for the tests of request handling in a side."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from gypsumrouter.admission import Admission
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application, Remove
from gypsumrouter.exchange import ExchangeRunner
from gypsumrouter.instances import Address, Instance, InstanceList
from gypsumrouter.link.models import Head, Hello, Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.upstream import HandOverDenied, LoadReport, Sink
from gypsumrouter.util.clock import ManualClock

POOL = "records"
MODEL = "chat-large"
WORKSPACE = "utility"
SIDE = "side-1"
ADDRESS = Address(host="127.0.0.1", port=7000)
HELLO = Hello(name="router-1", role=Role.ROUTER, incarnation=7)
LEASE_MS = 15_000
TIMEOUT_S = 10
REQUEST = Open(
    sequence=1,
    request_id="request-1",
    kind=UpstreamKind.SERVICE,
    pool=POOL,
    workspace=WORKSPACE,
    caller_class="inspectors",
    method="POST",
    path="/defects",
    headers=(),
    body=b"{}",
    stream=False,
    deadline_ms=30_000,
    waited_ms=0,
    digest=11,
)


class FakeAnswer:
    """Collects an answer and asserts the order of its parts, as the link does."""

    def __init__(self) -> None:
        self.cancelled = asyncio.Event()
        self.heads: list[Head] = []
        self.body = b""
        self.ended = False
        self.failure: Failure | None = None

    def head(self, head: Head) -> None:
        assert not self.heads
        assert not self._is_over()
        self.heads.append(head)

    async def async_write(self, body: bytes) -> None:
        if self.cancelled.is_set():
            return
        assert self.heads
        assert not self._is_over()
        self.body += body

    def end(self) -> None:
        assert self.heads
        assert not self._is_over()
        self.ended = True

    def fail(self, failure: Failure) -> None:
        assert not self._is_over()
        assert not (isinstance(failure, Refused) and self.heads)
        self.failure = failure

    def _is_over(self) -> bool:
        return self.ended or self.failure is not None


class FakeRun:
    """One run at the upstream, controlled by the test."""

    def __init__(
        self, *, request: Open, answer: Sink, priority: int, handed_over: Callable[[], None]
    ) -> None:
        self.request = request
        self.answer = answer
        self.priority = priority
        self.sent = False
        self.outcome: asyncio.Future[Failure | None] = asyncio.get_running_loop().create_future()
        self._on_send = handed_over

    def send(self) -> None:
        """Send the request; if that is denied, end the run."""
        try:
            self._on_send()
        except HandOverDenied as denied:
            self.outcome.set_result(denied.failure)
            return
        self.sent = True

    async def async_answer(self, body: bytes, *, status: int = 200) -> None:
        self.answer.head(Head(status=status, headers=(("Content-Type", "application/json"),)))
        if body:
            await self.answer.async_write(body)

    def finish(self, failure: Failure | None = None) -> None:
        self.outcome.set_result(failure)


class FakeUpstream:
    """An upstream whose runs are controlled by the test; a cancelled run ends at once."""

    def __init__(self, *, models: tuple[str, ...] = ()) -> None:
        self.up = True
        self.models = models
        self.report: LoadReport | None = None
        self.cancelled: list[str] = []
        self.started = 0
        self._runs: asyncio.Queue[FakeRun] = asyncio.Queue()
        self._crash_listeners: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Do nothing."""

    async def async_next(self) -> FakeRun:
        async with asyncio.timeout(TIMEOUT_S):
            return await self._runs.get()

    async def async_run(
        self, *, request: Open, answer: Sink, priority: int, handed_over: Callable[[], None]
    ) -> Failure | None:
        self.started += 1
        run = FakeRun(request=request, answer=answer, priority=priority, handed_over=handed_over)
        self._runs.put_nowait(run)
        cancelled = asyncio.ensure_future(answer.cancelled.wait())
        ends: set[asyncio.Future[Any]] = {run.outcome, cancelled}
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        cancelled.cancel()
        if run.outcome.done():
            return run.outcome.result()
        self.cancelled.append(request.request_id)
        if run.sent:
            return Failed(reason=Reason.CANCELLED)
        return Refused(reason=Reason.CANCELLED)

    def crash(self) -> None:
        for listener in self._crash_listeners:
            listener()

    def on_crash(self, listener: Callable[[], None]) -> Remove:
        self._crash_listeners.append(listener)
        return lambda: self._crash_listeners.remove(listener)

    def on_up(self, listener: Callable[[bool], None]) -> Remove:
        return lambda: None

    def on_models(self, listener: Callable[[], None]) -> Remove:
        return lambda: None


class FakeInstanceLists:
    """Source of instance lists, published by the test."""

    def __init__(self) -> None:
        self._on_list: list[Callable[[InstanceList], None]] = []
        self._on_fresh: list[Callable[[int], None]] = []

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        self._on_list.append(listener)
        return lambda: self._on_list.remove(listener)

    def on_confirmed(self, listener: Callable[[int], None]) -> Remove:
        self._on_fresh.append(listener)
        return lambda: self._on_fresh.remove(listener)

    def publish(self, as_of_ms: int) -> None:
        instance = Instance(
            name=SIDE,
            role=Role.SIDE,
            address=ADDRESS,
            data_centre="dc-1",
            region="region-1",
            pool=POOL,
        )
        published = InstanceList(revision=1, as_of_ms=as_of_ms, instances=(instance,))
        for listener in self._on_list:
            listener(published)

    def refresh(self, as_of_ms: int) -> None:
        for listener in self._on_fresh:
            listener(as_of_ms)


@dataclass(kw_only=True)
class Side:
    """A runner with real collaborators, and the fakes that control it."""

    app: Application
    clock: ManualClock
    runner: ExchangeRunner
    upstream: FakeUpstream
    admission: Admission
    lists: FakeInstanceLists
    keys: int = 0

    def handle(self, request: Open) -> tuple[FakeAnswer, asyncio.Task[None]]:
        """Begin a request; the task ends when its answer does."""
        answer = FakeAnswer()
        task = asyncio.ensure_future(self._async_handle(request, answer))
        return answer, task

    async def async_handle(self, request: Open) -> FakeAnswer:
        """Run a request to its end."""
        answer, task = self.handle(request)
        await task
        return answer

    def drain(self) -> asyncio.Task[None]:
        """Begin a planned stop."""
        return asyncio.ensure_future(asyncio.wait_for(self.app.async_drain(), TIMEOUT_S))

    async def _async_handle(self, request: Open, answer: FakeAnswer) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await self.runner.async_handle(HELLO, request, answer)  # type: ignore[arg-type]

    def make_keyed(self, request: Open = REQUEST) -> Open:
        """Return an at-most-once call with a new key created now."""
        self.keys += 1
        value = (self.clock.wall_ms() << 80) | (7 << 76) | (2 << 62) | self.keys
        return replace(request, idempotency_key=str(uuid.UUID(int=value)))


async def async_settle() -> None:
    """Run all tasks until they wait for the clock or for the fakes."""
    for _ in range(20):
        await asyncio.sleep(0)
