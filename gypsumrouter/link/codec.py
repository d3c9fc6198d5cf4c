"""Encodes and decodes the bodies of handshake and exchange frames as Cap'n Proto messages."""

from __future__ import annotations

from typing import Any, Final

from msgspec import Struct

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.link.const import Kind
from gypsumrouter.link.models import End, Head, Headers, Hello, Open
from gypsumrouter.link.schema import SCHEMA, open_message, read_pool_load, set_pool_load, to_bytes
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

_NO_RETRY: Final = -1


class Greeting(Struct, frozen=True, kw_only=True):
    """Content of a HELLO frame: the sender's identity, the number of the link, and a nonce.

    `attempt` increases with each link that an incarnation of a dialer opens. `window_bytes` is the
    maximum number of unconfirmed bytes of an answer that this end allows.
    """

    version: int
    hello: Hello
    attempt: int
    nonce: bytes
    window_bytes: int


class Resume(Struct, frozen=True, kw_only=True):
    """Requests an answer from byte `offset` on; `age_ms` is the time since its OPEN was sent."""

    offset: int
    has_head: bool
    age_ms: int


def encode_greeting(greeting: Greeting) -> bytes:
    """Encode the body of a HELLO frame."""
    return to_bytes(
        SCHEMA.Hello.new_message(
            version=greeting.version,
            name=greeting.hello.name,
            role=greeting.hello.role.value,
            incarnation=greeting.hello.incarnation,
            attempt=greeting.attempt,
            nonce=greeting.nonce,
            windowBytes=greeting.window_bytes,
        )
    )


def decode_greeting(body: bytes) -> Greeting:
    """Decode the body of a HELLO frame; raises FrameError."""
    with open_message(SCHEMA.Hello, body) as message:
        hello = Hello(name=message.name, role=Role(message.role), incarnation=message.incarnation)
        return Greeting(
            version=message.version,
            hello=hello,
            attempt=message.attempt,
            nonce=bytes(message.nonce),
            window_bytes=message.windowBytes,
        )


def encode_proof(mac: bytes) -> bytes:
    """Encode the body of a PROOF frame."""
    return to_bytes(SCHEMA.Proof.new_message(mac=mac))


def decode_proof(body: bytes) -> bytes:
    """Decode the authentication code of a PROOF frame; raises FrameError."""
    with open_message(SCHEMA.Proof, body) as message:
        return bytes(message.mac)


def encode_goodbye(text: str) -> bytes:
    """Encode the body of a GOODBYE frame."""
    return to_bytes(SCHEMA.Goodbye.new_message(message=text))


def decode_goodbye(body: bytes) -> str:
    """Decode the reason in a GOODBYE frame; raises FrameError."""
    with open_message(SCHEMA.Goodbye, body) as message:
        return str(message.message)


def encode_open(request: Open) -> bytes:
    """Encode the body of an OPEN frame; the sequence is sent in the frame's header."""
    message = SCHEMA.Open.new_message(
        requestId=request.request_id,
        kind=request.kind.value,
        pool=request.pool,
        workspace=request.workspace,
        callerClass=request.caller_class,
        method=request.method,
        path=request.path,
        headers=_list_headers(request.headers),
        body=request.body,
        stream=request.stream,
        deadlineMs=request.deadline_ms,
        waitedMs=request.waited_ms,
        digest=request.digest,
        model=request.model,
        chat=request.chat,
        returning=request.returning,
        idempotencyKey=request.idempotency_key,
        attempt=request.attempt,
        promptBytes=request.prompt_bytes,
        maxOutputTokens=request.max_output_tokens,
        configurationVersion=request.configuration_version,
        holders=list(request.holders),
        parts=list(request.parts),
    )
    set_pool_load(message, request.pool_load)
    return to_bytes(message)


def decode_open(body: bytes, sequence: int) -> Open:
    """Decode the body of an OPEN frame; raises FrameError."""
    with open_message(SCHEMA.Open, body) as message:
        return Open(
            sequence=sequence,
            request_id=message.requestId,
            kind=UpstreamKind(message.kind),
            pool=message.pool,
            workspace=message.workspace,
            caller_class=message.callerClass,
            method=message.method,
            path=message.path,
            headers=_read_headers(message.headers),
            body=bytes(message.body),
            stream=message.stream,
            deadline_ms=message.deadlineMs,
            waited_ms=message.waitedMs,
            digest=message.digest,
            model=message.model,
            chat=message.chat,
            returning=message.returning,
            idempotency_key=message.idempotencyKey,
            attempt=message.attempt,
            prompt_bytes=message.promptBytes,
            max_output_tokens=message.maxOutputTokens,
            configuration_version=message.configurationVersion,
            pool_load=read_pool_load(message),
            holders=tuple(message.holders),
            parts=tuple(message.parts),
        )


def encode_head(head: Head) -> bytes:
    """Encode the body of a HEAD frame."""
    return to_bytes(
        SCHEMA.Head.new_message(
            status=head.status, headers=_list_headers(head.headers), replayed=head.replayed
        )
    )


def decode_head(body: bytes) -> Head:
    """Decode the body of a HEAD frame; raises FrameError."""
    with open_message(SCHEMA.Head, body) as message:
        return Head(
            status=message.status,
            headers=_read_headers(message.headers),
            replayed=message.replayed,
        )


def encode_end(end: End) -> bytes:
    """Encode the body of an END frame."""
    return to_bytes(SCHEMA.End.new_message(length=end.length, checksum=end.checksum))


def decode_end(body: bytes) -> End:
    """Decode the body of an END frame; raises FrameError."""
    with open_message(SCHEMA.End, body) as message:
        return End(length=message.length, checksum=message.checksum)


def encode_failure(failure: Failure) -> tuple[Kind, bytes]:
    """Encode a failure; return the kind and the body of its REFUSED or FAILED frame."""
    message = SCHEMA.Failure.new_message(
        reason=failure.reason.value,
        message=failure.message,
        retryAfterMs=_NO_RETRY if failure.retry_after_ms is None else failure.retry_after_ms,
    )
    match failure:
        case Refused():
            message.elsewhere = failure.elsewhere
            return Kind.REFUSED, to_bytes(message)
        case Failed():
            return Kind.FAILED, to_bytes(message)


def decode_failure(kind: int, body: bytes) -> Failure:
    """Decode the body of a REFUSED or FAILED frame; raises FrameError."""
    with open_message(SCHEMA.Failure, body) as message:
        reason = _read_reason(kind, message.reason)
        after = message.retryAfterMs
        retry_after_ms = None if after == _NO_RETRY else after
        if kind == Kind.FAILED:
            return Failed(reason=reason, message=message.message, retry_after_ms=retry_after_ms)
        return Refused(
            reason=reason,
            message=message.message,
            retry_after_ms=retry_after_ms,
            elsewhere=message.elsewhere,
        )


def encode_confirm(offset: int) -> bytes:
    """Encode the body of a CONFIRM frame."""
    return to_bytes(SCHEMA.Confirm.new_message(offset=offset))


def decode_confirm(body: bytes) -> int:
    """Decode the offset in a CONFIRM frame; raises FrameError."""
    with open_message(SCHEMA.Confirm, body) as message:
        return int(message.offset)


def encode_resume(resume: Resume) -> bytes:
    """Encode the body of a RESUME frame."""
    return to_bytes(
        SCHEMA.Resume.new_message(
            offset=resume.offset, hasHead=resume.has_head, ageMs=resume.age_ms
        )
    )


def decode_resume(body: bytes) -> Resume:
    """Decode the body of a RESUME frame; raises FrameError."""
    with open_message(SCHEMA.Resume, body) as message:
        return Resume(offset=message.offset, has_head=message.hasHead, age_ms=message.ageMs)


def _list_headers(headers: Headers) -> list[dict[str, str | bytes]]:
    return [_make_header(name, value) for name, value in headers]


def _make_header(name: str, value: str) -> dict[str, str | bytes]:
    if value.isascii():
        return {"name": name, "value": value}
    raw = value.encode("utf-8", "surrogateescape")
    text = raw.decode(errors="ignore")
    if text == value:
        return {"name": name, "value": value}
    return {"name": name, "value": text, "raw": raw}


def _read_headers(headers: Any) -> Headers:
    return tuple((header.name, _read_value(header)) for header in headers)


def _read_value(header: Any) -> str:
    raw: bytes = header.raw
    return raw.decode("utf-8", "surrogateescape") if raw else header.value


def _read_reason(kind: int, code: str) -> Reason:
    """Decode a reason; an unknown one, of a newer version, is mapped to one for this frame kind."""
    try:
        return Reason(code)
    except ValueError:
        return Reason.UPSTREAM_PROTOCOL if kind == Kind.FAILED else Reason.NOT_READY
