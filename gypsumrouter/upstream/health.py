"""How an upstream is doing: polled, and noticed by the runs that break."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application, Remove
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.const import (
    FAILED_POLLS_DOWN,
    PATH_ENGINE_LOAD,
    PATH_ENGINE_MODELS,
    PATH_SERVICE_LOAD,
    PROBE_PAUSE_MS,
)
from gypsumrouter.upstream.models import ConnectionBroken, Liveness, LoadReport
from gypsumrouter.upstream.transport import Transport, Unreached

_LOGGER = logging.getLogger(__name__)


class Health:
    """Poll one upstream; keep its models, its load report and whether it is up.

    `generation` grows with each death of the upstream, so that runs which break together count
    as one death. It is `dead` from a death until it answers a poll again.
    """

    __slots__ = (
        "_app",
        "_died_listeners",
        "_failures",
        "_models_listeners",
        "_settings",
        "_transport",
        "_up_listeners",
        "dead",
        "generation",
        "load_path",
        "models",
        "report",
        "up",
    )

    def __init__(self, *, app: Application, settings: Upstream, transport: Transport) -> None:
        self._app = app
        self._settings = settings
        self._transport = transport
        self._failures = 0
        self._died_listeners: list[Callable[[], None]] = []
        self._models_listeners: list[Callable[[], None]] = []
        self._up_listeners: list[Callable[[bool], None]] = []
        is_engine = settings.kind is UpstreamKind.ENGINE
        self.load_path = PATH_ENGINE_LOAD if is_engine else PATH_SERVICE_LOAD
        self.dead = False
        self.generation = 0
        self.models: tuple[str, ...] = ()
        self.report: LoadReport | None = None
        self.up = False

    def start(self) -> None:
        """Begin to poll."""
        self._app.async_create_task(self._async_poll(), "upstream poll")

    def on_models(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for changes of the models that an engine holds."""
        self._models_listeners.append(listener)
        return lambda: self._models_listeners.remove(listener)

    def on_died(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for the upstream's death while it ran requests."""
        self._died_listeners.append(listener)
        return lambda: self._died_listeners.remove(listener)

    def on_up(self, listener: Callable[[bool], None]) -> Remove:
        """Register a listener for the upstream becoming reachable or unreachable."""
        self._up_listeners.append(listener)
        return lambda: self._up_listeners.remove(listener)

    def tell_models(self) -> None:
        """Call the listeners for the models."""
        for listener in tuple(self._models_listeners):
            listener()

    async def async_note_broken(self, generation: int) -> bool:
        """Return whether a broken connection means that the upstream died.

        `generation` is the one in which the broken run began. A new connection that breaks too
        is tried once more, since whatever cut the first may have cut it as well.
        """
        liveness = await self._transport.async_probe(self.load_path)
        if liveness is Liveness.BROKEN:
            await self._app.clock.async_sleep(PROBE_PAUSE_MS)
            liveness = await self._transport.async_probe(self.load_path)
        has_died = liveness in (Liveness.UNREACHABLE, Liveness.BROKEN)
        if has_died:
            self._note_died(generation)
        return has_died

    def _note_died(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.generation += 1
        self.dead = True
        _LOGGER.warning("The upstream died while it ran requests")
        self._failures = FAILED_POLLS_DOWN
        self._set_up(False)
        for listener in tuple(self._died_listeners):
            listener()

    async def _async_poll(self) -> None:
        while True:
            await self._async_poll_once()
            await self._app.clock.async_sleep(self._settings.load_poll_ms)

    async def _async_poll_once(self) -> None:
        generation = self.generation
        try:
            report = _read_report(await self._transport.async_fetch_json(self.load_path))
            models = await self._async_get_models()
        except (Unreached, ConnectionBroken, TimeoutError, ValueError) as error:
            self._note_failed(error)
            return
        if generation != self.generation:
            return
        self.report = report
        self.dead = False
        self._failures = 0
        self._set_up(True)
        self._set_models(models)

    async def _async_get_models(self) -> tuple[str, ...]:
        if self._settings.kind is not UpstreamKind.ENGINE:
            return ()
        return _read_models(await self._transport.async_fetch_json(PATH_ENGINE_MODELS))

    def _note_failed(self, error: Exception) -> None:
        self._failures += 1
        _LOGGER.debug("Poll of the upstream failed: %s", error)
        if self._failures >= FAILED_POLLS_DOWN:
            self._set_up(False)

    def _set_up(self, up: bool) -> None:
        if up == self.up:
            return
        self.up = up
        if up:
            _LOGGER.info("The upstream answers")
        else:
            _LOGGER.warning("The upstream does not answer")
        for listener in tuple(self._up_listeners):
            listener(up)

    def _set_models(self, models: tuple[str, ...]) -> None:
        if models == self.models:
            return
        self.models = models
        _LOGGER.info("The upstream holds the models %s", ", ".join(models))
        self.tell_models()


def _read_report(document: Any) -> LoadReport:
    if not isinstance(document, dict):
        raise ValueError("the load report is not an object")
    return LoadReport(
        running=_read_int(document, "running"),
        waiting=_read_int(document, "waiting"),
        slots=_read_int(document, "slots"),
        cached_tokens=_read_int(document, "cached_tokens"),
        as_of_ms=_read_int(document, "as_of_ms"),
    )


def _read_int(document: dict[str, Any], name: str) -> int:
    value = document.get(name, 0)
    if not isinstance(value, int):
        raise ValueError(f"{name} is not a whole number")
    return value


def _read_models(document: Any) -> tuple[str, ...]:
    entries = document.get("data") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ValueError("the list of models has no data")
    names = {str(entry["id"]) for entry in entries if isinstance(entry, dict) and "id" in entry}
    return tuple(sorted(names))
