"""Message fields that placement and admission depend on are encoded and decoded unchanged."""

from __future__ import annotations

from gypsumrouter.const import UpstreamKind
from gypsumrouter.link import PrefixAnnouncement
from gypsumrouter.link.codec import decode_open, encode_open
from gypsumrouter.link.models import Open, Status
from gypsumrouter.link.notice_codec import decode_notice, encode_notice


def test_prefix_holders_keep_their_order() -> None:
    request = Open(
        sequence=3,
        request_id="request-1",
        kind=UpstreamKind.ENGINE,
        pool="models",
        workspace="utility",
        caller_class="inspectors",
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"{}",
        stream=True,
        deadline_ms=30_000,
        waited_ms=0,
        digest=1,
        holders=("engine-2", "engine-1", "engine-9"),
    )
    assert decode_open(encode_open(request), 3) == request


def test_status_includes_queued_batch_requests() -> None:
    status = Status(load=3, running=2, weight=1.0, leaving=False, ready=True, batch_waiting=70_000)
    kind, body = encode_notice(status)
    assert decode_notice(kind, body) == status


def test_prefix_announcement_has_at_most_24_bytes() -> None:
    announcement = PrefixAnnouncement(chat=2**64 - 1, prompt_bytes=100_000)
    kind, body = encode_notice(announcement)
    assert decode_notice(kind, body) == announcement
    assert len(body) <= 24
