"""Which instances are tried for a request, one after the other."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.homes import Homes
from gypsumrouter.gateway.models import Call
from gypsumrouter.instances import Instance
from gypsumrouter.placement import Placement, PlacementQuery
from gypsumrouter.suspicion import select_isolation_instances


class Candidate(Struct, frozen=True, kw_only=True):
    """An instance that may take a request, and what it was found by.

    `holders` are the instances that may hold the chat's prefix.
    """

    pool: Pool
    instance: Instance
    query: PlacementQuery
    holders: tuple[str, ...] = ()


class Candidates:
    """The candidates of one request; each instance is given once."""

    __slots__ = ("_call", "_finder", "_given", "_usual")

    def __init__(self, *, finder: CandidateFinder, call: Call) -> None:
        self._finder = finder
        self._call = call
        self._given: set[str] = set()
        self._usual = finder.iterate(call)

    def take(self, *, suspect: bool) -> Candidate | None:
        """Return the next candidate, None when there is none left.

        A suspect goes to the places that run suspects alone, before the usual ones.
        """
        if suspect and self._call.repeatable:
            for candidate in self._finder.iterate_places(self._call):
                if self._is_new(candidate):
                    return candidate
        for candidate in self._usual:
            if self._is_new(candidate):
                return candidate
        return None

    def _is_new(self, candidate: Candidate) -> bool:
        if candidate.instance.name in self._given:
            return False
        self._given.add(candidate.instance.name)
        return True


class CandidateFinder:
    """Finds candidates by placement, by the homes of keys, and by the places for suspects."""

    __slots__ = ("_fleet", "_homes", "_placement")

    def __init__(self, *, fleet: Fleet, placement: Placement) -> None:
        self._fleet = fleet
        self._placement = placement
        self._homes = Homes(fleet=fleet)

    def find(self, call: Call) -> Candidates:
        """Return the candidates of a request."""
        return Candidates(finder=self, call=call)

    def iterate(self, call: Call) -> Iterator[Candidate]:
        """Yield the usual candidates, best first; a pool is asked when its turn comes."""
        if not call.repeatable:
            yield from self._iterate_homes(call)
            return
        for pool in (call.pool, call.next_pool):
            if pool is None:
                continue
            query = make_query(call, pool)
            holders = self._placement.find_prefix_holders(query)
            for instance in self._placement.order(query):
                yield Candidate(pool=pool, instance=instance, query=query, holders=holders)

    def iterate_places(self, call: Call) -> Iterator[Candidate]:
        """Yield the instances of the pool that run suspects."""
        query = make_query(call, call.pool)
        members = self._fleet.members(call.pool.name)
        for instance in select_isolation_instances(call.pool.name, members):
            yield Candidate(pool=call.pool, instance=instance, query=query)

    def _iterate_homes(self, call: Call) -> Iterator[Candidate]:
        query = make_query(call, call.pool)
        homes = self._homes.order(
            pool=call.pool.name, workspace=call.workspace.name, key=call.idempotency_key
        )
        for instance in homes:
            yield Candidate(pool=call.pool, instance=instance, query=query)


def make_query(call: Call, pool: Pool) -> PlacementQuery:
    """Return what placement is asked for a request in a pool."""
    return PlacementQuery(
        pool=pool,
        workspace=call.workspace.name,
        chat=call.chat,
        model=call.target.model,
        hint=call.hint,
        returning=call.returning,
        batch=call.caller_class.batch,
    )
