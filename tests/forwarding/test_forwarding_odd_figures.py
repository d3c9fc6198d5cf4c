"""Headers that are nearly numbers, from upstreams and from callers, at a running forwarder."""

from __future__ import annotations

import logging

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

Session = aiohttp.ClientSession
LONG = "9" * 6_000
NEARLY_NUMBERS = [
    "",
    "-1",
    "+1",
    "- 1",
    "1 0",
    "1_0",
    "1,0",
    "1e3",
    "1e400",
    "0x1f",
    "nan",
    "inf",
    "-inf",
    "²",
    "٣",
    "\uff11\uff10",
    "1²",
    "9" * 30,
    LONG,
]
# The headers that are read, and those that are passed on, with the place of a figure in each.
UPSTREAM_HEADERS = {
    "Keep-Alive": ["timeout={}", "max=9, timeout={}", "{}"],
    "Retry-After": ["{}"],
    "X-Server-Load": ["{},0,8", "3,{},8", "3,0,{}", "3,0,8,{}", "{}"],
    "Server-Leaving": ["{}"],
    "X-Weight-Versions": ["{}"],
    "Content-Type": ["{}"],
    "Date": ["{}"],
}
CALLER_HEADERS = {
    "X-Deadline-Ms": ["{}"],
    "Last-Event-Id": ["{}"],
    "X-Token-Usage": ["{},80", "1400,{}", "{}"],
    "X-Prefix-Hash": ["a1:{},c3:200", "{}:800,c3:200", "{}"],
    "Resumes": ["{}"],
}
PROPERTY = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


NEARLY = (
    st.just(LONG)
    | st.sampled_from(NEARLY_NUMBERS)
    | st.text(alphabet="0123456789.,:+-_eExnai=²٣\uff11 ", max_size=24).map(str.strip)
)


def draw_headers(shapes: dict[str, list[str]]) -> st.SearchStrategy[dict[str, str]]:
    """Return headers with a figure that is nearly a number in each."""
    header = st.sampled_from(sorted(shapes)).flatmap(
        lambda name: st.builds(
            lambda shape, text: (name, shape.format(text).strip()),
            st.sampled_from(shapes[name]),
            NEARLY,
        )
    )
    return st.lists(header, min_size=1, max_size=4).map(dict)


def list_exceptions(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [
        record.getMessage()
        for record in caplog.records
        if record.exc_info or record.levelno >= logging.ERROR
    ]


@PROPERTY
@given(
    headers=draw_headers(UPSTREAM_HEADERS),
    path=st.sampled_from(["/lookup/a", "/reserve/a", "/draft/a", "/quote/a"]),
)
async def test_whole_answer_arrives_whole_whatever_figures_it_carries(
    world: ForwardingWorld,
    session: Session,
    caplog: pytest.LogCaptureFixture,
    headers: dict[str, str],
    path: str,
) -> None:
    """Guards against an answer that ran and fails for a header beside its body."""
    streams = path in {"/draft/a", "/quote/a"}
    if streams:
        headers.pop("Content-Type", None)
    # An upstream that leaves gets no more requests.
    leaves = headers.get("Server-Leaving") == "1"
    runners = world.models if streams else world.records
    for runner in runners:
        runner.more_headers = {} if leaves else headers
    status, body, _ = await world.async_call(
        session, "POST", path, "r1", extra=PROMPT if streams else None
    )
    assert status == 200
    if streams:
        assert body.count(b"\n\n") == runners[0].events
    else:
        assert body.endswith(f" {path}".encode())
    assert list_exceptions(caplog) == []


@PROPERTY
@given(
    headers=draw_headers(CALLER_HEADERS),
    path=st.sampled_from(["/lookup/a", "/quote/a"]),
)
async def test_no_figure_of_a_caller_gets_a_500(
    world: ForwardingWorld,
    session: Session,
    caplog: pytest.LogCaptureFixture,
    headers: dict[str, str],
    path: str,
) -> None:
    """Guards against a request that ends with an unexpected exception for one of its headers."""
    extra = (PROMPT if path == "/quote/a" else {}) | headers
    status, _, _ = await world.async_call(session, "POST", path, "r1", extra=extra)
    assert status in {200, 400, 503, 504}
    assert list_exceptions(caplog) == []
