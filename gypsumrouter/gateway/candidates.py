"""Selection of the instances at which a request is tried, in order."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.key_owners import KeyOwners
from gypsumrouter.gateway.models import Call
from gypsumrouter.instances import Instance
from gypsumrouter.placement import Placement, PlacementQuery
from gypsumrouter.suspicion import select_isolation_instances


class Candidate(Struct, frozen=True, kw_only=True):
    """An instance for a request, with the placement query that selected it.

    `holders` names the instances that may have the prefix of the chat in their cache.
    """

    pool: Pool
    instance: Instance
    query: PlacementQuery
    holders: tuple[str, ...] = ()


class Candidates:
    """The candidates of one request; each instance is returned once."""

    __slots__ = ("_call", "_finder", "_ordered", "_returned")

    def __init__(self, *, finder: CandidateFinder, call: Call) -> None:
        self._finder = finder
        self._call = call
        self._returned: set[str] = set()
        self._ordered = finder.iter_candidates(call)

    def pop(self, *, suspect: bool) -> Candidate | None:
        """Return the next candidate, None if there is none left.

        A suspect request was running when an upstream crashed. If it is repeatable, it is tried
        first at the instances that run such requests in isolation.
        """
        if suspect and self._call.repeatable:
            for candidate in self._finder.iter_isolation_instances(self._call):
                if self._mark_returned(candidate):
                    return candidate
        for candidate in self._ordered:
            if self._mark_returned(candidate):
                return candidate
        return None

    def _mark_returned(self, candidate: Candidate) -> bool:
        if candidate.instance.name in self._returned:
            return False
        self._returned.add(candidate.instance.name)
        return True


class CandidateFinder:
    """Finds candidates by placement, by ownership of an idempotency key, and for isolation."""

    __slots__ = ("_fleet", "_key_owners", "_placement")

    def __init__(self, *, fleet: Fleet, placement: Placement) -> None:
        self._fleet = fleet
        self._placement = placement
        self._key_owners = KeyOwners(fleet=fleet)

    def find(self, call: Call) -> Candidates:
        """Return the candidates of a request."""
        return Candidates(finder=self, call=call)

    def iter_candidates(self, call: Call) -> Iterator[Candidate]:
        """Yield the regular candidates, best first; the second pool is queried only when needed."""
        if not call.repeatable:
            yield from self._iter_key_owners(call)
            return
        for pool in (call.pool, call.next_pool):
            if pool is None:
                continue
            query = make_placement_query(call, pool)
            holders = self._placement.find_prefix_holders(query)
            for instance in self._placement.order(query):
                yield Candidate(pool=pool, instance=instance, query=query, holders=holders)

    def iter_isolation_instances(self, call: Call) -> Iterator[Candidate]:
        """Yield the instances of the pool that run suspect requests in isolation."""
        query = make_placement_query(call, call.pool)
        members = self._fleet.members(call.pool.name)
        for instance in select_isolation_instances(call.pool.name, members):
            yield Candidate(pool=call.pool, instance=instance, query=query)

    def _iter_key_owners(self, call: Call) -> Iterator[Candidate]:
        query = make_placement_query(call, call.pool)
        owners = self._key_owners.list_owners(
            pool=call.pool.name, workspace=call.workspace.name, key=call.idempotency_key
        )
        for instance in owners:
            yield Candidate(pool=call.pool, instance=instance, query=query)


def make_placement_query(call: Call, pool: Pool) -> PlacementQuery:
    """Return the placement query of a request for a pool."""
    return PlacementQuery(
        pool=pool,
        workspace=call.workspace.name,
        chat=call.chat,
        model=call.target.model,
        hint=call.hint,
        returning=call.returning,
        batch=call.caller_class.batch,
    )
