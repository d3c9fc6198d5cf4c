"""Stand-in of a model engine: lifecycle, faults and counters."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Final

from msgspec import Struct

from gypsumrouter.instances import Address
from gypsumrouter.standins.batch import Batch, Sequence
from gypsumrouter.standins.cache import CacheEventLog, PrefixCache
from gypsumrouter.standins.chat import TYPE_EVENTS, TYPE_JSON, ChatEncoder, ChatRequest
from gypsumrouter.standins.engine_api import EngineApi
from gypsumrouter.standins.faults import Gate
from gypsumrouter.standins.listener import StandinListener
from gypsumrouter.standins.load_history import LoadHistory
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.orders import OrderHandler
from gypsumrouter.standins.streams import ResponseStream, StreamState, StreamTable
from gypsumrouter.util.clock import Clock

MAX_EXECUTIONS: Final = 200_000


class EngineCounts(Struct, frozen=True, kw_only=True):
    """Counters of an engine, kept across its restarts."""

    requests: int
    whole: int
    cancelled: int
    refused: int
    crashes: int
    prompt_tokens: int
    cached_tokens: int
    produced_tokens: int
    steps: int
    max_load: int


class Engine:
    """Serves chat completions with continuous batching; see docs/PROTOCOLS.md.

    Counters and `executions` (by request id) are kept across crashes; the cache, the responses and
    the loaded models are not.
    """

    __slots__ = (
        "_batch_task",
        "_clock",
        "_gate",
        "_listener",
        "_restart_task",
        "batch",
        "cache",
        "cancelled",
        "completed",
        "crashes",
        "events",
        "executions",
        "history",
        "orders",
        "rejected",
        "requests",
        "settings",
        "start_id",
        "streams",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        settings: EngineSettings | None = None,
    ) -> None:
        self._clock = clock
        self.settings = settings or EngineSettings()
        self._batch_task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None
        self.start_id = 1
        self.requests = 0
        self.completed = 0
        self.cancelled = 0
        self.rejected = 0
        self.crashes = 0
        self.executions: OrderedDict[str, int] = OrderedDict()
        self.history = LoadHistory(clock=clock)
        self.events = CacheEventLog(
            clock=clock,
            lag_ms=self.settings.cache_event_lag_ms,
            loss=self.settings.cache_event_loss,
            seed=self.settings.seed,
        )
        self.cache = PrefixCache(capacity_tokens=self.settings.cache_tokens, events=self.events)
        self.streams = StreamTable(
            clock=clock,
            retention_ms=self.settings.stream_keep_ms,
            max_ended=self.settings.streams_kept,
        )
        self.batch = Batch(
            clock=clock,
            settings=self.settings,
            cache=self.cache,
            on_change=self._record_load,
            on_end=self._record_end,
            on_crash=self.crash,
        )
        self.orders = OrderHandler(clock=clock, settings=self.settings)
        self._gate = Gate()
        api = EngineApi(engine=self, clock=clock)
        self._listener = StandinListener(app=api.make_app(self._gate), host=host, port=port)

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._listener.address

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.batch.running + self.batch.waiting

    @property
    def counts(self) -> EngineCounts:
        """Return a snapshot of the counters."""
        return EngineCounts(
            requests=self.requests,
            whole=self.completed,
            cancelled=self.cancelled,
            refused=self.rejected,
            crashes=self.crashes,
            prompt_tokens=self.batch.prompt_tokens,
            cached_tokens=self.batch.cached_tokens,
            produced_tokens=self.batch.produced_tokens,
            steps=self.batch.steps,
            max_load=self.history.max_load,
        )

    async def async_start(self) -> Address:
        """Start listening and batching, and return the address."""
        address = await self._listener.async_start()
        self._start_batch()
        return address

    async def async_stop(self) -> None:
        """Stop the engine; running responses are cancelled and connections reset."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._stop_batch()
        self.orders.cancel_all()
        self.streams.clear()
        await self._listener.async_stop()

    def submit(
        self, *, request: ChatRequest, request_id: str, chat: str, priority: int, crashes: bool
    ) -> ResponseStream:
        """Queue a request and count it as executed."""
        self.requests += 1
        self._count_execution(request_id)
        stream = ResponseStream(
            clock=self._clock,
            request_id=request_id,
            content_type=TYPE_EVENTS if request.stream else TYPE_JSON,
        )
        self.streams.add(stream)
        wall_ms = self._clock.wall_ms()
        sequence = Sequence(
            request=request,
            encoder=ChatEncoder(request=request, request_id=request_id, wall_ms=wall_ms),
            stream=stream,
            chat=chat,
            priority=priority,
            crashes=crashes,
        )
        self.batch.submit(sequence)
        return stream

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; returns whether it was active."""
        stream = self.streams.get(request_id)
        if stream is None or stream.state is not StreamState.ACTIVE:
            return False
        stream.end(StreamState.CANCELLED)
        self.batch.remove_ended()
        return True

    def crash(self) -> None:
        """Reset all connections, drop all state but the counters, and restart on the same port."""
        self.crashes += 1
        self._listener.close()
        self._stop_batch()
        self.batch.clear()
        self.streams.clear()
        self.cache.clear()
        self.orders.restart()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.get_running_loop().create_task(self._async_restart())

    def freeze(self) -> None:
        """Keep accepting connections, but neither handle requests nor run steps."""
        self._gate.close()
        self.batch.pause()

    def thaw(self) -> None:
        """Handle requests and run steps again."""
        self._gate.open()
        self.batch.resume()

    async def _async_restart(self) -> None:
        await self._clock.async_sleep(self.settings.restart_ms)
        self.start_id += 1
        self.thaw()
        self._start_batch()
        await self._listener.async_open()

    def _start_batch(self) -> None:
        self._batch_task = asyncio.get_running_loop().create_task(self.batch.async_run())

    def _stop_batch(self) -> None:
        if self._batch_task is not None:
            self._batch_task.cancel()
            self._batch_task = None

    def _count_execution(self, request_id: str) -> None:
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if len(self.executions) > MAX_EXECUTIONS:
            self.executions.popitem(last=False)

    def _record_load(self) -> None:
        self.history.record(running=self.batch.running, waiting=self.batch.waiting)

    def _record_end(self, state: StreamState) -> None:
        if state is StreamState.COMPLETE:
            self.completed += 1
        else:
            self.cancelled += 1
