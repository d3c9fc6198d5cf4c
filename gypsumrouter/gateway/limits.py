"""Limits of workspaces and rules, enforced across all routers without shared state.

Each router enforces its share of a limit: the limit divided by the number of live routers in the
instance list. The remainder of a concurrency limit is assigned by a hash of the limit's name.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash
from msgspec import Struct

from gypsumrouter.callers import DEFAULT_RETRY_AFTER_MS
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import MS_PER_S, InstanceState, Role
from gypsumrouter.instances import Instance
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.util.clock import Clock


class Limit(Struct, frozen=True, kw_only=True):
    """A limit on the requests of all routers together; `name` identifies its counters."""

    name: str
    requests_per_s: float | None
    concurrent: int | None

    @property
    def is_enforced(self) -> bool:
        """Return whether a rate or a concurrency limit is set."""
        return self.requests_per_s is not None or self.concurrent is not None


class FleetShare(Struct, frozen=True, kw_only=True):
    """Position of this router among the live routers, and their number."""

    position: int = 0
    routers: int = 1

    def get_rate(self, limit: float) -> float:
        """Return this router's share of a rate."""
        return limit / self.routers

    def get_count(self, limit: int, name: str) -> int:
        """Return this router's share of a concurrency limit, at least 1.

        The shares add up to the limit, or to the number of routers if that is higher.
        """
        base, extra = divmod(limit, self.routers)
        offset = (self.position + xxhash.xxh32_intdigest(name.encode())) % self.routers
        return max(1, base + (1 if offset < extra else 0))


def find_fleet_share(*, own_name: str, peers: Iterable[Instance]) -> FleetShare:
    """Return this router's position among the live routers, ordered by name."""
    names = {
        peer.name for peer in peers if peer.role is Role.ROUTER and peer.state is InstanceState.LIVE
    }
    names.add(own_name)
    return FleetShare(position=sorted(names).index(own_name), routers=len(names))


class _Usage:
    """Number of running requests and token bucket of one limit."""

    __slots__ = ("running", "tokens", "updated_ms")

    def __init__(self, *, tokens: float, updated_ms: int) -> None:
        self.running = 0
        self.tokens = tokens
        self.updated_ms = updated_ms


class Permit:
    """Permit for one request under all its limits."""

    __slots__ = ("_usages",)

    def __init__(self, usages: list[_Usage]) -> None:
        self._usages = usages

    def release(self) -> None:
        """Release the permit; further calls have no effect."""
        for usage in self._usages:
            usage.running -= 1
        self._usages = []


class FleetLimits:
    """Enforces this router's share of every limit."""

    __slots__ = ("_clock", "_usages", "share")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._usages: dict[str, _Usage] = {}
        self.share = FleetShare()

    def acquire(self, limits: Iterable[Limit]) -> Permit | Refused:
        """Return a permit under all limits, or a refusal if one of them is exceeded."""
        enforced = [(limit, self._find_usage(limit)) for limit in limits if limit.is_enforced]
        for limit, usage in enforced:
            refused = self._check(limit, usage)
            if refused is not None:
                return refused
        for limit, usage in enforced:
            usage.running += 1
            if limit.requests_per_s is not None:
                usage.tokens -= 1.0
        return Permit([usage for _, usage in enforced])

    def retain(self, names: set[str]) -> None:
        """Remove the limits that are not among `names` and have no running requests."""
        self._usages = {
            name: usage for name, usage in self._usages.items() if usage.running or name in names
        }

    def count_running(self) -> dict[str, int]:
        """Return the number of running requests by limit."""
        return {name: usage.running for name, usage in self._usages.items() if usage.running}

    def _find_usage(self, limit: Limit) -> _Usage:
        usage = self._usages.get(limit.name)
        if usage is None:
            usage = _Usage(tokens=self._get_burst(limit), updated_ms=self._clock.now_ms())
            self._usages[limit.name] = usage
        return usage

    def _get_burst(self, limit: Limit) -> float:
        if limit.requests_per_s is None:
            return 0.0
        return max(1.0, self.share.get_rate(limit.requests_per_s))

    def _check(self, limit: Limit, usage: _Usage) -> Refused | None:
        if limit.concurrent is not None:
            count = self.share.get_count(limit.concurrent, limit.name)
            if usage.running >= count:
                return _refuse(DEFAULT_RETRY_AFTER_MS)
        if limit.requests_per_s is None:
            return None
        rate = self.share.get_rate(limit.requests_per_s)
        self._refill(usage, rate=rate, burst=self._get_burst(limit))
        if usage.tokens >= 1.0:
            return None
        return _refuse(math.ceil((1.0 - usage.tokens) / rate * MS_PER_S))

    def _refill(self, usage: _Usage, *, rate: float, burst: float) -> None:
        now_ms = self._clock.now_ms()
        refill = (now_ms - usage.updated_ms) * rate / MS_PER_S
        usage.tokens = min(burst, usage.tokens + refill)
        usage.updated_ms = now_ms


def get_workspace_limit_name(workspace: str) -> str:
    """Return the name of the limit of a workspace."""
    return f"workspace {workspace}"


def get_rule_limit_name(rule: str) -> str:
    """Return the name of the limit of a rule, shared by all requests that the rule matches."""
    return f"rule {rule}"


def list_limit_names(configuration: Configuration) -> set[str]:
    """Return the names of all limits of a configuration."""
    workspaces = {get_workspace_limit_name(entry.name) for entry in configuration.workspaces}
    return workspaces | {get_rule_limit_name(rule.name) for rule in configuration.rules}


def _refuse(retry_after_ms: int) -> Refused:
    return Refused(reason=Reason.WORKSPACE_LIMIT, retry_after_ms=retry_after_ms)
