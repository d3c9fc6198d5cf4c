"""JSON answers without framing whose document is a number, of which more may have followed."""

from __future__ import annotations

import pytest
from upstream_fakes import Serve, make_call

from gypsumrouter.const import UpstreamKind
from gypsumrouter.outcomes import Failed, Reason

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


# Guards against the beginning of a number that is passed on as a whole answer.
@pytest.mark.parametrize("document", [b"12", b" -3", b"0"])
async def test_cut_number_without_framing_counted_as_whole(serve: Serve, document: bytes) -> None:
    caller = await serve(HEAD + b"Connection: close\r\n\r\n" + document, UpstreamKind.SERVICE)
    failure = await caller.async_run(make_call())
    assert isinstance(failure, Failed)
    assert failure.reason is Reason.UPSTREAM_PROTOCOL


@pytest.mark.parametrize("document", [b'{"a": 12}', b"[12]", b'"12"', b"true", b" null\n"])
async def test_document_whose_end_shows_is_whole_without_framing(
    serve: Serve, document: bytes
) -> None:
    caller = await serve(HEAD + b"Connection: close\r\n\r\n" + document, UpstreamKind.SERVICE)
    assert await caller.async_run(make_call()) is None
    assert caller.answer.body == document


async def test_number_with_a_length_is_whole(serve: Serve) -> None:
    caller = await serve(HEAD + b"Content-Length: 2\r\n\r\n12", UpstreamKind.SERVICE)
    assert await caller.async_run(make_call()) is None
