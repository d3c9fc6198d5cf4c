"""Retries, redirects and calls that must run at most once."""

from __future__ import annotations

import pytest
from gateway_fakes import ENGINES, HEAD_JSON, RECORDS, RouterHarness, Script, complete_answer

from gypsumrouter.link.models import Data, SuspectAnnouncement
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.suspicion import Suspect, select_isolation_instances

LOST = Failed(reason=Reason.LINK_LOST)
OVER_CAP = Refused(reason=Reason.OVER_CAP, retry_after_ms=300, elsewhere=True)
KEY = {"Idempotency-Key": "0191e0c8-4c1b-7d52-9d3c-0a1b2c3d4e5f"}


async def test_retry_at_another_instance_discards_the_partial_answer(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_JSON, Data(offset=0, body=b"half"), LOST])
    router.links.script(ENGINES[1], with_=complete_answer(b'{"whole": 1}'))
    answer, body = await router.async_chat()
    assert (answer.status, body) == (200, {"whole": 1})
    assert router.links.tried == [ENGINES[0], ENGINES[1]]
    assert [request.attempt for _, request in router.links.opened] == [1, 2]


async def test_retries_stop_when_the_budget_is_spent(router: RouterHarness) -> None:
    router.links.script(*ENGINES, with_=[LOST])
    for _ in range(30):
        answer, body = await router.async_chat()
        assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    # First attempts, the initial budget of 10, and 2 retries from a ratio of 0.1 over 29 requests.
    assert len(router.links.opened) == 30 + 10 + 2


async def test_refusal_after_a_lost_attempt_is_reported_as_unknown_outcome(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[LOST])
    router.links.script(ENGINES[1], ENGINES[2], with_=OVER_CAP)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (502, "link_lost")
    assert answer.headers["X-Gypsum-Executed"] == "unknown"


async def test_refusals_use_no_retry_budget_and_the_highest_ranked_is_reported(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    router.links.script(ENGINES[1], with_=OVER_CAP)
    router.links.script(ENGINES[2], with_=Refused(reason=Reason.LEAVING, elsewhere=True))
    for _ in range(30):
        _, body = await router.async_chat()
        assert (body["error"]["code"], body["error"]["retry_after_ms"]) == ("over_cap", 300)
    assert len(router.links.opened) == 90


async def test_final_refusal_is_not_redirected(router: RouterHarness) -> None:
    router.links.script(ENGINES[0], with_=Refused(reason=Reason.SUSPECT))
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (422, "suspect")
    assert router.links.tried == [ENGINES[0]]


async def test_request_is_not_retried_after_two_lost_upstreams(router: RouterHarness) -> None:
    router.links.script(*ENGINES, with_=[Failed(reason=Reason.UPSTREAM_LOST)])
    answer, _ = await router.async_chat()
    assert answer.status == 502
    assert router.links.tried == [ENGINES[0], ENGINES[1]]


async def test_refused_suspect_is_not_sent_to_any_instance(router: RouterHarness) -> None:
    router.suspicion.verdict = Refused(reason=Reason.SUSPECT)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["executed"]) == (422, "not_run")
    assert router.links.tried == []


async def test_chat_with_a_message_that_crashes_engines_is_not_sent_to_any_instance(
    router: RouterHarness,
) -> None:
    router.suspicion.parts_refused = Refused(reason=Reason.CRASHES_UPSTREAMS, retry_after_ms=9_000)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["executed"]) == (503, "not_run")
    assert answer.headers["Retry-After"] == "9"
    assert router.links.tried == []


async def test_suspect_is_sent_first_to_its_isolation_instance_after_its_implications(
    router: RouterHarness,
) -> None:
    isolation_instance = select_isolation_instances("engines", router.fleet.members("engines"))[
        0
    ].name
    implication = SuspectAnnouncement(digest=1, implication=2, alone=False)
    router.suspicion.verdict, router.suspicion.implications = Suspect(), (implication,)
    busy = Refused(reason=Reason.SUSPECT_ISOLATED, elsewhere=True, retry_after_ms=1_000)
    router.links.script(*ENGINES, with_=busy)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (503, "suspect_isolated")
    assert router.links.tried[0] == isolation_instance
    assert sorted(router.links.tried) == sorted(ENGINES)
    assert router.links.sent_notices[0] == (isolation_instance, implication)


async def test_at_most_once_call_requires_an_idempotency_key(router: RouterHarness) -> None:
    answer, body = await router.async_post("/services/records/defects")
    assert (answer.status, body["error"]["code"]) == (400, "idempotency_key_required")
    assert body["error"]["param"] == "Idempotency-Key"
    assert body["error"]["executed"] == "not_run"
    assert "Idempotency-Key" in body["error"]["message"]
    assert router.links.opened == []


@pytest.mark.parametrize("path", ["/defects", "/%64efects", "/defects/", "/defects?now=1"])
async def test_at_most_once_path_is_not_retried_in_any_encoding(
    router: RouterHarness, path: str
) -> None:
    router.links.script(*RECORDS, with_=[LOST])
    answer, body = await router.async_post(f"/services/records{path}", headers=KEY)
    assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    assert len(router.links.opened) == 1
    assert router.links.opened[0][1].idempotency_key == KEY["Idempotency-Key"]


@pytest.mark.parametrize(
    ("owner_answer", "status", "executed"),
    [
        (complete_answer(b"{}"), 200, None),
        (OVER_CAP, 502, "unknown"),
        (Refused(reason=Reason.OVER_CAP), 503, "not_run"),
        ([LOST], 502, "unknown"),
    ],
)
async def test_at_most_once_call_is_redirected_once_by_an_instance_that_is_not_the_key_owner(
    router: RouterHarness, owner_answer: Script, status: int, executed: str | None
) -> None:
    not_home = Refused(reason=Reason.NOT_KEY_OWNER, elsewhere=True)
    for name in RECORDS:
        router.links.script(name, with_=not_home)
    await router.async_post("/services/records/defects", headers=KEY)
    first, other = router.links.tried
    router.links.opened.clear()
    router.links.scripts[other] = [owner_answer]
    answer, _ = await router.async_post("/services/records/defects", headers=KEY)
    assert router.links.tried == [first, other]
    assert answer.status == status
    assert answer.headers.get("X-Gypsum-Executed") == executed


@pytest.mark.parametrize(
    ("refused", "expected"),
    [
        (Refused(reason=Reason.NOT_KEY_OWNER, elsewhere=True), (502, "unknown")),
        (Refused(reason=Reason.CALL_RECORDS_FULL), (503, "not_run")),
    ],
)
async def test_only_a_refusal_by_the_key_owner_is_reported_as_not_run(
    router: RouterHarness, refused: Refused, expected: tuple[int, str]
) -> None:
    router.links.script(*RECORDS, with_=refused)
    answer, body = await router.async_post("/services/records/defects", json={}, headers=KEY)
    assert body["error"]["code"] == refused.reason.value
    assert (answer.status, body["error"]["executed"]) == expected


async def test_unreachable_key_owners_are_reported_as_unknown_outcome(
    router: RouterHarness,
) -> None:
    router.links.script(*RECORDS, with_=Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    answer, body = await router.async_post("/services/records/defects", json={}, headers=KEY)
    assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    assert answer.headers["Retry-After"] == "1"
