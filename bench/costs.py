"""Processor time of a request and of a token in a router and a side, and memory per record."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final

from msgspec import Struct

from bench.client_host import ClientPlan
from bench.engine_host import start_engine
from bench.metered_platform import MeteredPlatform
from bench.relay import Phase, async_run_phase
from bench.rig import Rig
from bench.target_scale import FEW_WORKSPACES, GAP_MS
from gypsumrouter.idempotency.records import Record, RecordStore
from gypsumrouter.link.models import Head
from gypsumrouter.placement.lru import LruMap
from gypsumrouter.standins import EngineSettings

ENGINE_SLOTS: Final = 256
MANY_TOKENS: Final = 220
FEW_TOKENS: Final = 2
MANY_STREAMS: Final = 30
FEW_STREAMS: Final = 3
WARM_S: Final = 3.0
MEASURE_S: Final = 6.0
ITEMS: Final = 10_000
ANSWER_BYTES: Final = 200
DIGEST_BYTES: Final = 16


class RequestCost(Struct, frozen=True, kw_only=True):
    """Processor time of a request and of a token, in microseconds."""

    request_us: float
    token_us: float


class MeasuredLoad(Struct, frozen=True, kw_only=True):
    """Rates of a measured phase and the share of a core that it used."""

    requests_s: float
    tokens_s: float
    core_share: float


def solve_costs(first: MeasuredLoad, second: MeasuredLoad) -> RequestCost:
    """Return the cost of a request and of a token, solved from two measured loads.

    Raises ValueError if both loads have the same ratio of tokens to requests.
    """
    determinant = first.requests_s * second.tokens_s - second.requests_s * first.tokens_s
    if determinant == 0:
        raise ValueError(
            "cannot separate both costs: the loads have the same mixture of requests and tokens"
        )
    request_s = first.core_share * second.tokens_s - second.core_share * first.tokens_s
    token_s = first.requests_s * second.core_share - second.requests_s * first.core_share
    return RequestCost(
        request_us=1e6 * request_s / determinant, token_us=1e6 * token_s / determinant
    )


async def async_measure_requests() -> tuple[RequestCost, RequestCost]:
    """Return the request costs of a router and of a side, measured with real processes."""
    platform = MeteredPlatform(workspaces=FEW_WORKSPACES)
    settings = EngineSettings(
        slots=ENGINE_SLOTS,
        step_ms=float(GAP_MS),
        step_ms_per_sequence=0.0,
        models=(platform.deployment.model,),
    )
    async with AsyncExitStack() as stack:
        upstream = await stack.enter_async_context(start_engine(settings))
        await platform.async_start()
        rig = Rig(platform=platform)
        stack.push_async_callback(rig.async_stop)
        platform.plan_sides(count=1, upstream=upstream)
        await rig.async_start(routers=1)
        many = await _async_run(rig, platform, tokens=MANY_TOKENS, streams=MANY_STREAMS)
        few = await _async_run(rig, platform, tokens=FEW_TOKENS, streams=FEW_STREAMS)
    router = solve_costs(_make_load(many, many.router_cpu_s), _make_load(few, few.router_cpu_s))
    side = solve_costs(_make_load(many, many.side_cpu_s), _make_load(few, few.side_cpu_s))
    return router, side


def measure_record_bytes() -> float:
    """Return the memory of one idempotency record with a short response, in bytes."""
    store = RecordStore(max_calls=ITEMS, max_bytes=1 << 30)

    def add(number: int) -> None:
        digest = number.to_bytes(DIGEST_BYTES)
        record = Record(
            digest=digest, fingerprint=digest[::-1], created_ms=number, expires_ms=number
        )
        store.add(record)
        headers = (("Content-Type", f"application/json;{number}"),)
        store.finish(record, Head(status=200, headers=headers), bytes(ANSWER_BYTES))

    return _measure_memory(add)


def measure_sticky_chat_bytes() -> float:
    """Return the memory of one chat in a router with sticky sessions (a baseline), in bytes."""
    chats: LruMap[str, str] = LruMap(size=ITEMS)
    return _measure_memory(lambda number: chats.put(f"chat-of-a-caller-{number:024}", "side"))


async def _async_run(rig: Rig, platform: MeteredPlatform, *, tokens: int, streams: int) -> Phase:
    plan = ClientPlan(
        origins=tuple(f"http://{address}" for address in rig.list_callers()),
        key=platform.deployment.workspaces[0].key,
        model=platform.deployment.model,
        streams=streams,
        tokens=tokens,
        warm_s=WARM_S,
        measure_s=MEASURE_S,
    )
    return await async_run_phase(
        plan, routers=list(rig.routers.values()), sides=list(rig.sides.values())
    )


def _make_load(phase: Phase, cpu_s: float) -> MeasuredLoad:
    return MeasuredLoad(
        requests_s=len(phase.result.first_ms) / phase.seconds,
        tokens_s=phase.tokens_s,
        core_share=cpu_s / phase.seconds,
    )


def _measure_memory(add: Callable[[int], None]) -> float:
    """Return the mean number of bytes allocated by a call of `add`."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(ITEMS):
            add(number)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / ITEMS
