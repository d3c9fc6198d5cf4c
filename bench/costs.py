"""What one request and one token cost a router and a side, and the memory of small things."""

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
from bench.two_year import GAP_MS, KEY_WORKSPACES
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
THINGS: Final = 10_000
ANSWER_BYTES: Final = 200
DIGEST_BYTES: Final = 16


class RequestCost(Struct, frozen=True, kw_only=True):
    """Processor time in microseconds."""

    request_us: float
    token_us: float


class Load(Struct, frozen=True, kw_only=True):
    """Rates of a measured phase and the share of a core that they took."""

    requests_s: float
    tokens_s: float
    core_share: float


def solve_costs(first: Load, second: Load) -> RequestCost:
    """Return what a request and a token cost, from two loads of different mixture.

    Raises ValueError when the mixtures are the same.
    """
    determinant = first.requests_s * second.tokens_s - second.requests_s * first.tokens_s
    if determinant == 0:
        raise ValueError("two loads of the same mixture tell nothing apart")
    request_s = first.core_share * second.tokens_s - second.core_share * first.tokens_s
    token_s = first.requests_s * second.core_share - second.requests_s * first.core_share
    return RequestCost(
        request_us=1e6 * request_s / determinant, token_us=1e6 * token_s / determinant
    )


async def async_measure_requests() -> tuple[RequestCost, RequestCost]:
    """Return the costs of a router and of a side, measured with real processes."""
    platform = MeteredPlatform(workspaces=KEY_WORKSPACES)
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


def measure_call_bytes() -> float:
    """Return the memory of one remembered call with a short answer."""
    memory = RecordStore(max_calls=THINGS, max_bytes=1 << 30)

    def add(number: int) -> None:
        digest = number.to_bytes(DIGEST_BYTES)
        record = Record(
            digest=digest, fingerprint=digest[::-1], created_ms=number, expires_ms=number
        )
        memory.add(record)
        headers = (("Content-Type", f"application/json;{number}"),)
        memory.finish(record, Head(status=200, headers=headers), bytes(ANSWER_BYTES))

    return _measure_memory(add)


def measure_sticky_chat_bytes() -> float:
    """Return the memory of one chat in a router that remembers chats, which ours does not."""
    chats: LruMap[str, str] = LruMap(size=THINGS)
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


def _make_load(phase: Phase, cpu_s: float) -> Load:
    return Load(
        requests_s=len(phase.result.first_ms) / phase.seconds,
        tokens_s=phase.tokens_s,
        core_share=cpu_s / phase.seconds,
    )


def _measure_memory(add: Callable[[int], None]) -> float:
    """Return the bytes that each of many things takes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(THINGS):
            add(number)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / THINGS
