"""Store of the configuration in force; its version never decreases."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from gypsumrouter.configuration.assembly import assemble, build_from_parts
from gypsumrouter.configuration.check import check_in_slices, read_version
from gypsumrouter.configuration.const import (
    FIELD_VERSION,
    MAX_DOCUMENT_BYTES,
    MAX_JOINED_BYTES,
    MAX_RECORDED_ERRORS,
)
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.configuration.outcomes import Accepted, OfferOutcome, Rejected, Stale
from gypsumrouter.configuration.parts import EMPTY_PARTS, PartSet, join_parts, split_into_parts
from gypsumrouter.configuration.slices import async_run_sliced
from gypsumrouter.exceptions import ConfigurationInvalid, FieldError

if TYPE_CHECKING:
    from gypsumrouter.core import Application, Remove

_LOGGER = logging.getLogger(__name__)

Listener = Callable[[Configuration], None]

DUMP_SECTION: Final = "configuration"
_VERSION_PATH: Final = f"$.{FIELD_VERSION}"


class Rejection(Struct, frozen=True, kw_only=True):
    """A rejected version; `errors` holds the first of its `error_count` errors."""

    version: int | None
    at_ms: int
    errors: tuple[FieldError, ...]
    error_count: int


class ConfigurationStore:
    """Hold the valid configuration with the highest version that was offered.

    `ready` is set with the first configuration. `parts` is sent to other processes on request.
    """

    __slots__ = (
        "_accepted_at_ms",
        "_app",
        "_listeners",
        "_lock",
        "_stale_count",
        "current",
        "parts",
        "ready",
        "rejection",
    )

    def __init__(self, *, app: Application) -> None:
        self._app = app
        self._lock = asyncio.Lock()
        self._listeners: list[Listener] = []
        self._accepted_at_ms: int | None = None
        self._stale_count = 0
        self.current = Configuration(version=0)
        self.parts: PartSet = EMPTY_PARTS
        self.ready = asyncio.Event()
        self.rejection: Rejection | None = None
        app.add_dump_section(DUMP_SECTION, self._dump)
        app.metrics.gauge(
            "gypsumrouter_configuration_version",
            "Version of the configuration that is in force",
            lambda: {(): self.current.version},
        )

    def on_change(self, listener: Listener) -> Remove:
        """Register a listener that is called with each configuration that comes into force."""
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    async def async_offer(self, document: bytes) -> OfferOutcome:
        """Validate a document and put it in force if it is valid and newer.

        Validation yields to the event loop, and concurrent offers are processed in order.
        """
        async with self._lock:
            return await self._async_check_and_activate(document, MAX_DOCUMENT_BYTES)

    async def async_offer_parts(
        self, *, version: int, manifest: tuple[int, ...], bodies: Mapping[int, bytes]
    ) -> OfferOutcome | None:
        """Offer a version in parts, all of which are in `bodies` or in force.

        Only parts that are not in force are parsed. The outcome is the same as for the whole
        document, or None if parts are missing or corrupt.
        """
        async with self._lock:
            if version < self.current.version:
                return self._record_stale(version)
            existing = self.parts
            if any(d not in bodies and d not in existing.parts for d in manifest):
                return None
            work = assemble(version=version, manifest=manifest, bodies=bodies, existing=existing)
            found = await async_run_sliced(work)
            if found is not None:
                return self._activate_if_newer(found.configuration, found.parts)
            existing_bodies = {digest: part.body for digest, part in existing.parts.items()}
            joining = join_parts(version, manifest, {**existing_bodies, **bodies})
            document = await async_run_sliced(joining)
            if document is None:
                return None
            return await self._async_check_and_activate(document, MAX_JOINED_BYTES)

    async def _async_check_and_activate(self, document: bytes, limit_bytes: int) -> OfferOutcome:
        claimed = await async_run_sliced(read_version(document))
        if claimed is not None and claimed < self.current.version:
            return self._record_stale(claimed)
        try:
            checking = check_in_slices(document, limit_bytes=limit_bytes)
            checked = await async_run_sliced(checking)
        except ConfigurationInvalid as error:
            return self._reject(claimed, error.errors)
        parts = await async_run_sliced(split_into_parts(checked, self.parts))
        # Unchanged elements are shared with the configuration in force, to save memory.
        shared = await async_run_sliced(build_from_parts(parts))
        return self._activate_if_newer(shared or checked.configuration, parts)

    def _activate_if_newer(self, configuration: Configuration, parts: PartSet) -> OfferOutcome:
        if configuration.version == self.current.version:
            return self._compare_content(parts)
        self._activate(configuration, parts)
        return Accepted(version=configuration.version, changed=True)

    def _record_stale(self, version: int) -> Stale:
        self._stale_count += 1
        return Stale(version=version, in_force=self.current.version)

    def _compare_content(self, parts: PartSet) -> OfferOutcome:
        if parts.digest == self.parts.digest:
            return Accepted(version=parts.version, changed=False)
        message = f"version {parts.version} is in force with another content"
        return self._reject(parts.version, (FieldError(path=_VERSION_PATH, message=message),))

    def _activate(self, configuration: Configuration, parts: PartSet) -> None:
        self.current = configuration
        self.parts = parts
        self._accepted_at_ms = self._app.clock.wall_ms()
        if self.rejection is not None and (self.rejection.version or 0) <= configuration.version:
            self.rejection = None
        _LOGGER.info("Configuration %s is in force", configuration.version)
        self.ready.set()
        for listener in tuple(self._listeners):
            try:
                listener(configuration)
            except Exception:
                _LOGGER.exception(
                    "Listener failed on configuration %s; calling the remaining listeners",
                    configuration.version,
                )

    def _reject(self, version: int | None, errors: tuple[FieldError, ...]) -> Rejected:
        previous = self.rejection
        if previous is None or previous.version != version or previous.error_count != len(errors):
            _LOGGER.warning(
                "Configuration %s was rejected, %s stays in force: %s",
                version,
                self.current.version,
                "; ".join(str(error) for error in errors[:MAX_RECORDED_ERRORS]),
            )
        self.rejection = Rejection(
            version=version,
            at_ms=self._app.clock.wall_ms(),
            errors=errors[:MAX_RECORDED_ERRORS],
            error_count=len(errors),
        )
        return Rejected(version=version, errors=errors)

    def _dump(self) -> dict[str, object]:
        return {
            "in_force": {
                "version": self.current.version,
                "digest": f"{self.parts.digest:016x}",
                "accepted_at_ms": self._accepted_at_ms,
                "workspaces": len(self.current.workspaces),
                "rules": len(self.current.rules),
            },
            "older_seen": self._stale_count,
            "rejected": _dump_rejection(self.rejection),
        }


def _dump_rejection(rejection: Rejection | None) -> dict[str, object] | None:
    if rejection is None:
        return None
    return {
        "version": rejection.version,
        "at_ms": rejection.at_ms,
        "error_count": rejection.error_count,
        "errors": [{"path": error.path, "message": error.message} for error in rejection.errors],
    }
