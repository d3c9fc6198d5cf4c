"""Health of an upstream, from polls and from the broken connections of runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application, Remove
from gypsumrouter.helpers.numbers import read_json_number
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.const import (
    MAX_FAILED_POLLS,
    PATH_ENGINE_LOAD,
    PATH_ENGINE_MODELS,
    PATH_SERVICE_LOAD,
    PROBE_PAUSE_MS,
)
from gypsumrouter.upstream.models import ConnectionBroken, Liveness, LoadReport
from gypsumrouter.upstream.transport import ConnectFailed, Transport

_LOGGER = logging.getLogger(__name__)


class Health:
    """Poll one upstream; keep its models, its load report and whether it is up.

    `generation` counts the crashes of the upstream, so that runs which fail in the same crash count
    as one. `crashed` is true from a crash until the upstream responds to a poll again.
    """

    __slots__ = (
        "_app",
        "_crash_listeners",
        "_failures",
        "_models_listeners",
        "_settings",
        "_transport",
        "_up_listeners",
        "crashed",
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
        self._crash_listeners: list[Callable[[], None]] = []
        self._models_listeners: list[Callable[[], None]] = []
        self._up_listeners: list[Callable[[bool], None]] = []
        is_engine = settings.kind is UpstreamKind.ENGINE
        self.load_path = PATH_ENGINE_LOAD if is_engine else PATH_SERVICE_LOAD
        self.crashed = False
        self.generation = 0
        self.models: tuple[str, ...] = ()
        self.report: LoadReport | None = None
        self.up = False

    def start(self) -> None:
        """Start to poll."""
        self._app.async_create_task(self._async_poll(), "upstream poll")

    def on_models(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for changes of the models of an engine."""
        self._models_listeners.append(listener)
        return lambda: self._models_listeners.remove(listener)

    def on_crash(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for crashes of the upstream while it runs requests."""
        self._crash_listeners.append(listener)
        return lambda: self._crash_listeners.remove(listener)

    def on_up(self, listener: Callable[[bool], None]) -> Remove:
        """Register a listener for changes of `up`."""
        self._up_listeners.append(listener)
        return lambda: self._up_listeners.remove(listener)

    def notify_models(self) -> None:
        """Call the listeners for the models."""
        for listener in tuple(self._models_listeners):
            listener()

    async def async_check_crash(self, generation: int) -> bool:
        """Probe the upstream after a broken connection; return whether it has crashed.

        `generation` is the one in which the failed run began. A probe whose connection breaks is
        repeated once, since the same network fault may have broken both connections.
        """
        liveness = await self._transport.async_probe(self.load_path)
        if liveness is Liveness.BROKEN:
            await self._app.clock.async_sleep(PROBE_PAUSE_MS)
            liveness = await self._transport.async_probe(self.load_path)
        has_crashed = liveness in (Liveness.UNREACHABLE, Liveness.BROKEN)
        if has_crashed:
            self._handle_crash(generation)
        return has_crashed

    def _handle_crash(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.generation += 1
        self.crashed = True
        _LOGGER.warning(
            "The upstream crashed while it ran requests; rejecting requests until it responds to "
            "polls again"
        )
        self._failures = MAX_FAILED_POLLS
        self._set_up(False)
        for listener in tuple(self._crash_listeners):
            listener()

    async def _async_poll(self) -> None:
        while True:
            await self._async_poll_once()
            await self._app.clock.async_sleep(self._settings.load_poll_ms)

    async def _async_poll_once(self) -> None:
        generation = self.generation
        try:
            report = _parse_report(await self._transport.async_fetch_json(self.load_path))
            models = await self._async_get_models()
        except (ConnectFailed, ConnectionBroken, TimeoutError, ValueError) as error:
            self._handle_failed_poll(error)
            return
        if generation != self.generation:
            return
        self.report = report
        self.crashed = False
        self._failures = 0
        self._set_up(True)
        self._set_models(models)

    async def _async_get_models(self) -> tuple[str, ...]:
        if self._settings.kind is not UpstreamKind.ENGINE:
            return ()
        return _parse_models(await self._transport.async_fetch_json(PATH_ENGINE_MODELS))

    def _handle_failed_poll(self, error: Exception) -> None:
        self._failures += 1
        _LOGGER.debug("Failed to poll the upstream: %s", error)
        if self._failures >= MAX_FAILED_POLLS:
            self._set_up(False)

    def _set_up(self, up: bool) -> None:
        if up == self.up:
            return
        self.up = up
        if up:
            _LOGGER.info("The upstream responds to polls and is up")
        else:
            _LOGGER.warning("The upstream does not respond to polls and is down")
        for listener in tuple(self._up_listeners):
            listener(up)

    def _set_models(self, models: tuple[str, ...]) -> None:
        if models == self.models:
            return
        self.models = models
        _LOGGER.info("Models of the upstream changed to: %s", ", ".join(models))
        self.notify_models()


def _parse_report(document: Any) -> LoadReport:
    if not isinstance(document, dict):
        raise ValueError(f"load report: expected a JSON object, got {document!r:.100}")
    return LoadReport(
        running=_parse_int(document, "running"),
        waiting=_parse_int(document, "waiting"),
        slots=_parse_int(document, "slots"),
        cached_tokens=_parse_int(document, "cached_tokens"),
        as_of_ms=_parse_int(document, "as_of_ms"),
    )


def _parse_int(document: dict[str, Any], name: str) -> int:
    value = document.get(name, 0)
    number = read_json_number(value)
    if number is None:
        raise ValueError(f"load report: expected a count for {name}, got {value!r:.100}")
    return number


def _parse_models(document: Any) -> tuple[str, ...]:
    entries = document.get("data") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f"model list: expected an object with a data list, got {document!r:.100}")
    names = {str(entry["id"]) for entry in entries if isinstance(entry, dict) and "id" in entry}
    return tuple(sorted(names))
