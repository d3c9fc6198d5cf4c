"""Messages about crash suspects at the target size, and processor time of the check.

`python -m bench crashes-cost`. 330 routers in nine data centres; twenty engines crash at once
without a culprit, with a hundred requests each of eight parts; then a part crashes one after the
other.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Iterable
from heapq import nsmallest
from typing import Final

import xxhash

from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.crashes import CrashGuard, Subjects, Survival, SuspectImplication, Verdict
from gypsumrouter.crashes.messages import encode_evidence, encode_verdicts
from gypsumrouter.journal import Journal
from gypsumrouter.link import Notice, SuspectVerdicts
from gypsumrouter.link.notice_codec import encode_notice
from gypsumrouter.peers.crashes import JUDGES
from gypsumrouter.util.clock import ManualClock

ROUTERS: Final = 330
DATA_CENTRES: Final = 9
ENGINES: Final = 20
REQUESTS_PER_ENGINE: Final = 100
WORKSPACES: Final = 9_500
# Shared parts of a prompt: one of the system's, two of the workspace, the others of the chat.
PARTS: Final = 8
CRASHES_OF_PART: Final = 4
STEP_MS: Final = 100
DURATION_S: Final = 10
FRAME_BYTES: Final = 16
CHECKS: Final = 200_000
US_PER_S: Final = 1_000_000


class Fleet:
    """Guards of all routers, which deliver each other's messages at once and count their bytes."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.guards = [self._make_guard(number) for number in range(ROUTERS)]
        self.sent: Counter[int] = Counter()
        self.received: Counter[int] = Counter()
        self.by_kind: Counter[str] = Counter()
        self.notices: Counter[str] = Counter()
        self.links: set[tuple[int, int]] = set()

    def _make_guard(self, number: int) -> CrashGuard:
        app = Application(
            name=f"entry-{number}",
            role=Role.FORWARDER,
            data_centre=f"dc-{number % DATA_CENTRES}",
            region="r",
            clock=self.clock,
        )
        guard = CrashGuard(app=app, journal=Journal(app=app))
        guard.set_judge_checks(
            is_judge=lambda subject: number in rank(subject),
            is_first_judge=lambda subject: number == rank(subject)[0],
        )
        guard.on_evidence(lambda implications, seen: self._tell_judges(number, implications, seen))
        guard.on_verdicts(lambda verdicts: self._spread(number, verdicts))
        return guard

    def _tell_judges(
        self, sender: int, implications: tuple[SuspectImplication, ...], seen: tuple[Survival, ...]
    ) -> None:
        judges: dict[int, tuple[list[SuspectImplication], list[Survival]]] = {}
        for implication in implications:
            for judge in rank(implication.subject):
                judges.setdefault(judge, ([], []))[0].append(implication)
        for survival in seen:
            for judge in rank(survival.subject):
                judges.setdefault(judge, ([], []))[1].append(survival)
        for judge, (told, survivals) in judges.items():
            if judge != sender:
                notice = encode_evidence(told, survivals, now_ms=self.clock.now_ms())
                self._count(sender, (judge,), notice)
                self.links.add((sender, judge))
                self.guards[judge].apply_evidence(told, survivals)

    def _spread(self, origin: int, verdicts: tuple[Verdict, ...]) -> None:
        """Spread verdicts to the data centre, by its relay to the others, and there to all."""
        notice = SuspectVerdicts(
            data_centre="dc-0", verdicts=encode_verdicts(verdicts, now_ms=self.clock.now_ms())
        )
        home = origin % DATA_CENTRES
        self._count(origin, (n for n in list_routers(home) if n != origin), notice)
        others = [dc for dc in range(DATA_CENTRES) if dc != home]
        self._count(home, others, notice)
        for relay in others:
            self._count(relay, (n for n in list_routers(relay) if n != relay), notice)
        for number, guard in enumerate(self.guards):
            if number != origin:
                guard.merge_verdicts(verdicts, source="peer")

    def _count(self, sender: int, receivers: Iterable[int], notice: Notice) -> None:
        size = len(encode_notice(notice)[1]) + FRAME_BYTES
        for receiver in receivers:
            self.by_kind[type(notice).__name__] += size
            self.notices[type(notice).__name__] += 1
            self.sent[sender] += size
            self.received[receiver] += size


def rank(subject: int) -> list[int]:
    """Return the routers that judge a subject."""
    return nsmallest(
        JUDGES,
        range(ROUTERS),
        key=lambda number: xxhash.xxh3_64_intdigest(subject.to_bytes(8, "little"), seed=number),
    )


def list_routers(data_centre: int) -> range:
    """Return the routers of a data centre; the first one is its relay."""
    return range(data_centre, ROUTERS, DATA_CENTRES)


def make_subjects(rng: random.Random, crashing: int = 0) -> Subjects:
    """Return what a random request can be suspected for."""
    workspace = rng.randrange(WORKSPACES)
    own = (1 << 40) + workspace * 8
    parts = (1, own, own + 1, *(rng.getrandbits(60) for _ in range(PARTS - 4)))
    return Subjects(
        parts=(*parts, crashing or rng.getrandbits(60)),
        digest=rng.getrandbits(64),
        workspace=1 + workspace,
    )


async def async_replay() -> Fleet:
    """Let engines crash at once and one after the other; return the counted fleet."""
    rng = random.Random(7)
    fleet = Fleet()
    for engine in range(ENGINES):
        for _ in range(REQUESTS_PER_ENGINE):
            await async_run(fleet, rng, f"i-{engine}", make_subjects(rng))
    for step in range(DURATION_S * MS_PER_S // STEP_MS):
        if step % 10 == 5 and step // 10 < CRASHES_OF_PART:
            for number in range(REQUESTS_PER_ENGINE):
                crashing = 0xDEAD if number == 0 else 0
                await async_run(fleet, rng, f"i-late-{step}", make_subjects(rng, crashing))
        fleet.clock.advance(STEP_MS)
        for _ in range(4):
            await asyncio.sleep(0)
    return fleet


async def async_run(fleet: Fleet, rng: random.Random, engine: str, subjects: Subjects) -> None:
    """Send a request by a random router, whose connection breaks, unless it is refused."""
    guard = rng.choice(fleet.guards)
    if guard.find_refusal(subjects) is not None:
        return
    run = guard.start(upstream=engine, request_id="", subjects=subjects)
    guard.note_broken(engine)
    guard.note_ended(run)
    await asyncio.sleep(0)


def measure_check(guard: CrashGuard) -> float:
    """Return the mean processor time of a check in microseconds."""
    subjects = make_subjects(random.Random(1))
    started_s = time.process_time()
    for _ in range(CHECKS):
        guard.find_refusal(subjects)
    return (time.process_time() - started_s) / CHECKS * US_PER_S


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    logging.disable(logging.WARNING)
    print_machine()
    fleet = asyncio.run(async_replay())
    refusing = sum(bool(guard.verdicts.convicted) for guard in fleet.guards)
    per_router = [fleet.sent[n] / DURATION_S for n in range(ROUTERS)]
    received = [fleet.received[n] / DURATION_S for n in range(ROUTERS)]
    links = Counter(sender for sender, _ in fleet.links)
    figures = {
        "evidence_bytes_per_s": round(fleet.by_kind["SuspectEvidence"] / DURATION_S / ROUTERS, 1),
        "verdicts_bytes_per_s": round(fleet.by_kind["SuspectVerdicts"] / DURATION_S / ROUTERS, 1),
        "evidence_notices": fleet.notices["SuspectEvidence"],
        "verdict_notices": fleet.notices["SuspectVerdicts"],
        "mean_sent_bytes_per_s": round(sum(per_router) / ROUTERS, 1),
        "most_sent_bytes_per_s": round(max(per_router), 1),
        "mean_received_bytes_per_s": round(sum(received) / ROUTERS, 1),
        "most_received_bytes_per_s": round(max(received), 1),
        "mean_links_to_judges": round(sum(links.values()) / ROUTERS, 1),
        "routers_that_refuse": refusing,
        "verdicts": len(fleet.guards[0].verdicts),
        "check_us": round(measure_check(fleet.guards[0]), 2),
    }
    rows = list(figures.items())
    print_table(title=f"over {DURATION_S} s", columns=("figure", "value"), rows=rows)
    print_result(figures)
    return EXIT_OK
