"""Tests of verdicts derived from crashes, and of the announcement of implications."""

from __future__ import annotations

import pytest
from suspicion_world import FakeProcess

from gypsumrouter.const import Role
from gypsumrouter.fleet import Address, Instance
from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion import Clear, Suspect, select_isolation_instances
from gypsumrouter.suspicion.const import CRASH_TTL_MS, MAX_CRASHES, PROOF_TTL_MS

CRASHING_DIGEST = 666


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


def is_rejected(process: FakeProcess, digest: int) -> bool:
    verdict = process.suspicion.check(digest)
    return isinstance(verdict, Refused) and verdict.reason is Reason.SUSPECT


def test_crash_makes_all_running_digests_suspect() -> None:
    process = FakeProcess()
    implications = process.crash_with(CRASHING_DIGEST, 1, 2, 2)
    assert {item.digest for item in implications} == {CRASHING_DIGEST, 1, 2}
    assert len({item.implication for item in implications}) == 1
    assert process.announced == list(implications)
    assert process.suspicion.check(1) == Suspect()
    assert process.suspicion.check(3) == Clear()


def test_repeated_reports_of_a_crash_count_once() -> None:
    process = FakeProcess()
    process.suspicion.record_start(1)
    process.suspicion.record_start(2)
    assert len(process.suspicion.handle_upstream_crash()) == 2
    assert process.suspicion.handle_upstream_crash() == ()
    process.suspicion.record_end(1)
    assert process.suspicion.handle_upstream_crash() == ()


def test_single_crash_is_no_proof() -> None:
    process = FakeProcess()
    process.crash_with(1)
    assert process.suspicion.check(1) == Suspect()


def test_second_crash_alone_is_proof_and_clears_other_digests() -> None:
    first, second, router = FakeProcess(), FakeProcess(), FakeProcess()
    implications = first.crash_with(CRASHING_DIGEST, 1, 2)
    second.receive(*implications)
    more = second.crash_with(CRASHING_DIGEST)
    router.receive(*implications, *more)
    first.receive(*more)
    for process in (first, second, router):
        assert is_rejected(process, CRASHING_DIGEST)
        assert process.suspicion.check(1) == Clear()


def test_only_digest_common_to_two_crashes_is_proven_in_any_order_of_implications() -> None:
    first, second, router = FakeProcess(), FakeProcess(), FakeProcess()
    implications = [
        *first.crash_with(1, CRASHING_DIGEST, 2),
        *second.crash_with(3, CRASHING_DIGEST, 4),
    ]
    router.receive(*reversed(implications))
    assert is_rejected(router, CRASHING_DIGEST)
    assert [router.suspicion.check(digest) for digest in (1, 2, 3, 4)] == [Clear()] * 4


def test_two_digests_common_to_two_crashes_stay_suspect() -> None:
    process = FakeProcess()
    for _ in range(2):
        process.crash_with(CRASHING_DIGEST, 1)
    assert process.suspicion.check(CRASHING_DIGEST) == Suspect()
    assert process.suspicion.check(1) == Suspect()


@pytest.mark.parametrize(("complete", "expected"), [(True, Clear()), (False, Suspect())])
def test_only_complete_run_alone_clears_suspect(complete: bool, expected: Clear | Suspect) -> None:
    process = FakeProcess()
    implications = process.crash_with(CRASHING_DIGEST, 1)
    process.suspicion.record_start(1)
    process.suspicion.record_end(1, complete=complete)
    process.receive(*implications)
    assert process.suspicion.check(1) == expected


def test_complete_concurrent_run_does_not_clear_suspect() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    process.suspicion.record_start(1)
    process.suspicion.record_start(5)
    process.suspicion.record_end(5, complete=True)
    process.suspicion.record_end(1, complete=True)
    assert process.suspicion.check(1) == Suspect()


def test_repeated_implication_is_announced_once() -> None:
    process = FakeProcess()
    implication = SuspectAnnouncement(digest=1, implication=2, alone=False)
    process.receive(implication, implication)
    assert process.announced == [implication]
    assert process.suspicion.list_implications(1) == (implication,)
    assert process.suspicion.list_implications(7) == ()


def test_crashes_and_proofs_expire() -> None:
    process = FakeProcess()
    process.crash_with(1, 2)
    process.crash_with(CRASHING_DIGEST, 3)
    process.crash_with(CRASHING_DIGEST)
    process.clock.advance(CRASH_TTL_MS)
    assert process.suspicion.check(1) == Clear()
    assert is_rejected(process, CRASHING_DIGEST)
    process.clock.advance(PROOF_TTL_MS)
    assert process.suspicion.check(CRASHING_DIGEST) == Clear()
    assert process.suspicion.list_implications() == ()


def test_number_of_crashes_is_limited_and_proofs_are_kept() -> None:
    process = FakeProcess()
    process.crash_with(CRASHING_DIGEST, 1)
    process.crash_with(CRASHING_DIGEST)
    for number in range(3 * MAX_CRASHES):
        process.crash_with(1_000 + number, 5_000 + number)
    assert is_rejected(process, CRASHING_DIGEST)
    assert len(process.suspicion.list_implications()) <= 2 * MAX_CRASHES


def test_suspects_run_only_on_isolation_instances() -> None:
    fleet = FakeFleet("e0", "e1", "e2")
    (selected,) = select_isolation_instances("engines", fleet.members("engines"))
    for name in ("e0", "e1", "e2"):
        process = FakeProcess(name, fleet=fleet, pool="engines")
        process.crash_with(1, 2)
        verdict = process.suspicion.check(1)
        if name == selected.name:
            assert verdict == Suspect()
        else:
            assert isinstance(verdict, Refused)
            assert verdict.reason is Reason.SUSPECT_ISOLATED
            assert verdict.elsewhere
    assert (
        len(select_isolation_instances("engines", [make_engine(f"e{n}") for n in range(930)]))
        == 116
    )


async def test_dump_metrics_and_unsubscribe_on_stop() -> None:
    process = FakeProcess()
    process.crash_with(1, 2)
    dump = process.app.dump()["suspicion"]
    assert isinstance(dump, dict)
    assert (dump["implications"], dump["suspect_digests"], dump["refused_digests"]) == (1, 2, 0)
    assert b"gypsum_upstream_deaths_total 1" in process.app.metrics.render()
    await process.app.async_stop()
    assert process.hub.listeners == []
