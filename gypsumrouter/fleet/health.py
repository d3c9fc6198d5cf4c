"""Health of each instance: link contact, flap damping and announcements of leaving."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

from gypsumrouter.const import InstanceState
from gypsumrouter.fleet.const import (
    FLAP_HALF_LIFE_MS,
    FLAP_PENALTY,
    FLAP_PENALTY_MAX,
    FLAP_PENALTY_MIN,
    FLAP_REUSE_THRESHOLD,
    FLAP_SUPPRESS_THRESHOLD,
    LEAVING_TIMEOUT_MS,
    RECENT_CONTACT_MS,
    UNREACHABLE_RETRY_MAX_MS,
    UNREACHABLE_RETRY_MS,
)
from gypsumrouter.instances import Instance
from gypsumrouter.util.clock import Clock


class HealthStatus(IntEnum):
    """Health status of an instance; a lower value is preferred."""

    USABLE = 0
    DAMPED = 1
    UNREACHABLE = 2
    LEAVING = 3


class InstanceHealth(Struct, kw_only=True):
    """Health of one instance; times are monotonic.

    `reachable` is None before the first contact.
    """

    reachable: bool | None = None
    last_contact_ms: int = 0
    failures: int = 0
    retry_at_ms: int = 0
    penalty: float = 0.0
    penalty_updated_ms: int = 0
    damped: bool = False
    incarnation: int | None = None
    replaced_incarnation: int | None = None
    leaving: bool = False
    leaving_until_ms: int = 0

    def record_contact(self, reachable: bool, now_ms: int) -> None:
        """Record a success or failure of a link."""
        if reachable:
            self.reachable = True
            self.failures = 0
        else:
            self._record_failure(now_ms)
        self.last_contact_ms = now_ms

    def record_incarnation(self, incarnation: int) -> None:
        """Record the incarnation; a new one discards the leaving state of the earlier process."""
        if incarnation in (self.incarnation, self.replaced_incarnation):
            return
        self.replaced_incarnation = self.incarnation
        self.incarnation = incarnation
        self.leaving = False

    def record_leaving(self, incarnation: int, now_ms: int) -> None:
        """Record the announcement of leaving, unless a newer incarnation replaced the sender."""
        self.record_incarnation(incarnation)
        if incarnation != self.incarnation:
            return
        self.leaving = True
        self.leaving_until_ms = now_ms + LEAVING_TIMEOUT_MS

    def get_status(self, now_ms: int) -> HealthStatus:
        """Return the current health status."""
        if self.leaving and now_ms < self.leaving_until_ms:
            return HealthStatus.LEAVING
        if self.reachable is False and now_ms < self.retry_at_ms:
            return HealthStatus.UNREACHABLE
        if self._is_damped(now_ms):
            return HealthStatus.DAMPED
        return HealthStatus.USABLE

    def had_recent_contact(self, now_ms: int) -> bool:
        """Return whether the last contact was a success within RECENT_CONTACT_MS."""
        return self.reachable is True and now_ms - self.last_contact_ms <= RECENT_CONTACT_MS

    def get_penalty(self, now_ms: int) -> float:
        """Return the flap penalty, decayed until now."""
        return float(self.penalty * 0.5 ** ((now_ms - self.penalty_updated_ms) / FLAP_HALF_LIFE_MS))

    def is_idle(self, now_ms: int) -> bool:
        """Return whether the record no longer affects the health status."""
        inactive = now_ms - self.last_contact_ms > UNREACHABLE_RETRY_MAX_MS
        leaving = self.leaving and now_ms < self.leaving_until_ms
        return inactive and not leaving and self.get_penalty(now_ms) < FLAP_PENALTY_MIN

    def _record_failure(self, now_ms: int) -> None:
        if self.reachable is True:
            self.penalty = min(self.get_penalty(now_ms) + FLAP_PENALTY, FLAP_PENALTY_MAX)
            self.penalty_updated_ms = now_ms
        self.reachable = False
        delay_ms = min(UNREACHABLE_RETRY_MS << min(self.failures, 16), UNREACHABLE_RETRY_MAX_MS)
        self.failures += 1
        self.retry_at_ms = now_ms + delay_ms

    def _is_damped(self, now_ms: int) -> bool:
        penalty = self.get_penalty(now_ms)
        self.damped = penalty >= (FLAP_REUSE_THRESHOLD if self.damped else FLAP_SUPPRESS_THRESHOLD)
        return self.damped


class HealthTracker:
    """Health of all instances, by name."""

    __slots__ = ("_clock", "_entries")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, InstanceHealth] = {}

    def get(self, name: str) -> InstanceHealth:
        """Return the health of an instance, or an empty record if there is none."""
        return self._entries.get(name) or InstanceHealth()

    def get_or_create(self, name: str) -> InstanceHealth:
        """Return the health of an instance for an update; create it if needed."""
        return self._entries.setdefault(name, InstanceHealth())

    def remove(self, name: str) -> None:
        """Remove the health of an instance."""
        self._entries.pop(name, None)

    def remove_idle(self, keep: Iterable[str]) -> None:
        """Remove idle records, except those of the instances in `keep`."""
        now_ms = self._clock.now_ms()
        for name in set(self._entries).difference(keep):
            if self._entries[name].is_idle(now_ms):
                del self._entries[name]

    def get_reachability(self, name: str) -> bool | None:
        """Return True after a recent contact, False if the last one failed, else None."""
        health = self.get(name)
        if health.had_recent_contact(self._clock.now_ms()):
            return True
        return False if health.reachable is False else None

    def get_status(self, instance: Instance) -> HealthStatus:
        """Return the current health status of an instance; leaving in the list has priority."""
        if instance.state is InstanceState.LEAVING:
            return HealthStatus.LEAVING
        health = self._entries.get(instance.name)
        return health.get_status(self._clock.now_ms()) if health else HealthStatus.USABLE
