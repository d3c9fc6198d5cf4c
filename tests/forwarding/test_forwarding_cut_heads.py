"""Answers of upstreams that end, or stop, after each of their bytes, as their callers see them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from functools import partial

import aiohttp
import pytest
from cut_heads import (
    BODY,
    PROMISES,
    CuttingWorld,
    Ending,
    Outcome,
    Play,
    Script,
    async_gather_bounded,
    get_head_size,
    make_answer,
    make_events,
    make_stream,
)

from gypsumrouter.platform import names

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
NOT_RUN = f"{names.NOT_RUN}: 1\r\n"
SILENCE_DEADLINE_MS = 120
# How often a request is sent until it reaches an upstream, each time with twice the deadline.
SENDS = 6
FAILED = frozenset({502, 504})


def make_kinds(request_id: str) -> dict[str, bytes]:
    """Return whole answers of each kind to a request."""
    make = partial(make_answer, request_id=request_id)
    return {
        "length": make("length"),
        "chunked": make("chunked"),
        "neither": make("neither"),
        "no_content": make("length", body=b"", status="204 No Content").replace(
            b"Content-Length: 0\r\n", b""
        ),
        "events": make_stream("chunked", request_id=request_id, last=2),
        "events_neither": make_stream("neither", request_id=request_id, last=2),
        "bare": make("length").replace(b"\r\n", b"\n"),
        "interim": INTERIM + make("length"),
        "joined": make_answer("length", request_id="other") + make("length"),
        "failed": make("length", status="500 Internal Server Error"),
        "rejected": make("length", status="503 Service Unavailable", more=NOT_RUN),
        "misdirected": make("length", status="421 Misdirected Request"),
    }


KEPT_KINDS = ("length", "chunked", "no_content", "events", "interim", "joined")
SIZES = {kind: len(data) for kind, data in make_kinds("cut-0000").items()}
# Bytes of such an answer from which on it says that its request was not run.
PROMISE_SIZES = {
    kind: get_head_size(make_kinds("cut-0000")[kind]) for kind in ("rejected", "misdirected")
}


@pytest.fixture
async def cutting(link_key: None) -> AsyncIterator[CuttingWorld]:
    async with CuttingWorld() as world:
        yield world


def make_script(kind: str, cut: int, ending: Ending, request_id: str) -> Script:
    return lambda _headers: Play(make_kinds(request_id)[kind][:cut], ending)


def list_cuts(kind: str) -> range:
    """Return the sizes of the beginnings that are no whole answer."""
    return range(PROMISE_SIZES.get(kind, SIZES[kind]))


def looks_whole(outcome: Outcome) -> bool:
    """Return whether a caller may take a cut answer for a success, or for one of the upstream."""
    if outcome.status in PROMISES or outcome.status not in FAILED:
        return outcome.whole
    return names.STAMP in outcome.headers


def count_reused(cutting: CuttingWorld) -> int:
    """Return how many cut answers came on a connection that had carried another exchange."""
    return sum(
        request_id.startswith(("cut-", "cu2-")) and exchanges > 1
        for runner in cutting.cutting
        for request_id, exchanges in runner.arrivals
    )


# Guards against a success, a stamp or a promise for an answer that ended before its last byte.
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize(
    ("kind", "kept"),
    [*((kind, False) for kind in SIZES), *((kind, True) for kind in KEPT_KINDS)],
)
async def test_answer_that_ends_after_any_byte_looks_whole(
    cutting: CuttingWorld,
    session: aiohttp.ClientSession,
    kind: str,
    ending: Ending,
    kept: bool,
) -> None:
    deadline_ms = SILENCE_DEADLINE_MS if ending is Ending.SILENCE else 5_000
    events = kind.startswith("events")

    def write_control(_headers: dict[str, str]) -> Play:
        return Play(make_kinds("control")[kind], Ending.CLOSE)

    async def async_ask(cut: int, prefix: str = "cut") -> tuple[int, Outcome]:
        request_id = f"{prefix}-{cut:04}"
        if kept:
            await cutting.async_ask(session, "/one/a", f"whole-{cut}")
        scripts = [make_script(kind, cut, ending, request_id)]
        path = "/draft/a" if events else "/one/a" if kept else "/once/a"
        for doublings in range(SENDS):
            # Where a short deadline has passed in the router, nothing was sent.
            outcome = await cutting.async_ask(
                session,
                path,
                request_id,
                scripts=scripts,
                deadline_ms=deadline_ms << doublings,
                stream=events,
            )
            if cutting.count_arrivals(request_id):
                break
        return cut, outcome

    if kind not in PROMISE_SIZES | {"failed": 0}:
        control = await cutting.async_ask(
            session,
            "/draft/a" if events else "/one/a",
            "control",
            scripts=[write_control],
            stream=events,
        )
        assert (control.status // 100, control.whole) == (2, True)
    asked = await async_gather_bounded([partial(async_ask, cut) for cut in list_cuts(kind)])
    arrivals = {cut: cutting.count_arrivals(f"cut-{cut:04}") for cut, _ in asked}
    assert set(arrivals.values()) == {1}
    # Beside others, a request may find that they use the connections that were kept.
    again = iter(list_cuts(kind))
    wanted = len(asked) // 4 if kept else 0
    while count_reused(cutting) < wanted and (cut := next(again, None)) is not None:
        asked.append(await async_ask(cut, "cu2"))
        assert cutting.count_arrivals(f"cu2-{cut:04}") == 1
    assert count_reused(cutting) >= wanted
    whole = {cut: outcome for cut, outcome in asked if looks_whole(outcome)}
    if kind == "events_neither" and ending is Ending.CLOSE:
        # Without a length or chunks, a close behind a whole event is the end of the stream.
        whole = {cut: got for cut, got in whole.items() if not got.body.endswith(b"\n\n")}
    assert whole == {}
    assert [cut for cut, outcome in asked if not outcome.status] == []


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("kind", ["length", "chunked", "neither", "bare", "interim", "failed"])
@pytest.mark.parametrize(("path", "attempts"), [("/two/a", 2), ("/three/a", 3)])
async def test_last_attempt_whose_answer_ends_after_any_byte_looks_whole(
    cutting: CuttingWorld,
    session: aiohttp.ClientSession,
    path: str,
    attempts: int,
    kind: str,
    ending: Ending,
) -> None:
    """Guards against a success made of two attempts of which none was whole."""

    async def async_ask(cut: int) -> tuple[int, Outcome]:
        request_id = f"cut-{cut:04}"
        scripts = [make_script(kind, cut, ending, request_id)] * attempts
        return cut, await cutting.async_ask(session, path, request_id, scripts=scripts)

    asked = await async_gather_bounded([partial(async_ask, cut) for cut in list_cuts(kind)])
    assert {cut: outcome for cut, outcome in asked if looks_whole(outcome)} == {}
    assert {cutting.count_arrivals(f"cut-{cut:04}") for cut, _ in asked} == {attempts}


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("kind", ["length", "chunked", "neither", "interim", "failed"])
async def test_answer_of_an_attempt_behind_cut_ones_is_joined_with_their_bytes(
    cutting: CuttingWorld, session: aiohttp.ClientSession, kind: str, ending: Ending
) -> None:
    """Guards against bytes of a cut answer in the one that another attempt brings."""

    async def async_ask(cut: int) -> Outcome:
        request_id = f"cut-{cut:04}"
        scripts = [make_script(kind, cut, ending, request_id)] * 2
        return await cutting.async_ask(session, "/three/a", request_id, scripts=scripts)

    asked = await async_gather_bounded([partial(async_ask, cut) for cut in list_cuts(kind)])
    assert {(got.status, got.whole, got.body) for got in asked} == {(200, True, BODY)}


SECOND = ("chunked", "neither")


@pytest.mark.parametrize("silent", [False, True], ids=["broken", "silent"])
@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("framing", SECOND)
async def test_resumed_stream_whose_second_answer_ends_after_any_byte_lacks_a_piece(
    cutting: CuttingWorld,
    session: aiohttp.ClientSession,
    framing: str,
    ending: Ending,
    silent: bool,
) -> None:
    """Guards against a piece that is missing, doubled or joined of two runs, in a whole stream.

    The first upstream breaks the stream off behind its second event, or falls silent there.
    """
    first_ending = Ending.SILENCE if silent else Ending.RESET

    def begin(request_id: str) -> Script:
        data = make_stream("chunked", request_id=request_id)
        cut = data.index(b"id: 3") + 2
        return lambda _headers: Play(data[:cut], first_ending)

    def go_on(request_id: str, cut: int | None) -> Script:
        def write(headers: dict[str, str]) -> Play:
            first = int(headers.get("last-event-id", 0)) + 1
            whole = make_stream(framing, request_id=request_id, first=first)
            if cut is None:
                return Play(whole, Ending.CLOSE if framing == "neither" else None)
            return Play(whole[:cut], ending)

        return write

    # Each silence is waited for.
    step = 15 if silent else 1
    size = len(make_stream(framing, request_id="cut-0000", first=3))

    async def async_ask(cut: int, last: bool) -> Outcome:
        request_id = f"cut-{cut:04}" if last else f"cut+{cut:04}"
        second = go_on(request_id, cut)
        third = second if last else go_on(request_id, None)
        scripts = [begin(request_id), second, third]
        return await cutting.async_ask(
            session, "/quote/a", request_id, scripts=scripts, stream=True
        )

    calls = [
        partial(async_ask, c, last)
        for c, last in itertools.product(range(0, size, step), (False, True))
    ]
    asked = await async_gather_bounded(calls)
    pieces = [(got, got.body) for got in asked if got.status == 200]
    assert [body for _, body in pieces if not make_events().startswith(body)] == []
    short = [got for got, body in pieces if got.whole and body != make_events()]
    if framing == "neither" and ending is Ending.CLOSE:
        # Without a length or chunks, a close behind a whole event is the end of the stream.
        short = [got for got in short if not got.body.endswith(b"\n\n")]
    assert short == []
    assert [got for got in asked if got.status != 200 and looks_whole(got)] == []
    # A third attempt completes what the second one left.
    assert all(got.whole for got in asked[::2]) or silent


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("kind", ["length", "chunked", "neither", "interim"])
async def test_answer_beside_a_silent_upstream_that_ends_after_any_byte_looks_whole(
    cutting: CuttingWorld, session: aiohttp.ClientSession, kind: str, ending: Ending
) -> None:
    """Guards against a success from the cut answer of a run that was sent beside a silent one."""

    async def async_ask(cut: int) -> tuple[int, Outcome]:
        request_id = f"cut-{cut:04}"
        scripts: list[Script] = [
            lambda _headers: Play(b"", Ending.SILENCE),
            make_script(kind, cut, ending, request_id),
        ]
        return cut, await cutting.async_ask(
            session, "/two/a", request_id, scripts=scripts, deadline_ms=1_500
        )

    # Each silence is waited for.
    cuts = list_cuts(kind)[::5]
    asked = await async_gather_bounded([partial(async_ask, cut) for cut in cuts])
    assert {cut: outcome for cut, outcome in asked if looks_whole(outcome)} == {}
    assert {cutting.count_arrivals(f"cut-{cut:04}") for cut in cuts} == {2}


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("kind", ["length", "chunked", "neither", "interim", "events"])
async def test_answer_that_ends_after_any_byte_in_a_stop_looks_whole(
    cutting: CuttingWorld, session: aiohttp.ClientSession, kind: str, ending: Ending
) -> None:
    """Guards against an answer whose missing end a stop hides."""
    events = kind == "events"
    # No more than the upstreams and the connections of the session take at once.
    cuts = list_cuts(kind)[::3]
    for runner in cutting.cutting:
        runner.gate.clear()

    async def async_ask(cut: int) -> Outcome:
        request_id = f"cut-{cut:04}"
        return await cutting.async_ask(
            session, "/draft/a" if events else "/two/a", request_id, stream=events,
            scripts=[make_script(kind, cut, ending, request_id)] * 2,
        )  # fmt: skip

    asked = [asyncio.create_task(async_ask(cut)) for cut in cuts]
    await cutting.async_until(lambda: all(cutting.count_arrivals(f"cut-{cut:04}") for cut in cuts))
    stop = asyncio.create_task(cutting.product.app.async_drain())
    await cutting.async_until(lambda: not cutting.product.is_ready())
    for runner in cutting.cutting:
        runner.gate.set()
    outcomes = dict(zip(cuts, await asyncio.gather(*asked), strict=True))
    await stop
    assert {cut: outcome for cut, outcome in outcomes.items() if looks_whole(outcome)} == {}
    assert [cut for cut, outcome in outcomes.items() if not outcome.status] == []
