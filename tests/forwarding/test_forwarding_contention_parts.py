"""The parts for contended load are built only with their setting, and fed by the forwarder."""

from __future__ import annotations

from typing import cast

import aiohttp
from forwarding_world import PROMPT, ForwardingWorld, make_configuration

from bench.replay_placer import make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.uneven_load import UnevenLoad
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import ManualClock


def make_parts(
    *, contention: Contention | None, without: frozenset[Mechanism] = frozenset()
) -> UnevenLoad:
    clock = ManualClock(now_ms=100_000)
    app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    journal = Journal(app=app)
    placer = make_replay_placer(
        app=app,
        journal=journal,
        directory=Directory(app=app, journal=journal),
        cap=Cap(factor=2.0, slack=3.0),
        contention=contention,
        without=without,
    )
    return placer.uneven_load


def test_nothing_is_built_without_the_setting() -> None:
    parts = make_parts(contention=None)
    assert (parts.engine_speeds, parts.engine_memory, parts.prompt_spread) == (None, None, None)


def test_each_part_is_disabled_by_its_mechanism() -> None:
    contention = Contention()
    whole = make_parts(contention=contention)
    assert whole.engine_speeds is not None
    assert whole.engine_memory is not None
    assert whole.prompt_spread is not None
    without_speed = make_parts(contention=contention, without=frozenset({Mechanism.ENGINE_SPEED}))
    assert without_speed.engine_speeds is None
    assert without_speed.engine_memory is not None
    without_memory = make_parts(contention=contention, without=frozenset({Mechanism.ENGINE_MEMORY}))
    assert without_memory.engine_memory is None
    # Without copies, the engines of a spread prompt would all have to prefill it.
    for mechanism in (Mechanism.PROMPT_SPREAD, Mechanism.CACHE_TRANSFER):
        without_spread = make_parts(contention=contention, without=frozenset({mechanism}))
        assert without_spread.prompt_spread is None


async def test_forwarder_learns_memory_and_output_of_its_engines(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    """Without the routing table, the memory would be unknown and the part without effect."""
    services = [
        {"name": "records", "max_connections": 90},
        {
            "name": "models",
            "max_connections": 300,
            "engine": {"slots": 64, "kv_tokens": 50_000},
        },
    ]
    await world.store.async_put_configuration(make_configuration(2, services=services))
    product = await world.async_start_forwarder("entry-2", contention=Contention())

    def read(key: str) -> dict[str, float]:
        section = cast(dict[str, dict[str, float]], product.app.dump()["engine_memory"])
        return section[key]

    await world.async_until(lambda: product.is_ready() and read("capacity"))
    assert read("capacity") == {"models": 50_000}
    status, body, _ = await world.async_call(
        session, "POST", "/draft/1", "r-1", product=product, body=b"{}", extra=PROMPT
    )
    assert status == 200
    assert read("mean_output") == {"m": body.count(b"\n\n")}
    assert 1_400 <= read("mean_request")["models"] <= 1_480
    assert "engine_memory" not in world.product.app.dump()
