"""What placement and admission need crosses a link unchanged."""

from __future__ import annotations

from gypsumrouter.const import UpstreamKind
from gypsumrouter.link import PrefixAnnouncement
from gypsumrouter.link.codec import decode_open, encode_open
from gypsumrouter.link.models import Open, Status
from gypsumrouter.link.notice_codec import decode_notice, encode_notice


def test_the_holders_of_a_prefix_cross_in_their_order() -> None:
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


def test_waiting_batch_work_crosses_in_a_status() -> None:
    status = Status(load=3, running=2, weight=1.0, leaving=False, ready=True, batch_waiting=70_000)
    kind, body = encode_notice(status)
    assert decode_notice(kind, body) == status


def test_news_of_a_prefix_are_small() -> None:
    news = PrefixAnnouncement(chat=2**64 - 1, prompt_bytes=100_000)
    kind, body = encode_notice(news)
    assert decode_notice(kind, body) == news
    assert len(body) <= 24
