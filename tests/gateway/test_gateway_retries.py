from __future__ import annotations

import pytest
from gateway_fakes import ENGINES, HEAD_JSON, RECORDS, Router, Script, whole

from gypsumrouter.link.models import Data, SuspectAnnouncement
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.suspicion import Suspect, find_isolation_places

LOST = Failed(reason=Reason.LINK_LOST)
OVER_CAP = Refused(reason=Reason.OVER_CAP, retry_after_ms=300, elsewhere=True)
KEY = {"Idempotency-Key": "0191e0c8-4c1b-7d52-9d3c-0a1b2c3d4e5f"}


async def test_repeatable_request_is_retried_elsewhere_and_nothing_of_the_first_try_leaks(
    router: Router,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_JSON, Data(offset=0, body=b"half"), LOST])
    router.links.script(ENGINES[1], with_=whole(b'{"whole": 1}'))
    answer, body = await router.async_chat()
    assert (answer.status, body) == (200, {"whole": 1})
    assert router.links.tried == [ENGINES[0], ENGINES[1]]
    assert [request.attempt for _, request in router.links.opened] == [1, 2]


async def test_retries_stop_when_the_budget_is_spent(router: Router) -> None:
    router.links.script(*ENGINES, with_=[LOST])
    for _ in range(30):
        answer, body = await router.async_chat()
        assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    # The full budget of 10, and a tenth of the 29 requests after the first.
    assert len(router.links.opened) == 30 + 10 + 2


async def test_refusal_after_a_lost_try_is_never_told_as_not_run(router: Router) -> None:
    router.links.script(ENGINES[0], with_=[LOST])
    router.links.script(ENGINES[1], ENGINES[2], with_=OVER_CAP)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (502, "link_lost")
    assert answer.headers["X-Gypsum-Executed"] == "unknown"


async def test_refusals_cost_no_retries_and_the_most_telling_one_is_told(router: Router) -> None:
    router.links.script(ENGINES[0], with_=Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    router.links.script(ENGINES[1], with_=OVER_CAP)
    router.links.script(ENGINES[2], with_=Refused(reason=Reason.LEAVING, elsewhere=True))
    for _ in range(30):
        _, body = await router.async_chat()
        assert (body["error"]["code"], body["error"]["retry_after_ms"]) == ("over_cap", 300)
    assert len(router.links.opened) == 90


async def test_final_refusal_is_not_tried_elsewhere(router: Router) -> None:
    router.links.script(ENGINES[0], with_=Refused(reason=Reason.SUSPECT))
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (422, "suspect")
    assert router.links.tried == [ENGINES[0]]


async def test_request_that_lost_two_upstreams_is_given_to_no_third(router: Router) -> None:
    router.links.script(*ENGINES, with_=[Failed(reason=Reason.UPSTREAM_LOST)])
    answer, _ = await router.async_chat()
    assert answer.status == 502
    assert router.links.tried == [ENGINES[0], ENGINES[1]]


async def test_suspect_is_refused_before_it_is_given_to_anyone(router: Router) -> None:
    router.suspicion.verdict = Refused(reason=Reason.SUSPECT)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["executed"]) == (422, "not_run")
    assert router.links.tried == []


async def test_suspect_goes_first_to_its_isolation_place_which_is_told_before(
    router: Router,
) -> None:
    place = find_isolation_places("engines", router.fleet.members("engines"))[0].name
    news = SuspectAnnouncement(digest=1, strike=2, alone=False)
    router.suspicion.verdict, router.suspicion.news = Suspect(), (news,)
    busy = Refused(reason=Reason.SUSPECT_BUSY, elsewhere=True, retry_after_ms=1_000)
    router.links.script(*ENGINES, with_=busy)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (503, "suspect_isolated")
    assert router.links.tried[0] == place
    assert sorted(router.links.tried) == sorted(ENGINES)
    assert router.links.noticed[0] == (place, news)


async def test_call_that_must_not_be_repeated_needs_a_key(router: Router) -> None:
    answer, body = await router.async_post("/services/records/defects")
    assert (answer.status, body["error"]["code"]) == (400, "idempotency_key_required")
    assert body["error"]["param"] == "Idempotency-Key"
    assert body["error"]["executed"] == "not_run"
    assert "Idempotency-Key" in body["error"]["message"]
    assert router.links.opened == []


@pytest.mark.parametrize("spelling", ["/defects", "/%64efects", "/defects/", "/defects?now=1"])
async def test_no_spelling_of_a_protected_path_is_retried_after_an_unknown_outcome(
    router: Router, spelling: str
) -> None:
    router.links.script(*RECORDS, with_=[LOST])
    answer, body = await router.async_post(f"/services/records{spelling}", headers=KEY)
    assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    assert len(router.links.opened) == 1
    assert router.links.opened[0][1].idempotency_key == KEY["Idempotency-Key"]


@pytest.mark.parametrize(
    ("second", "status", "executed"),
    [
        (whole(b"{}"), 200, None),
        (OVER_CAP, 502, "unknown"),
        (Refused(reason=Reason.OVER_CAP), 503, "not_run"),
        ([LOST], 502, "unknown"),
    ],
)
async def test_call_that_must_not_be_repeated_is_redirected_once_by_a_side_that_is_not_its_home(
    router: Router, second: Script, status: int, executed: str | None
) -> None:
    not_home = Refused(reason=Reason.NOT_HOME, elsewhere=True)
    for name in RECORDS:
        router.links.script(name, with_=not_home)
    await router.async_post("/services/records/defects", headers=KEY)
    first, other = router.links.tried
    router.links.opened.clear()
    router.links.scripts[other] = [second]
    answer, _ = await router.async_post("/services/records/defects", headers=KEY)
    assert router.links.tried == [first, other]
    assert answer.status == status
    assert answer.headers.get("X-Gypsum-Executed") == executed


@pytest.mark.parametrize(
    ("refused", "told"),
    [
        (Refused(reason=Reason.NOT_HOME, elsewhere=True), (502, "unknown")),
        (Refused(reason=Reason.MEMORY_FULL), (503, "not_run")),
    ],
)
async def test_only_the_home_of_a_key_may_say_that_its_call_was_not_run(
    router: Router, refused: Refused, told: tuple[int, str]
) -> None:
    router.links.script(*RECORDS, with_=refused)
    answer, body = await router.async_post("/services/records/defects", json={}, headers=KEY)
    assert body["error"]["code"] == refused.reason.value
    assert (answer.status, body["error"]["executed"]) == told


async def test_router_that_reaches_no_home_leaves_open_whether_the_call_was_run(
    router: Router,
) -> None:
    router.links.script(*RECORDS, with_=Refused(reason=Reason.UNREACHABLE, elsewhere=True))
    answer, body = await router.async_post("/services/records/defects", json={}, headers=KEY)
    assert (answer.status, body["error"]["executed"]) == (502, "unknown")
    assert answer.headers["Retry-After"] == "1"
