"""Applications beside a side whose answers have a status that HTTP doesn't know."""

from __future__ import annotations

import pytest
from upstream_fakes import Serve, make_call

from gypsumrouter.const import UpstreamKind
from gypsumrouter.outcomes import Failed, Reason


# Guards against an answer that is passed on though its status is none.
@pytest.mark.parametrize("status", [b"000 OK", b"000", b"099 Odd", b"600 Odd", b"999 Odd"])
async def test_answer_with_an_invalid_status_is_relayed(serve: Serve, status: bytes) -> None:
    answer = b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\n12"
    caller = await serve(answer, UpstreamKind.SERVICE)
    failure = await caller.async_run(make_call())
    assert isinstance(failure, Failed)
    assert failure.reason is Reason.UPSTREAM_PROTOCOL
    assert caller.answer.heads == []
