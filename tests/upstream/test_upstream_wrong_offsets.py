"""Engines that resume a stream at another byte than the one that they are asked for."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from test_upstream_cut_answers import ServeScript, frame, serve_script
from upstream_fakes import Caller, make_chat

from gypsumrouter.const import UpstreamKind
from gypsumrouter.outcomes import Failed, Reason

__all__ = ["serve_script"]

LINES = b"Content-Type: text/event-stream\r\n"
EVENTS = [b'data: {"n": %d, "text": "%d"}\n\n' % (n, n * n) for n in range(80)]
DONE = b"data: [DONE]\n\n"
BODY = b"".join(EVENTS) + DONE
CUT = len(b"".join(EVENTS[:41]))

# From which byte on an engine sends the body, by the one that it is asked for.
WRONG: dict[str, Callable[[int], int]] = {
    "begins anew": lambda _offset: 0,
    "repeats the last event": lambda offset: offset - len(EVENTS[40]),
    "leaves one out": lambda offset: offset + len(EVENTS[41]),
    "repeats a byte": lambda offset: offset - 1,
    "leaves a byte out": lambda offset: offset + 1,
    "has only the end": lambda _offset: len(BODY) - len(DONE),
}


async def async_run(
    serve_script: ServeScript, wrong: str | None, cut: int
) -> tuple[object, bytes, list[str]]:
    """Return the failure, the body, and the targets that resumed it."""
    resumed: list[str] = []
    whole = frame(BODY, "chunked", lines=LINES)

    def write(target: str) -> bytes:
        if "/resume" not in target:
            return whole[: whole.index(BODY) + cut]
        resumed.append(target)
        asked = int(target.rpartition("=")[2])
        at = asked if wrong is None else WRONG[wrong](asked)
        return frame(BODY[at:], "chunked", lines=LINES)

    client = await serve_script(write, UpstreamKind.ENGINE, False)
    caller = Caller(client=client)
    failure = await caller.async_run(make_chat())
    return failure, caller.answer.body, resumed


# Guards against a stream that is joined from two parts, of which the second one does not go on
# where the first one ended.
@pytest.mark.parametrize("wrong", WRONG)
async def test_engine_that_resumes_at_another_byte_was_joined_and_counted_as_whole(
    serve_script: ServeScript, wrong: str
) -> None:
    failure, body, resumed = await async_run(serve_script, wrong, CUT)
    assert resumed
    assert isinstance(failure, Failed)
    assert failure.reason is Reason.UPSTREAM_PROTOCOL
    assert body == BODY[:CUT]


# Guards against a check that refuses a stream which goes on.
@pytest.mark.parametrize("cut", [0, 1, 31, 32, 511, 512, 513, CUT, CUT + 5, len(BODY) - 1])
async def test_engine_that_resumes_where_it_is_asked_to_goes_on(
    serve_script: ServeScript, cut: int
) -> None:
    failure, body, resumed = await async_run(serve_script, None, cut)
    assert resumed
    assert (failure, body) == (None, BODY)
