"""The forwarder counts each request for its workspace and tells its peers."""

from __future__ import annotations

from typing import Any

import aiohttp
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.request_contention import PLAIN_TOKENS, estimate_cost
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Contention


def get_work(product: RunningProcess) -> dict[str, Any]:
    section = product.app.dump()["workspaces"]
    assert isinstance(section, dict)
    return section


def test_cost_of_requests() -> None:
    prompt = Prompt(model="m", parts=(), input_tokens=1_400, max_output_tokens=80)
    assert estimate_cost(prompt) == 1_400 + 4 * 80
    assert estimate_cost(None) == PLAIN_TOKENS


async def test_arrived_requests_are_counted_and_peers_learn_of_them(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    first = await world.async_start_forwarder("entry-2", contention=Contention())
    seeds = (str(first.addresses["link"]),)
    second = await world.async_start_forwarder("entry-3", contention=Contention(), seeds=seeds)
    await world.async_until(lambda: first.is_ready() and second.is_ready())
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", product=first)
    assert status == 200
    await world.async_until(lambda: "plant" in get_work(first))
    own = get_work(first)
    assert list(own) == ["plant"]
    assert 0.5 * PLAIN_TOKENS < own["plant"]["work"] <= PLAIN_TOKENS
    # Updates are sent every 0.1 s, summaries every 0.4 s.
    await world.async_until(lambda: "plant" in get_work(second))
    assert get_work(second)["plant"]["work"] <= PLAIN_TOKENS


async def test_refused_request_is_counted(
    world: ForwardingWorld, session: aiohttp.ClientSession
) -> None:
    product = await world.async_start_forwarder("entry-2", contention=Contention())
    await world.async_until(product.is_ready)
    for runner in world.models:
        await world.store.async_remove(f"servers/{runner.name}")
    await world.async_until(lambda: len(list_ready(product, "i-models")) == 0)
    status, _, _ = await world.async_call(
        session, "POST", "/quote/a", "r1", product=product, body=b"{}", extra=PROMPT
    )
    assert status == 503
    # The figures are recomputed every 0.2 s.
    await world.async_until(lambda: "plant" in get_work(product))


def list_ready(product: RunningProcess, prefix: str) -> list[str]:
    """Return the ready upstreams whose name has a prefix."""
    section = product.app.dump()["directory"]
    assert isinstance(section, dict)
    ready = [entry["id"] for entry in section["upstreams"] if entry["state"] == "ready"]
    return [upstream for upstream in ready if upstream.startswith(prefix)]


async def test_nothing_is_counted_unless_it_is_enabled(world: ForwardingWorld) -> None:
    disabled = frozenset({Mechanism.FAIR_SHARES})
    product = await world.async_start_forwarder(
        "entry-2", contention=Contention(), without=disabled
    )
    assert "workspaces" not in product.app.dump()
    assert "workspaces" not in world.product.app.dump()
