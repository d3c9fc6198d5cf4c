"""Creation of calls: applies the policy to a validated request, or rejects it."""

from __future__ import annotations

import json
from typing import Final

import xxhash

from gypsumrouter.callers import CONTENT_TYPE_JSON, Rejection, reject, reject_field
from gypsumrouter.configuration.models import Pool, Workspace
from gypsumrouter.const import HEADER_CLASS, HEADER_IDEMPOTENCY_KEY, PATH_CHAT, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.gateway.chats import derive_chat_id, digest_messages, has_assistant_message
from gypsumrouter.gateway.checks import FIELDS_MAX_TOKENS, check_chat_body
from gypsumrouter.gateway.limits import Limit, get_rule_limit_name, get_workspace_limit_name
from gypsumrouter.gateway.models import Call, CallerHead, ChatBody, Target
from gypsumrouter.gateway.policies import CompiledPolicy
from gypsumrouter.outcomes import Reason
from gypsumrouter.policy import Decision, RequestFacts

METHOD_POST: Final = "POST"
CHAT_HEADERS: Final = (("Content-Type", CONTENT_TYPE_JSON),)
KEY_REQUIRED_TEXT: Final = (
    f"This call must not be repeated: send `{HEADER_IDEMPOTENCY_KEY}: <key>` with a key of its "
    "own (a UUIDv7 or a ULID is best), and the same key when you send it again"
)


class CallFactory:
    """Creates calls from validated requests with the policy currently in force."""

    __slots__ = ("_app", "_compiled", "_default_deadline_ms")

    def __init__(
        self, *, app: Application, compiled: CompiledPolicy, default_deadline_ms: int
    ) -> None:
        self._app = app
        self._compiled = compiled
        self._default_deadline_ms = default_deadline_ms

    def make_chat(
        self,
        *,
        request_id: str,
        workspace: Workspace,
        head: CallerHead,
        body: bytes,
        arrived_ms: int,
    ) -> Call | Rejection:
        """Return the call for a chat-completions request."""
        chat = check_chat_body(body)
        if isinstance(chat, Rejection):
            return chat
        if chat.model not in self._compiled.model_names:
            message = f"There is no model `{chat.model}`"
            return reject(Reason.NOT_FOUND, message, param="model")
        target = Target(
            kind=UpstreamKind.ENGINE, method=METHOD_POST, path=PATH_CHAT, model=chat.model
        )
        returning = bool(head.hint) or has_assistant_message(chat.messages)
        decision = self._decide(workspace, head, target, PATH_CHAT, len(body), returning)
        if isinstance(decision, Rejection):
            return decision
        if decision.pool is None:
            return reject(Reason.NOT_FOUND, "No pool serves this model", param="model")
        call = self._make_call(
            request_id, workspace, head, target, decision, decision.pool, body, arrived_ms
        )
        call.headers = CHAT_HEADERS
        call.stream = chat.stream
        call.returning = returning
        call.chat = head.chat or chat.chat or derive_chat_id(messages=chat.messages, user=chat.user)
        call.parts = digest_messages(chat.messages[:-1])
        _limit_output(call, chat, decision.max_output_tokens)
        return call

    def make_service_call(
        self,
        *,
        request_id: str,
        workspace: Workspace,
        head: CallerHead,
        target: Target,
        decoded_path: str,
        body: bytes,
        arrived_ms: int,
    ) -> Call | Rejection:
        """Return the call for a service request; path patterns are matched with `decoded_path`."""
        pool = self._compiled.policy.get_pool(target.pool)
        if pool is None or pool.kind is not UpstreamKind.SERVICE:
            message = f"There is no service `{target.pool}`"
            return reject(Reason.NOT_FOUND, message, param="service")
        decision = self._decide(
            workspace, head, target, decoded_path, len(body), returning=bool(head.hint)
        )
        if isinstance(decision, Rejection):
            return decision
        # Rules do not move a protected call to another pool: they may change between two requests
        # with the same key, and the call could then run in both pools.
        is_pinned = self._must_not_repeat(pool, target, decoded_path)
        decided = pool if is_pinned else decision.pool or pool
        call = self._make_call(
            request_id, workspace, head, target, decision, decided, body, arrived_ms
        )
        call.chat = head.chat
        if not is_pinned and not self._must_not_repeat(decided, target, decoded_path):
            return call
        if not head.idempotency_key:
            return reject(Reason.KEY_REQUIRED, KEY_REQUIRED_TEXT, param=HEADER_IDEMPOTENCY_KEY)
        call.idempotency_key = head.idempotency_key
        call.next_pool = None
        return call

    def _decide(
        self,
        workspace: Workspace,
        head: CallerHead,
        target: Target,
        decoded_path: str,
        size_bytes: int,
        returning: bool,
    ) -> Decision | Rejection:
        if head.caller_class is not None and head.caller_class not in self._compiled.class_names:
            return reject_field(HEADER_CLASS, "There is no class of this name")
        facts = RequestFacts(
            workspace=workspace.name,
            caller_class=head.caller_class or "",
            kind=target.kind,
            model=target.model,
            service=target.pool,
            method=target.method,
            path=decoded_path,
            size_bytes=size_bytes,
            returning=returning,
            data_centre=self._app.data_centre,
            wall_ms=self._app.clock.wall_ms(),
        )
        decision = self._compiled.policy.decide(facts)
        if decision.refuse is None:
            return decision
        return reject(
            Reason.REFUSED_BY_RULE, decision.refuse, retry_after_ms=decision.retry_after_ms
        )

    def _make_call(
        self,
        request_id: str,
        workspace: Workspace,
        head: CallerHead,
        target: Target,
        decision: Decision,
        pool: Pool,
        body: bytes,
        arrived_ms: int,
    ) -> Call:
        deadline_ms = head.deadline_ms or decision.deadline_ms or self._default_deadline_ms
        return Call(
            request_id=request_id,
            workspace=workspace,
            caller_class=decision.caller_class,
            target=target,
            pool=pool,
            next_pool=decision.next_pool,
            headers=head.headers,
            body=body,
            digest=make_digest(method=target.method, path=target.path, body=body),
            arrived_ms=arrived_ms,
            deadline_at_ms=arrived_ms + deadline_ms,
            configuration_version=self._compiled.configuration.version,
            hint=head.hint,
            limits=_make_limits(workspace, decision),
        )

    def _must_not_repeat(self, pool: Pool, target: Target, decoded_path: str) -> bool:
        """Return whether the call must run at most once, by its decoded or its raw path."""
        return any(
            self._compiled.policy.must_not_repeat(pool=pool.name, method=target.method, path=path)
            for path in (decoded_path, target.path.partition("?")[0])
        )


def make_digest(*, method: str, path: str, body: bytes) -> int:
    """Return a digest of the content of a request, which is the same for all callers."""
    digest = xxhash.xxh3_64(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.intdigest()


def _make_limits(workspace: Workspace, decision: Decision) -> tuple[Limit, ...]:
    return (
        Limit(
            name=get_workspace_limit_name(workspace.name),
            requests_per_s=workspace.requests_per_s,
            concurrent=workspace.concurrent,
        ),
        Limit(
            name=get_rule_limit_name(decision.rule or ""),
            requests_per_s=decision.requests_per_s,
            concurrent=decision.concurrent,
        ),
    )


def _limit_output(call: Call, chat: ChatBody, limit: int | None) -> None:
    """Set the output limit of the rule in the body unless the caller asks for less."""
    call.max_output_tokens = chat.max_output_tokens
    if limit is None or 0 < chat.max_output_tokens <= limit:
        return
    call.max_output_tokens = limit
    present = [name for name in FIELDS_MAX_TOKENS if chat.document.get(name) is not None]
    document = {**chat.document, **dict.fromkeys(present or FIELDS_MAX_TOKENS[1:], limit)}
    call.body = json.dumps(document).encode()
