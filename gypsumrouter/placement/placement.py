"""Which instances to try for a request, best first."""

from __future__ import annotations

from gypsumrouter.configuration.models import Pool
from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.link.models import PoolLoad
from gypsumrouter.placement.baselines import Baselines
from gypsumrouter.placement.const import (
    BATCH_CHOICES,
    FIRST_LOOK,
    HOLDERS_LOOK,
    MAX_CANDIDATES,
    SPREAD_CHOICES,
)
from gypsumrouter.placement.hint import read_hint, write_hint
from gypsumrouter.placement.loads import KnownLoads
from gypsumrouter.placement.models import (
    MemberSource,
    PlacementKind,
    PlacementQuery,
    StatusSource,
)
from gypsumrouter.placement.rendezvous import MemberTable, hash_chat, hash_name


class Placement:
    """Orders the instances of a pool for each request.

    The order is a proposal: every side decides for itself and may refuse, and the router then
    goes on in the same order. It depends on the chat and the members, never on where the router
    stands, so that every router finds the same instance for a returning chat.
    """

    __slots__ = (
        "_app",
        "_baselines",
        "_fleet",
        "_hints",
        "_kind",
        "_loads",
        "_moved",
        "_orders",
        "_tables",
        "_unnamed",
    )

    def __init__(
        self,
        *,
        app: Application,
        fleet: MemberSource,
        links: StatusSource,
        kind: PlacementKind = PlacementKind.RENDEZVOUS,
        seed: int | None = None,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._kind = kind
        self._loads = KnownLoads(app=app, fleet=fleet, links=links)
        self._baselines = Baselines(
            loads=self._loads, seed=app.incarnation if seed is None else seed
        )
        self._tables: dict[str, MemberTable] = {}
        self._unnamed = 0
        self._orders = app.metrics.counter(
            "gypsumrouter_placement_orders_total", "Requests placed, by kind of request"
        )
        self._hints = app.metrics.counter(
            "gypsumrouter_placement_hints_total", "Hints that callers brought, by what became of it"
        )
        self._moved = app.metrics.counter(
            "gypsumrouter_placement_moved_total", "New chats placed off their own first instance"
        )
        app.add_dump_section("placement", self._dump)

    def order(self, query: PlacementQuery) -> tuple[Instance, ...]:
        """Return the instances to try, best first; none where no member may hold the model."""
        table = self._get_table(query.pool)
        if self._kind is not PlacementKind.RENDEZVOUS:
            return self._order_by_baseline(query, table)
        if not query.chat:
            return self._order_without_chat(query, table)
        key = hash_chat(workspace=query.workspace, chat=query.chat)
        own = self._find_candidates(query, table, key)
        hinted = self._follow_hint(query, table)
        if hinted is not None:
            return self._finish("hinted", query, hinted, own)
        if query.returning:
            return self._finish("returning", query, own[0] if own else None, own)
        if query.batch:
            return self._finish("batch", query, self._find_shortest_queue(query, own), own)
        return self._finish("new", query, self._place_new_chat(query, own), own)

    def find_prefix_holders(self, query: PlacementQuery) -> tuple[str, ...]:
        """Return the names of the instances that may hold a returning chat's prefix.

        These are the first of the chat's own order, then the hinted one. The baselines know none.
        """
        if self._kind is not PlacementKind.RENDEZVOUS or not query.chat or not query.returning:
            return ()
        table = self._get_table(query.pool)
        key = hash_chat(workspace=query.workspace, chat=query.chat)
        own = [member.name for member in table.rank(key=key, limit=HOLDERS_LOOK)]
        hinted = self._find_hinted(query, table)
        if hinted is not None and hinted.name not in own:
            own.append(hinted.name)
        return tuple(own)

    def pool_load(self, pool: Pool) -> PoolLoad | None:
        """Return what this router believes of a pool's load, for the sides' cap."""
        return self._loads.pool_load(pool)

    def make_hint(self, instance: Instance) -> str:
        """Return the hint that leads a caller's next turn to an instance."""
        return write_hint(hash_name(instance.name))

    def record_served(self, query: PlacementQuery, instance: Instance) -> None:
        """Note which instance answered; only the sticky baseline remembers it."""
        if self._kind is PlacementKind.STICKY:
            self._baselines.record_served(query=query, instance=instance)

    def _get_table(self, pool: Pool) -> MemberTable:
        members = self._fleet.members(pool.name)
        table = self._tables.get(pool.name)
        if table is None or table.members != members:
            table = MemberTable(members=members)
            self._tables[pool.name] = table
        return table

    def _order_by_baseline(self, query: PlacementQuery, table: MemberTable) -> tuple[Instance, ...]:
        self._orders.inc(labels=(("request", self._kind.value),))
        members = [m for m in table.members if self._loads.may_hold(m, query.model)]
        return tuple(self._baselines.order(kind=self._kind, query=query, members=members))

    def _order_without_chat(
        self, query: PlacementQuery, table: MemberTable
    ) -> tuple[Instance, ...]:
        self._unnamed += 1
        key = hash_chat(workspace=str(self._app.incarnation), chat=str(self._unnamed))
        candidates = self._find_candidates(query, table, key)
        return self._finish("no_chat", query, self._choose_least(query, candidates), candidates)

    def _find_candidates(
        self, query: PlacementQuery, table: MemberTable, key: int
    ) -> list[Instance]:
        """Return the usable members in the order of a key.

        Statuses are looked up only as far as needed: most of the time the first ranks suffice.
        """
        ranked = table.rank(key=key, limit=FIRST_LOOK)
        found = [m for m in ranked if self._loads.may_hold(m, query.model)]
        if len(found) < MAX_CANDIDATES and len(ranked) < len(table.members):
            ranked = table.rank(key=key, limit=len(table.members))
            found = [m for m in ranked if self._loads.may_hold(m, query.model)]
        return self._sort_by_use(found)[:FIRST_LOOK]

    def _sort_by_use(self, ranked: list[Instance]) -> list[Instance]:
        """Put closed instances last and other regions behind the router's own."""
        region = self._app.region
        return sorted(ranked, key=lambda m: (self._loads.is_closed(m), m.region != region))

    def _follow_hint(self, query: PlacementQuery, table: MemberTable) -> Instance | None:
        if not query.hint:
            return None
        if read_hint(query.hint) is None:
            self._hints.inc(labels=(("hint", "invalid"),))
            return None
        instance = self._find_hinted(query, table)
        if instance is None or not self._is_usable(instance, query.model):
            self._hints.inc(labels=(("hint", "gone"),))
            return None
        self._hints.inc(labels=(("hint", "followed"),))
        return instance

    def _find_hinted(self, query: PlacementQuery, table: MemberTable) -> Instance | None:
        digest = read_hint(query.hint)
        return None if digest is None else table.by_digest.get(digest)

    def _is_usable(self, instance: Instance, model: str) -> bool:
        return self._loads.may_hold(instance, model) and not self._loads.is_closed(instance)

    def _place_new_chat(self, query: PlacementQuery, own: list[Instance]) -> Instance | None:
        """Keep a new chat off its own first instance only where that is over the cap.

        A caller that brings no hint returns to its own first instance, so any other place costs it
        the prefix.
        """
        free = [m for m in own[:MAX_CANDIDATES] if not self._loads.is_over_cap(m, query.pool)]
        if not free:
            return own[0] if own else None
        if free[0] is own[0]:
            return own[0]
        self._moved.inc()
        return self._choose_least(query, free)

    def _find_shortest_queue(self, query: PlacementQuery, own: list[Instance]) -> Instance | None:
        """Return where new batch work waits least, of the first few of the chat's own order."""
        return min(
            own[:BATCH_CHOICES],
            key=lambda m: (self._loads.is_closed(m), self._loads.relative_backlog(m, query.pool)),
            default=None,
        )

    def _choose_least(self, query: PlacementQuery, ranked: list[Instance]) -> Instance | None:
        """Return the less loaded of the first two; the router's data centre breaks a tie."""
        return min(
            ranked[:SPREAD_CHOICES],
            key=lambda m: (
                self._loads.is_closed(m),
                self._loads.relative_load(m, query.pool),
                m.data_centre != self._app.data_centre,
            ),
            default=None,
        )

    def _finish(
        self,
        request: str,
        query: PlacementQuery,
        first: Instance | None,
        own: list[Instance],
    ) -> tuple[Instance, ...]:
        """Return the order: the chosen first, the next of the chat's own, the rest by load.

        The second place is stable, so that the overflow of a chat finds its own prefix again. From
        the third on there is nothing to find, and the emptiest most likely has room.
        """
        self._orders.inc(labels=(("request", request),))
        if first is None:
            return ()
        rest = [member for member in own if member.name != first.name]
        second = next((m for m in rest[:1] if not self._loads.is_over_cap(m, query.pool)), None)
        head = (first,) if second is None else (first, second)
        tail = [member for member in rest if member is not second]
        tail.sort(
            key=lambda m: (
                self._loads.is_closed(m),
                m.region != self._app.region,
                self._loads.relative_load(m, query.pool),
            )
        )
        return (head + tuple(tail))[:MAX_CANDIDATES]

    def _dump(self) -> object:
        return {"kind": self._kind.value, "pools": self._loads.dump()}
