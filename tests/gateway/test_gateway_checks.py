"""Validation of requests: invalid ones are rejected with a JSON error and never dispatched."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from aiohttp import hdrs
from gateway_fakes import (
    CHAT,
    ENGINES,
    ERROR_FIELDS,
    KEY,
    RECORDS,
    TIMEOUT_S,
    RouterHarness,
    complete_answer,
)
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gypsumrouter import const
from gypsumrouter.settings import Limits

MESSAGE = {"role": "user", "content": "hello"}
INVALID_BODIES: list[tuple[Any, str, int]] = [
    ([], "body", 400),
    ({}, "model", 400),
    ({**CHAT, "model": 7}, "model", 400),
    ({**CHAT, "model": "unknown"}, "model", 404),
    ({**CHAT, "messages": []}, "messages", 400),
    ({**CHAT, "messages": [MESSAGE, "hello"]}, "messages[1]", 400),
    ({**CHAT, "messages": [{"content": "a"}]}, "messages[0].role", 400),
    ({**CHAT, "messages": [{"role": "user"}]}, "messages[0].content", 400),
    ({**CHAT, "stream": "yes"}, "stream", 400),
    ({**CHAT, "max_tokens": 0}, "max_tokens", 400),
    ({**CHAT, "max_tokens": 10**30}, "max_tokens", 400),
    ({**CHAT, "max_completion_tokens": True}, "max_completion_tokens", 400),
    ({**CHAT, "metadata": {"chat_id": "\u017d"}}, "metadata.chat_id", 400),
    ({**CHAT, "padding": "x" * 70_000}, "body", 413),
]
INVALID_HEADERS = [
    ("X-Gypsum-Class", "nobody", 400),
    ("X-Gypsum-Deadline-Ms", "soon", 400),
    ("X-Gypsum-Deadline-Ms", "0", 400),
    ("X-Gypsum-Chat", "x" * 300, 400),
    ("Idempotency-Key", "x" * 300, 400),
    ("Content-Encoding", "gzip", 415),
    ("X-Long", "x" * 9_000, 431),
]


def assert_is_error(body: Any, param: str | None) -> None:
    assert set(body["error"]) == set(ERROR_FIELDS)
    assert body["error"]["param"] == param
    assert body["error"]["executed"] == "not_run"


@pytest.mark.parametrize(("document", "param", "status"), INVALID_BODIES)
async def test_invalid_body_is_rejected_with_the_field_name(
    router: RouterHarness, document: Any, param: str, status: int
) -> None:
    answer, body = await router.async_post("/v1/chat/completions", json=document)
    assert answer.status == status
    assert_is_error(body, param)
    assert answer.headers["X-Request-Id"] == body["error"]["request_id"]
    assert router.links.opened == []


@pytest.mark.parametrize(("name", "value", "status"), INVALID_HEADERS)
async def test_invalid_header_is_rejected_with_the_header_name(
    router: RouterHarness, name: str, value: str, status: int
) -> None:
    headers = {name: value, "X-Long-Too": "x" * 8_000} if status == 431 else {name: value}
    data = json.dumps(CHAT).encode()
    answer, body = await router.async_post("/v1/chat/completions", data=data, headers=headers)
    assert answer.status == status
    assert_is_error(body, "head" if status == 431 else name)


@pytest.mark.parametrize(
    "given_key", ["", "Bearer", "Bearer wrong", f"Basic {KEY}", "Bearer \u017d"]
)
async def test_invalid_api_key_is_rejected(router: RouterHarness, given_key: str) -> None:
    answer, body = await router.async_chat(headers={"Authorization": given_key})
    assert answer.status == 401
    assert_is_error(body, "Authorization")


@pytest.mark.parametrize(
    ("path", "status", "param"),
    [
        ("/v1/models", 405, "method"),
        ("/v2", 404, "path"),
        ("/services/nothing/a", 404, "service"),
        ("/services/engines/a", 404, "service"),
        ("/services/records/a//b", 400, "path"),
        ("/services/records/a/%2e%2e/b", 400, "path"),
        ("/services/records/%ff", 400, "path"),
    ],
)
async def test_invalid_path_is_rejected(
    router: RouterHarness, path: str, status: int, param: str
) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    assert answer.startswith(f"HTTP/1.1 {status}".encode())
    assert_is_error(json.loads(answer.split(b"\r\n\r\n")[1]), param)


@pytest.mark.parametrize("limits", [Limits(caller_idle_ms=200, max_streams=1)])
async def test_incomplete_body_occupies_its_stream_until_it_is_answered_with_408(
    router: RouterHarness,
) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    head = f"POST /services/records/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: 9\r\nConnection: close\r\n\r\nhalf".encode())
    await router.async_wait_until(lambda: router.gateway.running == 1)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (503, "queue_full")
    timed_out = await reader.read()
    writer.close()
    assert timed_out.startswith(b"HTTP/1.1 408")
    assert_is_error(json.loads(timed_out.split(b"\r\n\r\n")[1]), "body")


@pytest.mark.parametrize("limits", [Limits(caller_idle_ms=100)])
async def test_connection_with_an_incomplete_head_is_closed(router: RouterHarness) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    writer.write(b"GET /v1/models HTTP/1.1\r\nHost")
    async with asyncio.timeout(TIMEOUT_S):
        assert await reader.read() == b""
    writer.close()


async def test_derived_chat_id_is_stable_within_a_conversation_and_differs_between_them(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=complete_answer(b"{}"))
    later = [MESSAGE, {"role": "assistant", "content": "yes?"}, {"role": "user", "content": "b"}]
    other = [{"role": "user", "content": "another"}]
    for messages in ([MESSAGE], later, other):
        await router.async_post("/v1/chat/completions", json={**CHAT, "messages": messages})
    first, second, third = router.placement.queries
    assert first.chat == second.chat != third.chat
    assert [first.returning, second.returning, third.returning] == [False, True, False]


async def test_chat_id_and_hint_headers_reach_placement(router: RouterHarness) -> None:
    router.links.script(ENGINES[0], with_=complete_answer(b"{}"))
    headers = {"X-Gypsum-Chat": "chat-7", "X-Gypsum-Placement": "hint-engine-3"}
    await router.async_chat(headers=headers)
    query = router.placement.queries[0]
    assert (query.chat, query.hint, query.returning) == ("chat-7", "hint-engine-3", True)


async def async_send_raw(router: RouterHarness, data: bytes) -> bytes:
    """Send raw bytes and return all bytes received, with a timeout of 10 s."""
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    try:
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(10):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
FIELD_NAMES = ("model", "messages", "stream", "max_tokens", "metadata", "user")
ROUTER_HEADERS = [value for name, value in vars(const).items() if name.startswith("HEADER_")]
HTTP_HEADERS = [
    hdrs.CONNECTION,
    hdrs.EXPECT,
    hdrs.UPGRADE,
    hdrs.TRANSFER_ENCODING,
    "Content-Length",
]


@FUZZ
@given(
    changes=st.dictionaries(st.sampled_from(FIELD_NAMES), JSON, max_size=3),
    raw_body=st.none() | st.binary(max_size=30),
)
async def test_arbitrary_body_gets_an_answer_or_a_validation_error(
    router: RouterHarness, changes: dict[str, Any], raw_body: bytes | None
) -> None:
    router.links.script(*ENGINES, with_=complete_answer(b"{}"))
    data = raw_body if raw_body is not None else json.dumps({**CHAT, **changes}).encode()
    answer, body = await router.async_post("/v1/chat/completions", data=data)
    if answer.status != 200:
        assert answer.status in (400, 404)
        assert_is_error(body, body["error"]["param"])
        assert body["error"]["param"]


@FUZZ
@given(
    method=st.sampled_from(["GET", "POST", "DELETE", "post", "M-X", "CONNECT", "PRI", "", "\0"]),
    path=st.sampled_from(
        ["/services/records/a", "/v1/models", "*", "/services/records", "http://a/v1/models", "a:1"]
    )
    | st.binary(max_size=20).map(lambda raw: "/services/records/" + raw.decode("latin-1")),
    headers=st.lists(
        st.tuples(
            st.sampled_from(ROUTER_HEADERS + HTTP_HEADERS) | st.text(max_size=5),
            st.binary(max_size=20).map(lambda raw: raw.decode("latin-1"))
            | st.sampled_from(["chunked", "100-continue", "close", "websocket", "3"]),
        ),
        max_size=4,
    ),
    body=st.binary(max_size=30),
)
async def test_arbitrary_request_gets_a_json_error_and_never_status_500(
    router: RouterHarness, method: str, path: str, headers: list[tuple[str, str]], body: bytes
) -> None:
    router.links.script(*RECORDS, with_=complete_answer(b"{}"))
    lines = [f"{method} {path} HTTP/1.1", "Host: a", f"Authorization: Bearer {KEY}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    answer = await async_send_raw(router, head + body)
    if not answer:
        return
    answer = answer.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    head_lines, _, rest = answer.partition(b"\r\n\r\n")
    status = int(head_lines.split()[1])
    assert status != 500
    if status >= 400 and b"Content-Length" in head_lines and method != "HEAD":
        error, _ = json.JSONDecoder().raw_decode(rest.decode())
        assert_is_error(error, error["error"]["param"])
