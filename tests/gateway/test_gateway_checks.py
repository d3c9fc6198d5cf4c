from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from aiohttp import hdrs
from gateway_fakes import CHAT, ENGINES, FIELDS, HANG_S, KEY, RECORDS, Router, whole
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gypsumrouter import const
from gypsumrouter.settings import Limits

MESSAGE = {"role": "user", "content": "hello"}
WRONG_BODIES: list[tuple[Any, str, int]] = [
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
WRONG_HEADERS = [
    ("X-Gypsum-Class", "nobody", 400),
    ("X-Gypsum-Deadline-Ms", "soon", 400),
    ("X-Gypsum-Deadline-Ms", "0", 400),
    ("X-Gypsum-Chat", "x" * 300, 400),
    ("Idempotency-Key", "x" * 300, 400),
    ("Content-Encoding", "gzip", 415),
    ("X-Long", "x" * 9_000, 431),
]


def assert_is_error(body: Any, param: str | None) -> None:
    assert set(body["error"]) == set(FIELDS)
    assert body["error"]["param"] == param
    assert body["error"]["executed"] == "not_run"


@pytest.mark.parametrize(("document", "param", "status"), WRONG_BODIES)
async def test_wrong_body_is_refused_by_the_name_of_its_field(
    router: Router, document: Any, param: str, status: int
) -> None:
    answer, body = await router.async_post("/v1/chat/completions", json=document)
    assert answer.status == status
    assert_is_error(body, param)
    assert answer.headers["X-Request-Id"] == body["error"]["request_id"]
    assert router.links.opened == []


@pytest.mark.parametrize(("name", "value", "status"), WRONG_HEADERS)
async def test_wrong_header_is_refused_by_its_name(
    router: Router, name: str, value: str, status: int
) -> None:
    headers = {name: value, "X-Long-Too": "x" * 8_000} if status == 431 else {name: value}
    data = json.dumps(CHAT).encode()
    answer, body = await router.async_post("/v1/chat/completions", data=data, headers=headers)
    assert answer.status == status
    assert_is_error(body, "head" if status == 431 else name)


@pytest.mark.parametrize(
    "given_key", ["", "Bearer", "Bearer wrong", f"Basic {KEY}", "Bearer \u017d"]
)
async def test_unknown_key_is_refused(router: Router, given_key: str) -> None:
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
async def test_wrong_path_is_refused(router: Router, path: str, status: int, param: str) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    assert answer.startswith(f"HTTP/1.1 {status}".encode())
    assert_is_error(json.loads(answer.split(b"\r\n\r\n")[1]), param)


@pytest.mark.parametrize("limits", [Limits(caller_idle_ms=200, max_streams=1)])
async def test_caller_that_does_not_send_its_body_is_told_and_blocks_others_only_until_then(
    router: Router,
) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    head = f"POST /services/records/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: 9\r\nConnection: close\r\n\r\nhalf".encode())
    await router.async_wait_until(lambda: router.gateway.running == 1)
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (503, "queue_full")
    told = await reader.read()
    writer.close()
    assert told.startswith(b"HTTP/1.1 408")
    assert_is_error(json.loads(told.split(b"\r\n\r\n")[1]), "body")


@pytest.mark.parametrize("limits", [Limits(caller_idle_ms=100)])
async def test_connection_that_never_sends_its_head_is_closed(router: Router) -> None:
    reader, writer = await asyncio.open_connection(router.address.host, router.address.port)
    writer.write(b"GET /v1/models HTTP/1.1\r\nHost")
    async with asyncio.timeout(HANG_S):
        assert await reader.read() == b""
    writer.close()


async def test_same_chat_keeps_its_name_through_its_turns_and_another_has_another(
    router: Router,
) -> None:
    router.links.script(ENGINES[0], with_=whole(b"{}"))
    later = [MESSAGE, {"role": "assistant", "content": "yes?"}, {"role": "user", "content": "b"}]
    other = [{"role": "user", "content": "another"}]
    for messages in ([MESSAGE], later, other):
        await router.async_post("/v1/chat/completions", json={**CHAT, "messages": messages})
    first, second, third = router.placement.queries
    assert first.chat == second.chat != third.chat
    assert [first.returning, second.returning, third.returning] == [False, True, False]


async def test_own_chat_id_and_hint_reach_placement(router: Router) -> None:
    router.links.script(ENGINES[0], with_=whole(b"{}"))
    headers = {"X-Gypsum-Chat": "chat-7", "X-Gypsum-Placement": "hint-engine-3"}
    await router.async_chat(headers=headers)
    query = router.placement.queries[0]
    assert (query.chat, query.hint, query.returning) == ("chat-7", "hint-engine-3", True)


async def async_send_raw(router: Router, data: bytes) -> bytes:
    """Return all that comes back; never waits for longer than a hang would take."""
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
OWN_NAMES = [value for name, value in vars(const).items() if name.startswith("HEADER_")]
HTTP_NAMES = [hdrs.CONNECTION, hdrs.EXPECT, hdrs.UPGRADE, hdrs.TRANSFER_ENCODING, "Content-Length"]


@FUZZ
@given(
    changes=st.dictionaries(st.sampled_from(FIELD_NAMES), JSON, max_size=3),
    nonsense=st.none() | st.binary(max_size=30),
)
async def test_any_body_gets_its_answer_or_a_clear_error(
    router: Router, changes: dict[str, Any], nonsense: bytes | None
) -> None:
    router.links.script(*ENGINES, with_=whole(b"{}"))
    data = nonsense if nonsense is not None else json.dumps({**CHAT, **changes}).encode()
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
            st.sampled_from(OWN_NAMES + HTTP_NAMES) | st.text(max_size=5),
            st.binary(max_size=20).map(lambda raw: raw.decode("latin-1"))
            | st.sampled_from(["chunked", "100-continue", "close", "websocket", "3"]),
        ),
        max_size=4,
    ),
    body=st.binary(max_size=30),
)
async def test_any_bytes_get_http_with_json_errors_and_no_fault(
    router: Router, method: str, path: str, headers: list[tuple[str, str]], body: bytes
) -> None:
    router.links.script(*RECORDS, with_=whole(b"{}"))
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
