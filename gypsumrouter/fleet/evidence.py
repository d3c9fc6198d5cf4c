"""What is known of each instance besides the list: contact over links, flaps, its own word."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

from gypsumrouter.const import InstanceState
from gypsumrouter.fleet.const import (
    FLAP_CEILING,
    FLAP_FORGET,
    FLAP_HALF_LIFE_MS,
    FLAP_PENALTY,
    FLAP_REUSE,
    FLAP_SUPPRESS,
    LEAVING_HOLD_MS,
    RECENT_CONTACT_MS,
    UNREACHABLE_HOLD_MAX_MS,
    UNREACHABLE_HOLD_MS,
)
from gypsumrouter.instances import Instance
from gypsumrouter.util.clock import Clock


class Standing(IntEnum):
    """How usable an instance is; the lower, the better."""

    USABLE = 0
    DAMPED = 1
    UNREACHABLE = 2
    LEAVING = 3


class Evidence(Struct, kw_only=True):
    """The evidence of one instance; times are monotonic."""

    reachable: bool | None = None
    contact_ms: int = 0
    failures: int = 0
    retry_ms: int = 0
    penalty: float = 0.0
    penalty_ms: int = 0
    damped: bool = False
    incarnation: int | None = None
    replaced_incarnation: int | None = None
    leaving: bool = False
    leaving_until_ms: int = 0

    def record_contact(self, reachable: bool, now_ms: int) -> None:
        """Take in one success or failure of a link."""
        if reachable:
            self.reachable = True
            self.failures = 0
        else:
            self._note_failure(now_ms)
        self.contact_ms = now_ms

    def record_incarnation(self, incarnation: int) -> None:
        """Forget what an earlier process of this name said of itself."""
        if incarnation in (self.incarnation, self.replaced_incarnation):
            return
        self.replaced_incarnation = self.incarnation
        self.incarnation = incarnation
        self.leaving = False

    def record_leaving(self, incarnation: int, now_ms: int) -> None:
        """Take in the instance's own word that it is leaving, unless it has been replaced."""
        self.record_incarnation(incarnation)
        if incarnation != self.incarnation:
            return
        self.leaving = True
        self.leaving_until_ms = now_ms + LEAVING_HOLD_MS

    def get_standing(self, now_ms: int) -> Standing:
        """Return how usable the instance is now."""
        if self.leaving and now_ms < self.leaving_until_ms:
            return Standing.LEAVING
        if self.reachable is False and now_ms < self.retry_ms:
            return Standing.UNREACHABLE
        if self._is_damped(now_ms):
            return Standing.DAMPED
        return Standing.USABLE

    def had_recent_contact(self, now_ms: int) -> bool:
        """Return whether a link reached the instance a moment ago."""
        return self.reachable is True and now_ms - self.contact_ms <= RECENT_CONTACT_MS

    def get_penalty(self, now_ms: int) -> float:
        """Return the penalty for flapping, decayed until now."""
        return float(self.penalty * 0.5 ** ((now_ms - self.penalty_ms) / FLAP_HALF_LIFE_MS))

    def is_idle(self, now_ms: int) -> bool:
        """Return whether there is nothing left to remember."""
        quiet = now_ms - self.contact_ms > UNREACHABLE_HOLD_MAX_MS
        left = self.leaving and now_ms < self.leaving_until_ms
        return quiet and not left and self.get_penalty(now_ms) < FLAP_FORGET

    def _note_failure(self, now_ms: int) -> None:
        if self.reachable is True:
            self.penalty = min(self.get_penalty(now_ms) + FLAP_PENALTY, FLAP_CEILING)
            self.penalty_ms = now_ms
        self.reachable = False
        hold_ms = min(UNREACHABLE_HOLD_MS << min(self.failures, 16), UNREACHABLE_HOLD_MAX_MS)
        self.failures += 1
        self.retry_ms = now_ms + hold_ms

    def _is_damped(self, now_ms: int) -> bool:
        penalty = self.get_penalty(now_ms)
        self.damped = penalty >= (FLAP_REUSE if self.damped else FLAP_SUPPRESS)
        return self.damped


class EvidenceBook:
    """The evidence of every instance, by name."""

    __slots__ = ("_clock", "_entries")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Evidence] = {}

    def get(self, name: str) -> Evidence:
        """Return the evidence of an instance, empty where there is none yet."""
        return self._entries.get(name) or Evidence()

    def obtain(self, name: str) -> Evidence:
        """Return the evidence of an instance for a change."""
        return self._entries.setdefault(name, Evidence())

    def forget(self, name: str) -> None:
        """Drop the evidence of an instance that another one has replaced."""
        self._entries.pop(name, None)

    def forget_idle(self, kept: Iterable[str]) -> None:
        """Drop what is idle, but for the instances that are `kept`."""
        now_ms = self._clock.now_ms()
        for name in set(self._entries).difference(kept):
            if self._entries[name].is_idle(now_ms):
                del self._entries[name]

    def get_reached(self, name: str) -> bool | None:
        """Return whether links reached an instance a moment ago, failed to, or say nothing."""
        evidence = self.get(name)
        if evidence.had_recent_contact(self._clock.now_ms()):
            return True
        return False if evidence.reachable is False else None

    def get_standing(self, instance: Instance) -> Standing:
        """Return how usable an instance is now, by the list's word and its evidence."""
        if instance.state is InstanceState.LEAVING:
            return Standing.LEAVING
        evidence = self._entries.get(instance.name)
        return evidence.get_standing(self._clock.now_ms()) if evidence else Standing.USABLE
