"""The calls of one side that must not be repeated."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, Protocol

from gypsumrouter.configuration.models import AtMostOnce, Pool
from gypsumrouter.core import Application, Remove
from gypsumrouter.fleet import Address, InstanceList
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.idempotency.confirmation import HomeConfirmation
from gypsumrouter.idempotency.const import DIGEST_BYTES, MEMORY_RETRY_MS, SKEWS
from gypsumrouter.idempotency.homes import Tenure
from gypsumrouter.idempotency.keys import Key, parse_key
from gypsumrouter.idempotency.memory import CallMemory, Join, Record
from gypsumrouter.idempotency.outcomes import Replay
from gypsumrouter.idempotency.run import Run
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform

DUMP_SECTION: Final = "idempotency"
LABEL_RESULT: Final = "result"
DEFAULT_POLICY: Final = AtMostOnce(calls=())


class PublishedLists(Protocol):
    """The part of the fleet that homes are derived from."""

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        """Register a listener for every list that is accepted."""

    def on_fresh(self, listener: Callable[[int], None]) -> Remove:
        """Register a listener for the wall time by which the list was unchanged."""


class Idempotency:
    """What one side runs at most once.

    Nothing is run before `note_listening`. What is remembered is always told, whatever the list
    says; whether a new call may run is decided by the lease of the list and by the tenure.
    """

    __slots__ = ("_app", "_confirmation", "_memory", "_policy", "_results", "_settings", "_tenure")

    def __init__(
        self, *, app: Application, settings: Platform, fleet: PublishedLists, name: str, pool: str
    ) -> None:
        self._app = app
        self._settings = settings
        self._policy = DEFAULT_POLICY
        self._tenure = Tenure(name=name, pool=pool)
        self._confirmation = HomeConfirmation(
            app=app, settings=settings, policy=DEFAULT_POLICY, tenure=self._tenure
        )
        self._memory = CallMemory(
            max_calls=DEFAULT_POLICY.remembered_calls, max_bytes=DEFAULT_POLICY.remembered_bytes
        )
        self._results = app.metrics.counter(
            "gypsum_at_most_once_calls_total", "Calls that must not be repeated by their result"
        )
        self._add_gauges()
        fleet.on_list(self._tenure.note_list)
        fleet.on_fresh(self._tenure.note_fresh)
        app.add_dump_section(DUMP_SECTION, self._dump)

    def note_listening(self, address: Address) -> None:
        """Say that the listener is bound, and at which address the list must name this process."""
        self._confirmation.note_listening(address)

    def configure(self, pool: Pool) -> None:
        """Take the window and the bounds from a configuration."""
        self._policy = pool.at_most_once or DEFAULT_POLICY
        self._confirmation.set_policy(self._policy)
        self._memory.set_bounds(
            max_calls=self._policy.remembered_calls, max_bytes=self._policy.remembered_bytes
        )

    def recall(self, request: Open) -> Replay | Join | Failure | None:
        """Return what is remembered of a call, None if it is not known here.

        It is true also while this process is leaving.
        """
        self._memory.expire(self._app.clock.now_ms())
        record = self._memory.get(_get_digest(request))
        if record is None:
            return None
        if record.fingerprint != _get_fingerprint(request):
            message = "the key was used for another request before"
            return Refused(reason=Reason.KEY_REUSED, message=message)
        return Join(record) if record.outcome is None else record.outcome

    def begin(
        self, request: Open, *, received_wall_ms: int | None = None
    ) -> Run | Replay | Join | Failure:
        """Decide what becomes of a call.

        `received_wall_ms` is the wall time at which a router read the request.
        """
        result = self._begin(request, received_wall_ms)
        self._results.inc(labels=((LABEL_RESULT, _get_label(result)),))
        return result

    def _begin(self, request: Open, received_wall_ms: int | None) -> Run | Replay | Join | Failure:
        key = parse_key(request.idempotency_key)
        if isinstance(key, Refused):
            return key
        known = self.recall(request)
        if known is not None:
            return known

        def recheck() -> Failure | None:
            return self._confirmation.check(
                workspace=request.workspace, key=key, forgotten_ms=self._memory.forgotten_ms
            )

        failure = recheck() or self._confirmation.check_transit(key, received_wall_ms)
        failure = failure or self._check_room()
        if failure is not None:
            return failure
        record = self._make_record(request, key)
        self._memory.add(record)
        return Run(memory=self._memory, record=record, recheck=recheck)

    def _check_room(self) -> Refused | None:
        if self._memory.has_room():
            return None
        next_ms = self._memory.next_drop_ms
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
            drop_ms=self._app.clock.now_ms() + self._get_keep_ms(key),
        )

    def _get_keep_ms(self, key: Key) -> int:
        """Return how long a call that begins now is remembered."""
        margin_ms = SKEWS * self._settings.clock_skew_ms
        if key.created_ms is None:
            return self._confirmation.opaque_cover_ms + margin_ms
        age_ms = self._app.clock.wall_ms() - key.created_ms
        return self._policy.window_ms - age_ms + margin_ms

    def _add_gauges(self) -> None:
        metrics = self._app.metrics
        metrics.gauge(
            "gypsum_remembered_calls",
            "Calls that are remembered",
            lambda: {NO_LABELS: self._memory.calls},
        )
        metrics.gauge(
            "gypsum_remembered_bytes",
            "Bytes that are accounted for the remembered calls",
            lambda: {NO_LABELS: self._memory.used_bytes},
        )

    def _dump(self) -> dict[str, object]:
        return {
            "remembered": self._memory.calls,
            "running": self._memory.running,
            "bytes": self._memory.used_bytes,
            "window_ms": self._policy.window_ms,
            "list_as_of_ms": self._tenure.as_of_ms,
            "listed": self._tenure.present,
            "listening_since_ms": self._confirmation.listening_since_ms,
            "results": {
                dict(labels)[LABEL_RESULT]: n for labels, n in self._results.values.items()
            },
        }


def _get_digest(request: Open) -> bytes:
    return _digest(request.workspace.encode(), request.idempotency_key.encode())


def _get_fingerprint(request: Open) -> bytes:
    return _digest(request.method.encode(), request.path.encode(), request.body)


def _digest(*parts: bytes) -> bytes:
    """Return a digest that callers cannot make collide, with the parts kept apart."""
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
