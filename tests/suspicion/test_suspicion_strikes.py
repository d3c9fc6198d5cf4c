"""What strikes say of a request, and how the news of them travels."""

from __future__ import annotations

import pytest
from suspicion_world import Member

from gypsumrouter.const import Role
from gypsumrouter.fleet import Address, Instance
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion import Clear, Suspect, find_isolation_places
from gypsumrouter.suspicion.const import MAX_STRIKES, PROOF_MS, STRIKE_MS

CRASHER = 666


class FakeFleet:
    def __init__(self, *names: str) -> None:
        self.instances = tuple(make_engine(name) for name in names)

    def members(self, pool: str) -> tuple[Instance, ...]:
        return self.instances


def make_engine(name: str) -> Instance:
    return Instance(
        name=name,
        role=Role.SIDE,
        address=Address(host="10.0.0.1", port=7000),
        data_centre="dc1",
        region="r",
        pool="engines",
    )


def is_refused(member: Member, digest: int) -> bool:
    verdict = member.suspicion.check(digest)
    return isinstance(verdict, Refused) and verdict.reason is Reason.SUSPECT


def test_one_death_makes_all_that_ran_suspect_with_one_strike() -> None:
    member = Member()
    news = member.die_with(CRASHER, 1, 2, 2)
    assert {item.digest for item in news} == {CRASHER, 1, 2}
    assert len({item.strike for item in news}) == 1
    assert member.told == list(news)
    assert member.suspicion.check(1) == Suspect()
    assert member.suspicion.check(3) == Clear()


def test_reports_of_the_same_death_count_once() -> None:
    member = Member()
    member.suspicion.note_started(1)
    member.suspicion.note_started(2)
    assert len(member.suspicion.note_upstream_died()) == 2
    assert member.suspicion.note_upstream_died() == ()
    member.suspicion.note_ended(1)
    assert member.suspicion.note_upstream_died() == ()


def test_single_death_alone_is_no_proof() -> None:
    member = Member()
    member.die_with(1)
    assert member.suspicion.check(1) == Suspect()


def test_death_alone_after_a_strike_is_proof_and_clears_the_neighbours_everywhere() -> None:
    first, second, router = Member(), Member(), Member()
    news = first.die_with(CRASHER, 1, 2)
    second.hear(*news)
    more = second.die_with(CRASHER)
    router.hear(*news, *more)
    first.hear(*more)
    for member in (first, second, router):
        assert is_refused(member, CRASHER)
        assert member.suspicion.check(1) == Clear()


def test_only_digest_common_to_two_deaths_is_proven_in_any_order_of_the_news() -> None:
    first, second, router = Member(), Member(), Member()
    news = [*first.die_with(1, CRASHER, 2), *second.die_with(3, CRASHER, 4)]
    router.hear(*reversed(news))
    assert is_refused(router, CRASHER)
    assert [router.suspicion.check(digest) for digest in (1, 2, 3, 4)] == [Clear()] * 4


def test_digests_that_died_together_twice_stay_suspect_and_are_not_refused() -> None:
    member = Member()
    for _ in range(2):
        member.die_with(CRASHER, 1)
    assert member.suspicion.check(CRASHER) == Suspect()
    assert member.suspicion.check(1) == Suspect()


@pytest.mark.parametrize(("whole", "expected"), [(True, Clear()), (False, Suspect())])
def test_whole_run_alone_clears(whole: bool, expected: Clear | Suspect) -> None:
    member = Member()
    news = member.die_with(CRASHER, 1)
    member.suspicion.note_started(1)
    member.suspicion.note_ended(1, whole=whole)
    member.hear(*news)
    assert member.suspicion.check(1) == expected


def test_whole_run_beside_another_does_not_clear() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    member.suspicion.note_started(1)
    member.suspicion.note_started(5)
    member.suspicion.note_ended(5, whole=True)
    member.suspicion.note_ended(1, whole=True)
    assert member.suspicion.check(1) == Suspect()


def test_news_is_forwarded_once() -> None:
    member = Member()
    news = SuspectAnnouncement(digest=1, strike=2, alone=False)
    member.hear(news, news)
    assert member.told == [news]
    assert member.suspicion.list_news(1) == (news,)
    assert member.suspicion.list_news(7) == ()


def test_strikes_and_proofs_end_with_their_time() -> None:
    member = Member()
    member.die_with(1, 2)
    member.die_with(CRASHER, 3)
    member.die_with(CRASHER)
    member.clock.advance(STRIKE_MS)
    assert member.suspicion.check(1) == Clear()
    assert is_refused(member, CRASHER)
    member.clock.advance(PROOF_MS)
    assert member.suspicion.check(CRASHER) == Clear()
    assert member.suspicion.list_news() == ()


def test_memory_of_strikes_is_bounded_and_keeps_proofs() -> None:
    member = Member()
    member.die_with(CRASHER, 1)
    member.die_with(CRASHER)
    for number in range(3 * MAX_STRIKES):
        member.die_with(1_000 + number, 5_000 + number)
    assert is_refused(member, CRASHER)
    assert len(member.suspicion.list_news()) <= 2 * MAX_STRIKES


def test_suspects_run_only_at_the_places_of_their_pool() -> None:
    fleet = FakeFleet("e0", "e1", "e2")
    (place,) = find_isolation_places("engines", fleet.members("engines"))
    for name in ("e0", "e1", "e2"):
        member = Member(name, fleet=fleet, pool="engines")
        member.die_with(1, 2)
        verdict = member.suspicion.check(1)
        if name == place.name:
            assert verdict == Suspect()
        else:
            assert isinstance(verdict, Refused)
            assert verdict.reason is Reason.SUSPECT_BUSY
            assert verdict.elsewhere
    assert len(find_isolation_places("engines", [make_engine(f"e{n}") for n in range(930)])) == 116


async def test_dump_metrics_and_stop() -> None:
    member = Member()
    member.die_with(1, 2)
    dump = member.app.dump()["suspicion"]
    assert isinstance(dump, dict)
    assert (dump["strikes"], dump["suspect_digests"], dump["refused_digests"]) == (1, 2, 0)
    assert b"gypsum_upstream_deaths_total 1" in member.app.metrics.render()
    await member.app.async_stop()
    assert member.hub.listeners == []
