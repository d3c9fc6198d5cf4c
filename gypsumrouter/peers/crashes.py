"""Exchange of crash suspects: evidence goes to the few routers that judge it, verdicts to all.

The judges of a subject are the first routers in its rendezvous order. So the evidence of a fleet
meets without everyone telling everyone.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.crashes import CrashGuard, Survival, SuspectImplication, Verdict
from gypsumrouter.crashes.messages import (
    apply_evidence,
    encode_evidence,
    encode_verdicts,
    read_verdicts,
)
from gypsumrouter.link import (
    DataCentreUpdate,
    Notice,
    NoticeHub,
    Peer,
    SuspectEvidence,
    SuspectVerdicts,
    send_to_all,
)
from gypsumrouter.peers.relays import DataCentreRelay
from gypsumrouter.peers.routers import RouterRegistry

# Routers that judge a subject. One that is itself a judge tells the next one too.
JUDGES: Final = 2
# Further routers that are told instead of ones that can't be reached.
MAX_SUBSTITUTES: Final = 2
# Verdicts of one crash are sent together.
SPREAD_DELAY_MS: Final = 50
# Minimum time between two full tables of verdicts to one peer.
TABLE_INTERVAL_MS: Final = 1_000

SendTo = Callable[[str, Notice], Awaitable[bool]]


class CrashExchange:
    """Tells other routers what this one has seen of crashes, and spreads verdicts."""

    __slots__ = (
        "_app",
        "_guard",
        "_relays",
        "_routers",
        "_send",
        "_spreading",
        "_table_sent_ms",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        relays: DataCentreRelay,
        notices: NoticeHub,
        guard: CrashGuard,
        send: SendTo,
    ) -> None:
        self._app = app
        self._routers = routers
        self._relays = relays
        self._guard = guard
        self._send = send
        # Verdicts that were decided here and are about to be sent, by subject.
        self._spreading: dict[int, Verdict] = {}
        # When each peer was last sent all verdicts, by its incarnation.
        self._table_sent_ms: dict[int, int] = {}
        guard.on_evidence(self._tell_judges)
        guard.on_verdicts(self._spread)
        guard.set_judge_checks(
            is_judge=lambda subject: routers.is_among_first(key=subject, count=JUDGES),
            is_first_judge=lambda subject: routers.is_among_first(key=subject, count=1),
        )
        notices.subscribe(SuspectEvidence, self._handle_evidence)
        notices.subscribe(SuspectVerdicts, self._handle_verdicts)
        notices.subscribe(
            DataCentreUpdate,
            lambda peer, update: self.check_digest(peer, update.verdicts_digest),
        )

    def check_digest(self, peer: Peer, digest: int) -> None:
        """Send a peer all verdicts if its own are different."""
        if digest == self._guard.verdicts.digest or not len(self._guard.verdicts):
            return
        now_ms = self._app.clock.now_ms()
        incarnation = peer.hello.incarnation
        if now_ms - self._table_sent_ms.get(incarnation, -TABLE_INTERVAL_MS) < TABLE_INTERVAL_MS:
            return
        self._table_sent_ms = {
            other: sent_ms
            for other, sent_ms in self._table_sent_ms.items()
            if now_ms - sent_ms < TABLE_INTERVAL_MS
        }
        self._table_sent_ms[incarnation] = now_ms
        peer.send(self._encode(self._guard.verdicts.list_all()))

    def _tell_judges(
        self, implications: tuple[SuspectImplication, ...], survivals: tuple[Survival, ...]
    ) -> None:
        judges: dict[str, tuple[list[SuspectImplication], list[Survival]]] = {}
        for implication in implications:
            for address in self._routers.rank(key=implication.subject, count=JUDGES):
                judges.setdefault(address, ([], []))[0].append(implication)
        for survival in survivals:
            for address in self._routers.rank(key=survival.subject, count=JUDGES):
                judges.setdefault(address, ([], []))[1].append(survival)
        for address, (told_implications, told_survivals) in judges.items():
            self._app.async_create_task(
                self._async_tell(address, told_implications, told_survivals), "tell of crashes"
            )

    async def _async_tell(
        self, address: str, implications: list[SuspectImplication], survivals: list[Survival]
    ) -> None:
        """Tell one judge, or others for each subject if it can't be reached."""
        if await self._send(address, self._encode_evidence(implications, survivals)):
            return
        for implication in implications:
            evidence = self._encode_evidence((implication,), ())
            await self._async_tell_substitute(implication.subject, evidence)
        for survival in survivals:
            evidence = self._encode_evidence((), (survival,))
            await self._async_tell_substitute(survival.subject, evidence)

    async def _async_tell_substitute(self, subject: int, evidence: SuspectEvidence) -> None:
        ranked = self._routers.rank(key=subject, count=JUDGES + MAX_SUBSTITUTES)
        for address in ranked[JUDGES:]:
            if await self._send(address, evidence):
                return

    def _spread(self, verdicts: tuple[Verdict, ...]) -> None:
        """Send verdicts that were decided here to all routers, several at a time."""
        if not self._spreading:
            self._app.async_create_task(self._async_spread(), "spread verdicts")
        self._spreading.update((verdict.subject, verdict) for verdict in verdicts)

    async def _async_spread(self) -> None:
        await self._app.clock.async_sleep(SPREAD_DELAY_MS)
        verdicts, self._spreading = self._spreading, {}
        notice = self._encode(verdicts.values())
        self._send_to_neighbours(notice)
        self._send_elsewhere(notice)

    def _send_to_neighbours(self, notice: SuspectVerdicts) -> None:
        peers = (known.peer for known in self._routers.list_neighbours().values())
        send_to_all([peer for peer in peers if peer is not None], notice)

    def _send_elsewhere(self, notice: SuspectVerdicts) -> None:
        if self._relays.is_relay():
            self._app.async_create_task(
                self._relays.async_send_elsewhere(notice), "tell verdicts elsewhere"
            )

    def _handle_evidence(self, peer: Peer, evidence: SuspectEvidence) -> None:
        now_ms = self._app.clock.now_ms()
        apply_evidence(self._guard, evidence, sender=peer.hello.name, now_ms=now_ms)

    def _handle_verdicts(self, peer: Peer, notice: SuspectVerdicts) -> None:
        """Take over verdicts, and hand on what is new here."""
        verdicts = list(read_verdicts(notice.verdicts, now_ms=self._app.clock.now_ms()))
        changed = self._guard.merge_verdicts(verdicts, source=peer.hello.name)
        if not changed:
            return
        if notice.data_centre == self._app.data_centre:
            self._send_elsewhere(self._encode(changed))
        else:
            self._send_to_neighbours(self._encode(changed))

    def _encode_evidence(
        self, implications: Iterable[SuspectImplication], survivals: Iterable[Survival]
    ) -> SuspectEvidence:
        return encode_evidence(implications, survivals, now_ms=self._app.clock.now_ms())

    def _encode(self, verdicts: Iterable[Verdict]) -> SuspectVerdicts:
        encoded = encode_verdicts(verdicts, now_ms=self._app.clock.now_ms())
        return SuspectVerdicts(data_centre=self._app.data_centre, verdicts=encoded)
