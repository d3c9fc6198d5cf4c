"""Truncated packed messages must be rejected before the Cap'n Proto library decodes them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.link import RouterLoad, RouterUpdate
from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.notice_codec import decode_notice, encode_notice

# The segment table declares more words than follow; the library aborts the process on this.
TRUNCATED = bytes.fromhex(
    "010303840322112162000011451f115517116117112a111d1711651f110d0eff31302e302e302e3100073a38"
    "300f64632d6111012207692d3341040211056211092aff31302e302e302e3200073a38300f64632d61510402"
    "01010303840311012207692d3151040101801011012207692d3151040101808011012207692d325104020101"
    "07010111012a0f64632d61"
)


def make_update(loads: int) -> RouterUpdate:
    return RouterUpdate(
        address="10.0.0.1:80",
        routers=(),
        routing_version=3,
        list_revision=900,
        loads=tuple(
            RouterLoad(upstream=f"i-{number}", running=number, pending_tokens=number * 997)
            for number in range(loads)
        ),
    )


def test_truncated_packed_message_raises_frame_error() -> None:
    with pytest.raises(FrameError):
        decode_notice(Kind.ROUTER_NEWS, TRUNCATED)


@pytest.mark.parametrize("loads", [0, 1, 40, 930])
def test_packed_messages_with_one_or_more_segments_are_decoded(loads: int) -> None:
    update = make_update(loads)
    kind, body = encode_notice(update)
    assert decode_notice(kind, body) == update


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=64))
def test_random_bytes_are_decoded_or_raise_frame_error(body: bytes) -> None:
    try:
        decode_notice(Kind.ROUTER_NEWS, body)
    except FrameError:
        return
