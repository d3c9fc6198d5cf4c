"""Fleet membership: usable instances, and updates of the platform's instance list."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, TypeVar

from msgspec.structs import replace

from gypsumrouter.core import Application, Remove
from gypsumrouter.fleet.const import MEMBERS_CACHE_MS
from gypsumrouter.fleet.diagnostics import count_by_status, dump_instance
from gypsumrouter.fleet.health import HealthStatus, HealthTracker
from gypsumrouter.fleet.source import InstanceListSource, Unchanged
from gypsumrouter.fleet.view import MembershipView
from gypsumrouter.helpers.metrics import NO_LABELS, Labels
from gypsumrouter.instances import Instance, InstanceList

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform

_LOGGER = logging.getLogger(__name__)
_T = TypeVar("_T")

DUMP_SECTION: Final = "fleet"
LABEL_RESULT: Final = "result"


class Fleet:
    """Membership of the fleet as seen by this process.

    A list with a lower `revision` or an older `as_of_ms` than the accepted one is ignored. One of a
    later epoch has a higher revision, as a platform restored from a backup counts on from there.
    `members` returns the view adjusted by health and by retention of missing instances;
    `on_list` and `on_confirmed` report the list itself.
    """

    __slots__ = (
        "_app",
        "_change_listeners",
        "_confirmed_listeners",
        "_health",
        "_list",
        "_list_listeners",
        "_list_unavailable",
        "_members",
        "_members_until_ms",
        "_reads",
        "_settings",
        "_source",
        "_statuses",
        "_view",
    )

    def __init__(self, *, app: Application, settings: Platform, source: InstanceListSource) -> None:
        self._app = app
        self._settings = settings
        self._source = source
        self._list: InstanceList | None = None
        self._list_unavailable = False
        self._health = HealthTracker(clock=app.clock)
        self._view = MembershipView(reachability=self._health.get_reachability)
        self._statuses: list[tuple[Instance, HealthStatus]] = []
        self._members: dict[str, tuple[Instance, ...]] = {}
        self._members_until_ms = 0
        self._change_listeners: list[Callable[[], None]] = []
        self._list_listeners: list[Callable[[InstanceList], None]] = []
        self._confirmed_listeners: list[Callable[[int], None]] = []
        self._reads = app.metrics.counter(
            "gypsum_instance_list_reads_total", "Reads of the instance list by their result"
        )
        app.metrics.gauge(
            "gypsum_instance_list_age_ms", "Age of the newest state of the list", self._collect_age
        )
        app.metrics.gauge(
            "gypsum_instances",
            "Instances by standing",
            lambda: count_by_status(self._view, self._health),
        )

    async def async_start(self) -> None:
        """Start polling the instance list."""
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._app.async_create_task(self._async_poll(), "fleet list")

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return the instances of a pool that have the best health status, sorted by name."""
        now_ms = self._app.clock.now_ms()
        if now_ms >= self._members_until_ms:
            self._refresh(now_ms)
        found = self._members.get(pool)
        if found is None:
            found = self._members[pool] = self._choose_members(pool)
        return found

    def peers(self) -> tuple[Instance, ...]:
        """Return all other instances, of any role and health status."""
        return tuple(item for item in self._view.list_all() if item.name != self._app.name)

    def get(self, name: str) -> Instance | None:
        """Return an instance by its name."""
        return self._view.get(name)

    def list_age_ms(self) -> int | None:
        """Return the age of the accepted list by the wall clock, or None without a list."""
        if self._list is None:
            return None
        return max(0, self._app.clock.wall_ms() - self._list.as_of_ms)

    def record_contact(self, name: str, reachable: bool) -> None:
        """Record a success or failure of a link to an instance."""
        health = self._health.get_or_create(name)
        now_ms = self._app.clock.now_ms()
        same = health.reachable is reachable
        health.record_contact(reachable, now_ms)
        if not (same and reachable):
            self._refresh(now_ms)

    def record_incarnation(self, name: str, incarnation: int) -> None:
        """Record the incarnation of an instance; a new incarnation is not leaving."""
        health = self._health.get_or_create(name)
        if health.incarnation != incarnation:
            health.record_incarnation(incarnation)
            self._refresh(self._app.clock.now_ms())

    def record_leaving(self, name: str, incarnation: int) -> None:
        """Record the announcement of an instance that it is leaving."""
        now_ms = self._app.clock.now_ms()
        self._health.get_or_create(name).record_leaving(incarnation, now_ms)
        self._refresh(now_ms)

    def on_change(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for changes of the view or of the health status of an instance."""
        return _register(self._change_listeners, listener)

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        """Register a listener for every accepted list, in order.

        It is called immediately with the current list, if there is one.
        """
        if self._list is not None:
            listener(self._list)
        return _register(self._list_listeners, listener)

    def on_confirmed(self, listener: Callable[[int], None]) -> Remove:
        """Register a listener for the wall time up to which the accepted list is confirmed."""
        return _register(self._confirmed_listeners, listener)

    async def _async_poll(self) -> None:
        while True:
            began_ms = self._app.clock.now_ms()
            after = self._list.revision if self._list else None
            result = await self._source.async_fetch(after_revision=after)
            changed = self._handle_result(result)
            now_ms = self._app.clock.now_ms()
            self._refresh(now_ms)
            if not changed:
                pause_ms = self._settings.list_poll_ms - (now_ms - began_ms)
                await self._app.clock.async_sleep(max(0, pause_ms))

    def _handle_result(self, result: InstanceList | Unchanged | None) -> bool:
        match result:
            case None:
                self._record_read("failed", usable=False)
                return False
            case Unchanged():
                self._handle_unchanged(result.as_of_ms)
                return False
            case InstanceList():
                return self._handle_list(result)

    def _handle_list(self, result: InstanceList) -> bool:
        current = self._list
        if current is None:
            self._accept(result)
            return True
        if result.revision < current.revision or result.as_of_ms < current.as_of_ms:
            self._record_read("stale", usable=False)
            return False
        if result.revision > current.revision:
            self._accept(result)
            return True
        if result.instances != current.instances:
            self._record_read("contradiction", usable=False)
            return False
        self._handle_unchanged(result.as_of_ms)
        return False

    def _accept(self, result: InstanceList) -> None:
        self._record_read("changed", usable=True)
        self._remove_replaced(result)
        self._list = result
        self._view.replace(result.instances, self._app.clock.now_ms())
        self._health.remove_idle(instance.name for instance in self._view.list_all())
        for listener in tuple(self._list_listeners):
            listener(result)

    def _handle_unchanged(self, as_of_ms: int) -> None:
        current = self._list
        if current is None or as_of_ms < current.as_of_ms:
            self._record_read("stale", usable=False)
            return
        self._record_read("unchanged", usable=True)
        self._list = replace(current, as_of_ms=as_of_ms)
        self._view.record_read(self._app.clock.now_ms())
        for listener in tuple(self._confirmed_listeners):
            listener(as_of_ms)

    def _remove_replaced(self, result: InstanceList) -> None:
        """Remove the health of instances whose name now has another address."""
        for instance in result.instances:
            previous = self._view.get(instance.name)
            if previous is not None and previous.address != instance.address:
                self._health.remove(instance.name)

    def _record_read(self, result: str, *, usable: bool) -> None:
        self._reads.inc(labels=((LABEL_RESULT, result),))
        if not usable and not self._list_unavailable:
            _LOGGER.warning(
                "Instance list read returned no usable state (%s); keeping the current view", result
            )
        if usable and self._list_unavailable:
            _LOGGER.info("Instance list read returned a usable state again")
        self._list_unavailable = not usable

    def _choose_members(self, pool: str) -> tuple[Instance, ...]:
        ranked = [(status, item) for item, status in self._statuses if item.pool == pool]
        best = min((status for status, _ in ranked), default=HealthStatus.USABLE)
        return tuple(item for status, item in ranked if status is best)

    def _refresh(self, now_ms: int) -> None:
        """Recompute the view, and notify the listeners if it changed."""
        self._view.prune(now_ms)
        self._members_until_ms = now_ms + MEMBERS_CACHE_MS
        statuses = [(item, self._health.get_status(item)) for item in self._view.list_all()]
        if statuses == self._statuses:
            return
        self._statuses = statuses
        self._members.clear()
        for listener in tuple(self._change_listeners):
            listener()

    def _collect_age(self) -> dict[Labels, float]:
        age_ms = self.list_age_ms()
        return {} if age_ms is None else {NO_LABELS: age_ms}

    def _dump(self) -> dict[str, object]:
        now_ms = self._app.clock.now_ms()
        return {
            "revision": self._list.revision if self._list else None,
            "as_of_ms": self._list.as_of_ms if self._list else None,
            "age_ms": self.list_age_ms(),
            "list_lost": self._list_unavailable,
            "held": [absence.instance.name for absence in self._view.absent],
            "instances": [
                dump_instance(item, self._health, now_ms) for item in self._view.list_all()
            ],
        }


def _register(listeners: list[_T], listener: _T) -> Remove:
    listeners.append(listener)

    def remove() -> None:
        if listener in listeners:
            listeners.remove(listener)

    return remove
