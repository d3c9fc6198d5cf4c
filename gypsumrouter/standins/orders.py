"""Orders to the stand-in engine: model loads and unloads and role changes, with fencing."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import StrEnum
from typing import Any, Final

import aiohttp
from msgspec import Struct

from gypsumrouter.standins.models import DEFAULT_VERSION, EngineSettings
from gypsumrouter.util.clock import Clock

MAX_RECORDS: Final = 4_096
SOURCE_WEIGHT_STORE: Final = ""
FETCH_TIMEOUT_S: Final = 60.0


class OrderKind(StrEnum):
    """The action of an order."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class OrderState(StrEnum):
    """The state of an order."""

    PENDING = "pending"
    APPLIED = "applied"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class Order(Struct, frozen=True, kw_only=True):
    """One order; `source` is another engine to load from instead of the weight store."""

    kind: OrderKind
    model: str = ""
    version: str = DEFAULT_VERSION
    role: str = ""
    fence: int = 0
    source: str = SOURCE_WEIGHT_STORE


class OrderRecord(Struct, kw_only=True):
    """A received order and its state; `highest_fence` is the highest fencing token before it."""

    order: Order
    state: OrderState
    highest_fence: int
    wall_ms: int
    reason: str = ""


class OrderHandler:
    """Executes orders; loads run in the background."""

    __slots__ = (
        "_clock",
        "_loads",
        "_settings",
        "_tasks",
        "highest_fence",
        "models",
        "records",
        "role",
    )

    def __init__(self, *, clock: Clock, settings: EngineSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._loads: dict[str, OrderRecord] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.records: deque[OrderRecord] = deque(maxlen=MAX_RECORDS)
        self.highest_fence = 0
        self.models: dict[str, str] = {}
        self.role = ""
        self.restart()

    def restart(self) -> None:
        """Reset to the models and role of the settings, as a restart of the engine does."""
        self.cancel_all()
        self.models = dict.fromkeys(self._settings.models, DEFAULT_VERSION)
        self.role = self._settings.role
        if not self._settings.fence_survives_restart:
            self.highest_fence = 0

    def cancel_all(self) -> None:
        """Cancel all pending loads."""
        for model in tuple(self._tasks):
            self.cancel(model)

    def handle(self, order: Order) -> OrderRecord:
        """Refuse an order with an outdated fencing token, otherwise execute it."""
        record = OrderRecord(
            order=order,
            state=OrderState.PENDING,
            highest_fence=self.highest_fence,
            wall_ms=self._clock.wall_ms(),
        )
        self.records.append(record)
        if self._settings.checks_fence and order.fence < self.highest_fence:
            record.state = OrderState.REFUSED
            record.reason = "old_fence"
            return record
        self.highest_fence = max(self.highest_fence, order.fence)
        self._execute(record)
        return record

    def cancel(self, model: str) -> bool:
        """Cancel the pending load of a model and return whether there was one."""
        task = self._tasks.pop(model, None)
        record = self._loads.pop(model, None)
        if task is None or record is None:
            return False
        task.cancel()
        record.state = OrderState.CANCELLED
        return True

    def has_model(self, model: str, version: str) -> bool:
        """Return whether a model is loaded in this version; an empty version matches any."""
        return model in self.models and version in ("", self.models[model])

    def _execute(self, record: OrderRecord) -> None:
        order = record.order
        match order.kind:
            case OrderKind.LOAD:
                self._start_load(record)
            case OrderKind.UNLOAD:
                self.cancel(order.model)
                self.models.pop(order.model, None)
                record.state = OrderState.APPLIED
            case OrderKind.SET_ROLE:
                self.role = order.role
                record.state = OrderState.APPLIED

    def _start_load(self, record: OrderRecord) -> None:
        order = record.order
        if self.has_model(order.model, order.version):
            self.cancel(order.model)
            record.state = OrderState.APPLIED
            return
        pending = self._loads.get(order.model)
        if pending is not None and pending.order.version == order.version:
            record.reason = "joined"
            return
        self.cancel(order.model)
        self._loads[order.model] = record
        load = self._async_load(record)
        self._tasks[order.model] = asyncio.get_running_loop().create_task(load)

    async def _async_load(self, record: OrderRecord) -> None:
        order = record.order
        try:
            record.reason = await self._async_fetch(order)
        except (aiohttp.ClientError, TimeoutError) as error:
            record.reason = f"fetch_failed: {type(error).__name__}"
        self._tasks.pop(order.model, None)
        self._loads.pop(order.model, None)
        if record.reason:
            record.state = OrderState.FAILED
            return
        self.models[order.model] = order.version
        record.state = OrderState.APPLIED

    async def _async_fetch(self, order: Order) -> str:
        """Fetch the weights and return the reason of a failure, empty on success."""
        store = self._settings.weight_store
        if order.source:
            origin = order.source
        elif store is not None:
            origin = str(store)
        else:
            await self._clock.async_sleep(self._settings.load_ms)
            return ""
        url = f"http://{origin}/v1/weights/{order.model}"
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params={"version": order.version}) as response,
        ):
            await response.read()
            return "" if response.status == 200 else f"fetch_status_{response.status}"


def parse_order(payload: dict[str, Any]) -> Order | None:
    """Parse an order from a JSON object; returns None if it is invalid."""
    try:
        order = Order(
            kind=OrderKind(payload["order"]),
            model=str(payload.get("model") or ""),
            version=str(payload.get("version") or DEFAULT_VERSION),
            role=str(payload.get("role") or ""),
            fence=int(payload.get("fence") or 0),
            source=str(payload.get("source") or SOURCE_WEIGHT_STORE),
        )
    except (KeyError, ValueError, TypeError):
        return None
    required = order.role if order.kind is OrderKind.SET_ROLE else order.model
    return order if required else None


def format_record(record: OrderRecord) -> dict[str, object]:
    """Return a record as JSON-serializable data."""
    order = record.order
    return {
        "order": order.kind,
        "model": order.model,
        "version": order.version,
        "role": order.role,
        "fence": order.fence,
        "state": record.state,
        "reason": record.reason,
        "highest_fence": record.highest_fence,
        "wall_ms": record.wall_ms,
    }
