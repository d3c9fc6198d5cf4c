"""Service client under connection faults, crashes and invalid responses."""

from __future__ import annotations

import asyncio
import json

import pytest
from upstream_fakes import Caller, Serve, async_until, make_call

from gypsumrouter.const import UpstreamKind
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.standins import FaultProxy, Service


async def test_call_is_forwarded_unchanged(service_caller: Caller, service: Service) -> None:
    call = make_call(key="key-1", headers=(("X-Standin-Delay-Ms", "1"), ("Connection", "X-Hop")))

    outcome = await service_caller.async_run(call)

    assert outcome is None
    answer = json.loads(service_caller.answer.body)
    assert (answer["method"], answer["path"], answer["key"]) == ("POST", "/orders?size=4", "key-1")
    assert service.executions_by_request == {"call-1": 1}


async def test_head_response_has_no_body(service_caller: Caller) -> None:
    assert await service_caller.async_run(make_call(method="HEAD")) is None
    assert service_caller.answer.heads[0].status == 200
    assert service_caller.answer.body == b""


async def test_refused_connection_returns_refusal(
    service_caller: Caller, service_proxy: FaultProxy
) -> None:
    service_proxy.refuse_connections()

    outcome = await service_caller.async_run(make_call(key="key-1"))

    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.UNREACHABLE
    assert service_caller.handed_over == 0


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
@pytest.mark.parametrize("key", ["", "key-1"])
async def test_connection_cut_before_head_fails_without_retry(
    service_caller: Caller,
    service_proxy: FaultProxy,
    service: Service,
    key: str,
    method: str,
) -> None:
    service.delay_ms = 60_000
    run = asyncio.ensure_future(service_caller.async_run(make_call(key=key, method=method)))
    await async_until(lambda: bool(service.executions))
    service_proxy.reset_connections()

    outcome = await run

    assert isinstance(outcome, Failed)
    assert outcome.reason is Reason.UPSTREAM_LOST
    assert len(service.executions) == 1


async def test_idle_connection_of_call_without_key_is_hedged(
    service_caller: Caller, service_proxy: FaultProxy, service: Service
) -> None:
    service.delay_ms = 100
    run = asyncio.ensure_future(service_caller.async_run(make_call()))
    await async_until(lambda: bool(service.executions))
    service_proxy.blackhole()

    assert await run is None
    assert len(service_caller.answer.heads) == 1
    assert len(service.executions) == 2


async def test_slow_call_with_key_is_not_sent_again(
    service_caller: Caller, service: Service
) -> None:
    service.delay_ms = 1_000

    assert await service_caller.async_run(make_call(key="key-1")) is None
    assert len(service.executions) == 1


async def test_frozen_service_returns_failure(service_caller: Caller, service: Service) -> None:
    service.freeze()

    outcome = await service_caller.async_run(make_call(key="key-1"))

    assert isinstance(outcome, Failed)
    assert outcome.reason is Reason.UPSTREAM_TIMEOUT


async def test_crash_is_reported_and_returns_failure(
    service_caller: Caller, service: Service
) -> None:
    crashes: list[bool] = []
    service_caller.client.on_crash(lambda: crashes.append(True))
    service.delay_ms = 60_000
    run = asyncio.ensure_future(service_caller.async_run(make_call(key="key-1")))
    await async_until(lambda: bool(service.executions))
    service.crash()

    assert isinstance(await run, Failed)
    assert crashes == [True]
    assert not service_caller.client.up


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", Reason.UPSTREAM_LOST),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            Reason.UPSTREAM_LOST,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nnobody knows how long", Reason.UPSTREAM_PROTOCOL),
        (
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"metres": 1',
            Reason.UPSTREAM_PROTOCOL,
        ),
        (b"HTTP/1.1 200", Reason.UPSTREAM_LOST),
        (b"no http at all\r\n\r\n", Reason.UPSTREAM_LOST),
        (b"", Reason.UPSTREAM_LOST),
    ],
)
async def test_incomplete_response_returns_failure(
    serve: Serve, answer: bytes, reason: Reason
) -> None:
    caller = await serve(answer, UpstreamKind.SERVICE)

    outcome = await caller.async_run(make_call())

    assert isinstance(outcome, Failed)
    assert outcome.reason is reason


async def test_event_stream_that_ends_inside_an_event_never_looks_complete(serve: Serve) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 13\r\n\r\n"
    caller = await serve(head + b"data: a\n\ndata", UpstreamKind.SERVICE)

    outcome = await caller.async_run(make_call())

    assert isinstance(outcome, Failed)
    assert outcome.reason is Reason.UPSTREAM_PROTOCOL


async def test_json_response_without_a_length_is_complete_if_its_document_is(serve: Serve) -> None:
    caller = await serve(
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"metres": 12}',
        UpstreamKind.SERVICE,
    )

    assert await caller.async_run(make_call()) is None
    assert caller.answer.body == b'{"metres": 12}'


async def test_redirect_is_relayed_and_not_followed(serve: Serve) -> None:
    caller = await serve(
        b"HTTP/1.1 307 Temporary\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
        UpstreamKind.SERVICE,
    )

    assert await caller.async_run(make_call()) is None
    assert caller.answer.heads[0].status == 307


async def test_compressed_response_is_relayed_unchanged(serve: Serve) -> None:
    caller = await serve(
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8b\x08\x00",
        UpstreamKind.SERVICE,
    )

    assert await caller.async_run(make_call()) is None
    assert caller.answer.body == b"\x1f\x8b\x08\x00"


async def test_upstream_is_down_after_three_failed_polls_and_up_again(
    service_caller: Caller, service: Service, service_proxy: FaultProxy
) -> None:
    changes: asyncio.Queue[bool] = asyncio.Queue()
    service_caller.client.on_up(changes.put_nowait)
    service_proxy.refuse_connections()
    async with asyncio.timeout(10):
        assert await changes.get() is False
    await service_proxy.async_accept_connections()
    async with asyncio.timeout(10):
        assert await changes.get() is True
