"""At-most-once calls of one side."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, Protocol

from gypsumrouter.configuration.models import AtMostOnce, Pool
from gypsumrouter.core import Application, Remove
from gypsumrouter.fleet import Address, InstanceList
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.idempotency.const import DIGEST_BYTES, MEMORY_RETRY_MS, SKEW_FACTOR
from gypsumrouter.idempotency.keys import Key, parse_key
from gypsumrouter.idempotency.outcomes import Replay
from gypsumrouter.idempotency.ownership import OwnershipHistory
from gypsumrouter.idempotency.ownership_checks import OwnershipChecks
from gypsumrouter.idempotency.records import Join, Record, RecordStore
from gypsumrouter.idempotency.run import Run
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform

DUMP_SECTION: Final = "idempotency"
LABEL_RESULT: Final = "result"
DEFAULT_POLICY: Final = AtMostOnce(calls=())


class InstanceListEvents(Protocol):
    """Source of the published instance lists, which determine the owner of a key."""

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        """Register a listener for each accepted list."""

    def on_confirmed(self, listener: Callable[[int], None]) -> Remove:
        """Register a listener for the wall time at which the list was last confirmed unchanged."""


class Idempotency:
    """Decides for each call with an idempotency key whether it runs, and stores its outcome.

    Nothing runs before `set_listen_address`. Stored outcomes are returned regardless of the
    instance list. Whether a new call may run depends on the lease of the list and on how long this
    process has owned the key.
    """

    __slots__ = ("_app", "_checks", "_ownership", "_policy", "_results", "_settings", "_store")

    def __init__(
        self,
        *,
        app: Application,
        settings: Platform,
        fleet: InstanceListEvents,
        name: str,
        pool: str,
    ) -> None:
        self._app = app
        self._settings = settings
        self._policy = DEFAULT_POLICY
        self._ownership = OwnershipHistory(name=name, pool=pool)
        self._checks = OwnershipChecks(
            app=app, settings=settings, policy=DEFAULT_POLICY, ownership=self._ownership
        )
        self._store = RecordStore(
            max_calls=DEFAULT_POLICY.remembered_calls, max_bytes=DEFAULT_POLICY.remembered_bytes
        )
        self._results = app.metrics.counter(
            "gypsum_at_most_once_calls_total", "Calls that must not be repeated by their result"
        )
        self._add_gauges()
        fleet.on_list(self._ownership.apply_list)
        fleet.on_confirmed(self._ownership.apply_refresh)
        app.add_dump_section(DUMP_SECTION, self._dump)

    def set_listen_address(self, address: Address) -> None:
        """Set the address that lists must have for this process; call once it listens there."""
        self._checks.set_listen_address(address)

    def configure(self, pool: Pool) -> None:
        """Apply the time window and the storage limits of a pool's configuration."""
        self._policy = pool.at_most_once or DEFAULT_POLICY
        self._checks.set_policy(self._policy)
        self._store.set_bounds(
            max_calls=self._policy.remembered_calls, max_bytes=self._policy.remembered_bytes
        )

    def lookup(self, request: Open) -> Replay | Join | Failure | None:
        """Return the stored outcome or the running call, None if the call is unknown.

        The result is also valid while this process is draining.
        """
        self._store.expire(self._app.clock.now_ms())
        record = self._store.get(_get_digest(request))
        if record is None:
            return None
        if record.fingerprint != _get_fingerprint(request):
            message = "the key was used for another request before"
            return Refused(reason=Reason.KEY_REUSED, message=message)
        return Join(record) if record.outcome is None else record.outcome

    def begin(
        self, request: Open, *, received_wall_ms: int | None = None
    ) -> Run | Replay | Join | Failure:
        """Return whether to run, replay, join or fail a call.

        `received_wall_ms` is the wall time at which a router received the request.
        """
        result = self._begin(request, received_wall_ms)
        self._results.inc(labels=((LABEL_RESULT, _get_label(result)),))
        return result

    def _begin(self, request: Open, received_wall_ms: int | None) -> Run | Replay | Join | Failure:
        key = parse_key(request.idempotency_key)
        if isinstance(key, Refused):
            return key
        stored = self.lookup(request)
        if stored is not None:
            return stored

        def recheck() -> Failure | None:
            return self._checks.check(
                workspace=request.workspace, key=key, expired_until_ms=self._store.expired_until_ms
            )

        failure = recheck() or self._checks.check_transit(key, received_wall_ms)
        failure = failure or self._check_capacity()
        if failure is not None:
            return failure
        record = self._make_record(request, key)
        self._store.add(record)
        return Run(store=self._store, record=record, recheck=recheck)

    def _check_capacity(self) -> Refused | None:
        if self._store.has_capacity():
            return None
        next_ms = self._store.next_expiry_ms
        now_ms = self._app.clock.now_ms()
        return Refused(
            reason=Reason.CALL_RECORDS_FULL,
            message="the memory of calls that must not be repeated is full",
            retry_after_ms=max(MEMORY_RETRY_MS, (next_ms or now_ms) - now_ms),
        )

    def _make_record(self, request: Open, key: Key) -> Record:
        return Record(
            digest=_get_digest(request),
            fingerprint=_get_fingerprint(request),
            created_ms=key.created_ms,
            expires_ms=self._app.clock.now_ms() + self._get_retention_ms(key),
        )

    def _get_retention_ms(self, key: Key) -> int:
        """Return how long the outcome of a call that begins now is stored."""
        margin_ms = SKEW_FACTOR * self._settings.clock_skew_ms
        if key.created_ms is None:
            return self._checks.opaque_lifetime_ms + margin_ms
        age_ms = self._app.clock.wall_ms() - key.created_ms
        return self._policy.window_ms - age_ms + margin_ms

    def _add_gauges(self) -> None:
        metrics = self._app.metrics
        metrics.gauge(
            "gypsum_remembered_calls",
            "Calls that are remembered",
            lambda: {NO_LABELS: self._store.calls},
        )
        metrics.gauge(
            "gypsum_remembered_bytes",
            "Bytes that are accounted for the remembered calls",
            lambda: {NO_LABELS: self._store.used_bytes},
        )

    def _dump(self) -> dict[str, object]:
        return {
            "remembered": self._store.calls,
            "running": self._store.running,
            "bytes": self._store.used_bytes,
            "window_ms": self._policy.window_ms,
            "list_as_of_ms": self._ownership.as_of_ms,
            "listed": self._ownership.is_listed,
            "listening_since_ms": self._checks.listening_since_ms,
            "results": {
                dict(labels)[LABEL_RESULT]: n for labels, n in self._results.values.items()
            },
        }


def _get_digest(request: Open) -> bytes:
    return _digest(request.workspace.encode(), request.idempotency_key.encode())


def _get_fingerprint(request: Open) -> bytes:
    return _digest(request.method.encode(), request.path.encode(), request.body)


def _digest(*parts: bytes) -> bytes:
    """Return a cryptographic digest of the length-prefixed parts."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def _get_label(result: Run | Replay | Join | Failure) -> str:
    match result:
        case Refused() | Failed():
            return result.reason.value
        case _:
            return type(result).__name__.lower()
