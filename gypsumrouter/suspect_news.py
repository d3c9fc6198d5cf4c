"""Gossip of suspects: requests, and parts of them, that ran when their upstream crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from heapq import nsmallest
from typing import Final

import xxhash

from gypsumrouter.configuration.neighbours import list_ring_neighbours
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.crashes import CrashGuard, Survival, SuspectImplication, Verdict
from gypsumrouter.crashes.messages import (
    apply_evidence,
    encode_evidence,
    encode_verdicts,
    read_verdicts,
)
from gypsumrouter.fleet import Fleet, Instance
from gypsumrouter.link import (
    LinkPool,
    Notice,
    NoticeHub,
    Peer,
    SuspectEvidence,
    SuspectVerdicts,
)
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.suspicion import SuspectTracker

# Processes that judge a subject. One that is itself a judge tells the next one too.
JUDGES: Final = 2
# Convictions are repeated to the ring neighbours, so that a process that starts learns of them.
REPEAT_INTERVAL_MS: Final = 2_000
MAX_REPEATED: Final = 16

ListNames = Callable[[], Collection[str]]
SendTo = Callable[[Collection[str], SuspectAnnouncement], None]


class SuspectGossip:
    """Forwards suspect reports that are new to this process to a few neighbours.

    Each neighbour does the same, so that a report reaches the whole fleet. `list_affected` returns
    the routers whose requests run here. They receive the report first, through `send_to`: it uses
    the links on which the failures of those requests follow, so that it arrives before a retry.
    """

    __slots__ = ("_app", "_fleet", "_links", "_list_affected", "_send_to")

    def __init__(
        self,
        *,
        app: Application,
        fleet: Fleet,
        links: LinkPool,
        suspicion: SuspectTracker,
        list_affected: ListNames,
        send_to: SendTo,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._list_affected = list_affected
        self._send_to = send_to
        suspicion.on_new_implication(self._forward)

    def _forward(self, report: SuspectAnnouncement) -> None:
        # Evaluated here and not in the task, because the failed exchanges are still tracked now.
        names = set(self._list_affected())
        self._send_to(names, report)
        affected = [self._fleet.get(name) for name in names]
        direct = [(instance,) for instance in affected if instance is not None]
        self._app.async_create_task(self._async_forward(report, direct), "suspect gossip")

    async def _async_forward(
        self, report: SuspectAnnouncement, direct: list[tuple[Instance]]
    ) -> None:
        routes = list_ring_neighbours(self._app.name, self._fleet.peers())
        await asyncio.gather(*(self._async_send(route, report) for route in (*direct, *routes)))

    async def _async_send(self, route: tuple[Instance, ...], report: SuspectAnnouncement) -> None:
        """Send the report to the first reachable instance of a route."""
        for instance in route:
            if await self._links.async_send(instance=instance, notice=report):
                return


class VerdictGossip:
    """Tells the processes that judge a subject what this one has seen, and spreads verdicts."""

    __slots__ = ("_app", "_fleet", "_guard", "_links")

    def __init__(
        self,
        *,
        app: Application,
        fleet: Fleet,
        links: LinkPool,
        notices: NoticeHub,
        guard: CrashGuard,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._guard = guard
        guard.on_evidence(self._tell_judges)
        guard.on_verdicts(self._spread)
        guard.set_judge_checks(is_judge=self._is_judge, is_first_judge=self._is_first_router)
        notices.subscribe(SuspectEvidence, self._handle_evidence)
        notices.subscribe(SuspectVerdicts, self._handle_verdicts)
        app.async_create_task(self._async_repeat(), "repeat verdicts")

    def _is_judge(self, subject: int) -> bool:
        """Return whether this process is one of the judges of a subject."""
        own = _rank(subject, self._app.name)
        return sum(_rank(subject, peer.name) < own for peer in self._fleet.peers()) < JUDGES

    def _is_first_router(self, subject: int) -> bool:
        """Return whether this process is the router that makes the trials of a subject."""
        routers = (peer.name for peer in self._fleet.peers() if peer.role is Role.ROUTER)
        own = _rank(subject, self._app.name)
        return self._app.role is Role.ROUTER and all(own < _rank(subject, n) for n in routers)

    def _tell_judges(
        self, implications: tuple[SuspectImplication, ...], survivals: tuple[Survival, ...]
    ) -> None:
        peers = self._fleet.peers()
        subjects = {implication.subject for implication in implications}
        subjects |= {survival.subject for survival in survivals}
        judges: dict[str, set[int]] = {}
        for subject in subjects:
            chosen = nsmallest(JUDGES, peers, key=lambda peer: _rank(subject, peer.name))
            for peer in chosen:
                judges.setdefault(peer.name, set()).add(subject)
        for name, judged in judges.items():
            evidence = encode_evidence(
                [implication for implication in implications if implication.subject in judged],
                [survival for survival in survivals if survival.subject in judged],
                now_ms=self._app.clock.now_ms(),
            )
            judge = self._fleet.get(name)
            if judge is not None:
                self._send(((judge,),), evidence)

    def _spread(self, verdicts: Iterable[Verdict]) -> None:
        encoded = encode_verdicts(verdicts, now_ms=self._app.clock.now_ms())
        notice = SuspectVerdicts(data_centre=self._app.data_centre, verdicts=encoded)
        self._send(list_ring_neighbours(self._app.name, self._fleet.peers()), notice)

    def _send(self, routes: Iterable[tuple[Instance, ...]], notice: Notice) -> None:
        for route in routes:
            self._app.async_create_task(self._async_send(route, notice), "verdict gossip")

    async def _async_send(self, route: tuple[Instance, ...], notice: Notice) -> None:
        """Send a notice to the first reachable instance of a route."""
        for instance in route:
            if await self._links.async_send(instance=instance, notice=notice):
                return

    def _handle_evidence(self, peer: Peer, evidence: SuspectEvidence) -> None:
        now_ms = self._app.clock.now_ms()
        apply_evidence(self._guard, evidence, sender=peer.hello.name, now_ms=now_ms)

    def _handle_verdicts(self, peer: Peer, notice: SuspectVerdicts) -> None:
        """Take over verdicts, and hand on what is new here."""
        verdicts = list(read_verdicts(notice.verdicts, now_ms=self._app.clock.now_ms()))
        changed = self._guard.merge_verdicts(verdicts, source=peer.hello.name)
        if changed:
            self._spread(changed)

    async def _async_repeat(self) -> None:
        while True:
            await self._app.clock.async_sleep(REPEAT_INTERVAL_MS)
            self._guard.sweep()
            convicted = self._guard.verdicts.list_convicted()[-MAX_REPEATED:]
            if convicted:
                self._spread(convicted)


def _rank(subject: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(subject.to_bytes(8, "little") + name.encode())
