"""Orders the instances to try for a request, most preferred first."""

from __future__ import annotations

from gypsumrouter.configuration.models import Pool
from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.link.models import PoolLoad
from gypsumrouter.placement.baselines import Baselines
from gypsumrouter.placement.const import (
    BATCH_CHOICES,
    INITIAL_RANKS,
    LEAST_LOADED_CHOICES,
    MAX_CANDIDATES,
    PREFIX_HOLDER_RANKS,
)
from gypsumrouter.placement.hint import decode_hint, encode_hint
from gypsumrouter.placement.loads import LoadView
from gypsumrouter.placement.models import (
    MemberSource,
    PlacementKind,
    PlacementQuery,
    StatusSource,
)
from gypsumrouter.placement.rendezvous import MemberTable, hash_chat, hash_name


class Placement:
    """Orders the instances of a pool for each request.

    The order is a preference: each instance makes its own admission decision, and the router tries
    the next one after a refusal. For a chat the ranking depends on the chat, the members and the
    region, not on the router, so that all routers of a region send a returning chat to the same
    instance.
    """

    __slots__ = (
        "_app",
        "_baselines",
        "_displaced",
        "_fleet",
        "_hints",
        "_kind",
        "_loads",
        "_no_chat_count",
        "_orders",
        "_tables",
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
        self._loads = LoadView(app=app, fleet=fleet, links=links)
        self._baselines = Baselines(
            loads=self._loads, seed=app.incarnation if seed is None else seed
        )
        self._tables: dict[str, MemberTable] = {}
        self._no_chat_count = 0
        self._orders = app.metrics.counter(
            "gypsumrouter_placement_orders_total", "Requests placed, by kind of request"
        )
        self._hints = app.metrics.counter(
            "gypsumrouter_placement_hints_total", "Hints that callers brought, by what became of it"
        )
        self._displaced = app.metrics.counter(
            "gypsumrouter_placement_moved_total", "New chats placed off their own first instance"
        )
        app.add_dump_section("placement", self._dump)

    def order(self, query: PlacementQuery) -> tuple[Instance, ...]:
        """Return the instances to try in order; empty if no member may serve the model."""
        table = self._get_table(query.pool)
        if self._kind is not PlacementKind.RENDEZVOUS:
            return self._order_by_baseline(query, table)
        if not query.chat:
            return self._order_without_chat(query, table)
        key = hash_chat(workspace=query.workspace, chat=query.chat)
        ranked = self._find_candidates(query, table, key)
        hinted = self._resolve_hint(query, table)
        if hinted is not None:
            return self._build_order("hinted", query, hinted, ranked)
        if query.returning:
            return self._build_order("returning", query, ranked[0] if ranked else None, ranked)
        if query.batch:
            return self._build_order(
                "batch", query, self._choose_smallest_backlog(query, ranked), ranked
            )
        return self._build_order("new", query, self._choose_for_new_chat(query, ranked), ranked)

    def find_prefix_holders(self, query: PlacementQuery) -> tuple[str, ...]:
        """Return the names of instances that may have cached a returning chat's prefix.

        These are the first instances of the chat's ranking and the hinted one. Empty for baselines.
        """
        if self._kind is not PlacementKind.RENDEZVOUS or not query.chat or not query.returning:
            return ()
        table = self._get_table(query.pool)
        key = hash_chat(workspace=query.workspace, chat=query.chat)
        ranked = [member.name for member in table.rank(key=key, limit=PREFIX_HOLDER_RANKS)]
        hinted = self._find_hinted_instance(query, table)
        if hinted is not None and hinted.name not in ranked:
            ranked.append(hinted.name)
        return tuple(ranked)

    def pool_load(self, pool: Pool) -> PoolLoad | None:
        """Return this router's estimate of a pool's load, for the instances' load limit."""
        return self._loads.pool_load(pool)

    def make_hint(self, instance: Instance) -> str:
        """Return the hint that routes a caller's next request to an instance."""
        return encode_hint(hash_name(instance.name))

    def record_served(self, query: PlacementQuery, instance: Instance) -> None:
        """Record which instance answered; only the sticky baseline uses it."""
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
        members = [m for m in table.members if self._loads.may_serve_model(m, query.model)]
        return tuple(self._baselines.order(kind=self._kind, query=query, members=members))

    def _order_without_chat(
        self, query: PlacementQuery, table: MemberTable
    ) -> tuple[Instance, ...]:
        self._no_chat_count += 1
        key = hash_chat(workspace=str(self._app.incarnation), chat=str(self._no_chat_count))
        candidates = self._find_candidates(query, table, key)
        return self._build_order(
            "no_chat", query, self._choose_least_loaded(query, candidates), candidates
        )

    def _find_candidates(
        self, query: PlacementQuery, table: MemberTable, key: int
    ) -> list[Instance]:
        """Return the members that may serve the model, in the order of a key.

        Statuses are read for the first INITIAL_RANKS members, and for all only if too few of those
        fit.
        """
        ranked = table.rank(key=key, limit=INITIAL_RANKS)
        found = [m for m in ranked if self._loads.may_serve_model(m, query.model)]
        if len(found) < MAX_CANDIDATES and len(ranked) < len(table.members):
            ranked = table.rank(key=key, limit=len(table.members))
            found = [m for m in ranked if self._loads.may_serve_model(m, query.model)]
        return self._sort_by_availability(found)[:INITIAL_RANKS]

    def _sort_by_availability(self, ranked: list[Instance]) -> list[Instance]:
        """Move unavailable instances last, and those of other regions behind the local ones."""
        region = self._app.region
        return sorted(ranked, key=lambda m: (self._loads.is_unavailable(m), m.region != region))

    def _resolve_hint(self, query: PlacementQuery, table: MemberTable) -> Instance | None:
        if not query.hint:
            return None
        if decode_hint(query.hint) is None:
            self._hints.inc(labels=(("hint", "invalid"),))
            return None
        instance = self._find_hinted_instance(query, table)
        if instance is None or not self._is_available(instance, query.model):
            self._hints.inc(labels=(("hint", "gone"),))
            return None
        self._hints.inc(labels=(("hint", "followed"),))
        return instance

    def _find_hinted_instance(self, query: PlacementQuery, table: MemberTable) -> Instance | None:
        digest = decode_hint(query.hint)
        return None if digest is None else table.by_digest.get(digest)

    def _is_available(self, instance: Instance, model: str) -> bool:
        return self._loads.may_serve_model(instance, model) and not self._loads.is_unavailable(
            instance
        )

    def _choose_for_new_chat(
        self, query: PlacementQuery, ranked: list[Instance]
    ) -> Instance | None:
        """Return the chat's first-ranked instance unless it is over the pool's cap.

        Later requests without a hint go to the first-ranked instance, so any other choice loses the
        cached prefix.
        """
        below_cap = [
            m for m in ranked[:MAX_CANDIDATES] if not self._loads.is_over_cap(m, query.pool)
        ]
        if not below_cap:
            return ranked[0] if ranked else None
        if below_cap[0] is ranked[0]:
            return ranked[0]
        self._displaced.inc()
        return self._choose_least_loaded(query, below_cap)

    def _choose_smallest_backlog(
        self, query: PlacementQuery, ranked: list[Instance]
    ) -> Instance | None:
        """Return the one of the first few with the smallest backlog, for new batch work."""
        return min(
            ranked[:BATCH_CHOICES],
            key=lambda m: (
                self._loads.is_unavailable(m),
                self._loads.relative_backlog(m, query.pool),
            ),
            default=None,
        )

    def _choose_least_loaded(
        self, query: PlacementQuery, ranked: list[Instance]
    ) -> Instance | None:
        """Return the less loaded of the first two; a tie prefers the local data centre."""
        return min(
            ranked[:LEAST_LOADED_CHOICES],
            key=lambda m: (
                self._loads.is_unavailable(m),
                self._loads.relative_load(m, query.pool),
                m.data_centre != self._app.data_centre,
            ),
            default=None,
        )

    def _build_order(
        self,
        request: str,
        query: PlacementQuery,
        first: Instance | None,
        ranked: list[Instance],
    ) -> tuple[Instance, ...]:
        """Return the chosen instance, then the next ranked one, then the others by load.

        The second one is the same for every request of a chat, so that requests refused by the
        first can find a cached prefix there. No prefix is expected on the others, so the least
        loaded come first.
        """
        self._orders.inc(labels=(("request", request),))
        if first is None:
            return ()
        others = [member for member in ranked if member.name != first.name]
        second = next((m for m in others[:1] if not self._loads.is_over_cap(m, query.pool)), None)
        head = (first,) if second is None else (first, second)
        tail = [member for member in others if member is not second]
        tail.sort(
            key=lambda m: (
                self._loads.is_unavailable(m),
                m.region != self._app.region,
                self._loads.relative_load(m, query.pool),
            )
        )
        return (head + tuple(tail))[:MAX_CANDIDATES]

    def _dump(self) -> object:
        return {"kind": self._kind.value, "pools": self._loads.dump()}
