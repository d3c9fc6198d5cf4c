"""Conversion of HTTP requests to calls: authentication, routing by path, validation."""

from __future__ import annotations

import re
from typing import Final

from aiohttp import hdrs, web

from gypsumrouter.callers import (
    MemoryReservation,
    Rejection,
    async_read_body,
    count_head_bytes,
    reject,
    reject_field,
    reject_head_size,
)
from gypsumrouter.configuration.models import Workspace
from gypsumrouter.const import (
    HEADER_REQUEST_ID,
    PATH_CHAT,
    PATH_MODELS,
    PATH_SERVICES,
    UpstreamKind,
)
from gypsumrouter.core import Application
from gypsumrouter.gateway.calls import CallFactory
from gypsumrouter.gateway.checks import check_service_path, parse_head
from gypsumrouter.gateway.const import BEARER_PREFIX, MODELS_OWNER
from gypsumrouter.gateway.models import Call, CallerHead, Target
from gypsumrouter.gateway.policies import CompiledPolicy
from gypsumrouter.gateway.running import RunningRequest
from gypsumrouter.outcomes import Reason
from gypsumrouter.settings import Limits

STATUS_METHOD_NOT_ALLOWED: Final = 405
STATUS_UNSUPPORTED_ENCODING: Final = 415
METHOD: Final = re.compile(r"[A-Z]{1,16}")
PATH_AND_QUERY: Final = re.compile(r"/[!-\"$-~]*")


class Intake:
    """Validates HTTP requests and converts them to calls."""

    __slots__ = ("_app", "_limits")

    def __init__(self, *, app: Application, limits: Limits) -> None:
        self._app = app
        self._limits = limits

    async def async_accept(
        self,
        *,
        request: web.BaseRequest,
        running: RunningRequest,
        reservation: MemoryReservation,
        compiled: CompiledPolicy,
    ) -> Call | web.Response | Rejection:
        """Return the call to dispatch, a response of the router itself, or a rejection."""
        if count_head_bytes(request) > self._limits.max_head_bytes:
            return reject_head_size()
        workspace = find_workspace(request, compiled)
        if workspace is None:
            return reject(Reason.UNAUTHENTICATED, param=hdrs.AUTHORIZATION)
        running.workspace = workspace.name
        head = parse_head(request.headers.items())
        if isinstance(head, Rejection):
            return head
        match request.rel_url.raw_path:
            case str() as path if path == PATH_MODELS:
                return _make_models_response(request, compiled, running.request_id)
            case str() as path if path == PATH_CHAT:
                return await self._async_accept_chat(
                    request, running, reservation, compiled, workspace, head
                )
            case str() as path if path.startswith(PATH_SERVICES):
                return await self._async_accept_service_call(
                    request, running, reservation, compiled, workspace, head
                )
        return reject(Reason.NOT_FOUND, "There is nothing at this path", param="path")

    async def _async_accept_chat(
        self,
        request: web.BaseRequest,
        running: RunningRequest,
        reservation: MemoryReservation,
        compiled: CompiledPolicy,
        workspace: Workspace,
        head: CallerHead,
    ) -> Call | Rejection:
        if request.method != hdrs.METH_POST:
            return _reject_method(hdrs.METH_POST)
        if hdrs.CONTENT_ENCODING in request.headers:
            message = "The body must not be compressed"
            return reject_field(hdrs.CONTENT_ENCODING, message, status=STATUS_UNSUPPORTED_ENCODING)
        body = await self._async_read_body(request, reservation)
        if isinstance(body, Rejection):
            return body
        return self._make_factory(compiled).make_chat(
            request_id=running.request_id,
            workspace=workspace,
            head=head,
            body=body,
            arrived_ms=running.arrived_ms,
        )

    async def _async_accept_service_call(
        self,
        request: web.BaseRequest,
        running: RunningRequest,
        reservation: MemoryReservation,
        compiled: CompiledPolicy,
        workspace: Workspace,
        head: CallerHead,
    ) -> Call | Rejection:
        if METHOD.fullmatch(request.method) is None:
            return _reject_method("GET, POST")
        service, _, subpath = request.rel_url.raw_path.removeprefix(PATH_SERVICES).partition("/")
        path = f"/{subpath}"
        decoded_path = check_service_path(path)
        if isinstance(decoded_path, Rejection):
            return decoded_path
        if request.rel_url.raw_query_string:
            path = f"{path}?{request.rel_url.raw_query_string}"
        if PATH_AND_QUERY.fullmatch(path) is None:
            return reject_field("path", "The path and the query must be percent-encoded")
        body = await self._async_read_body(request, reservation)
        if isinstance(body, Rejection):
            return body
        target = Target(kind=UpstreamKind.SERVICE, method=request.method, path=path, pool=service)
        return self._make_factory(compiled).make_service_call(
            request_id=running.request_id,
            workspace=workspace,
            head=head,
            target=target,
            decoded_path=decoded_path,
            body=body,
            arrived_ms=running.arrived_ms,
        )

    async def _async_read_body(
        self, request: web.BaseRequest, reservation: MemoryReservation
    ) -> bytes | Rejection:
        return await async_read_body(
            request=request,
            reservation=reservation,
            max_bytes=self._limits.max_body_bytes,
            get_idle_ms=lambda: self._limits.caller_idle_ms,
        )

    def _make_factory(self, compiled: CompiledPolicy) -> CallFactory:
        return CallFactory(
            app=self._app,
            compiled=compiled,
            default_deadline_ms=self._limits.default_deadline_ms,
        )


def find_workspace(request: web.BaseRequest, compiled: CompiledPolicy) -> Workspace | None:
    """Return the workspace of the bearer token, None if there is no valid one."""
    authorization = request.headers.get(hdrs.AUTHORIZATION, "")
    if not authorization.startswith(BEARER_PREFIX) or not authorization.isascii():
        return None
    return compiled.policy.find_workspace(authorization.removeprefix(BEARER_PREFIX).strip())


def _make_models_response(
    request: web.BaseRequest, compiled: CompiledPolicy, request_id: str
) -> web.Response | Rejection:
    if request.method not in (hdrs.METH_GET, hdrs.METH_HEAD):
        return _reject_method(hdrs.METH_GET)
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": MODELS_OWNER}
        for name in compiled.model_names
    ]
    return web.json_response(
        {"object": "list", "data": models}, headers={HEADER_REQUEST_ID: request_id}
    )


def _reject_method(allowed: str) -> Rejection:
    return reject_field("method", f"Use {allowed}", status=STATUS_METHOD_NOT_ALLOWED)
