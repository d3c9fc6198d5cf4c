"""Guards against accounting less memory for stored calls than they use."""

from __future__ import annotations

import gc
import tracemalloc

import pytest
from idempotency_world import Side, make_call, make_pool, make_uuid7

from gypsumrouter.idempotency import Run
from gypsumrouter.link.models import Head

CALLS = 20_000
HEADERS = 4


def make_head(number: int) -> Head:
    headers = tuple((f"X-Header-{index}-{number}", f"value {number}") for index in range(HEADERS))
    return Head(status=201, headers=headers)


def store_call(side: Side, key: str, number: int, answer_bytes: int) -> None:
    run = side.idempotency.begin(make_call(key))
    assert isinstance(run, Run)
    assert run.authorize() is None
    run.finish(make_head(number), bytes(answer_bytes))


@pytest.mark.parametrize("answer_bytes", [0, 200])
def test_accounted_bytes_cover_used_memory(side: Side, answer_bytes: int) -> None:
    keys = [make_uuid7(side.clock.wall_ms(), number) for number in range(CALLS)]
    side.idempotency.configure(make_pool(calls=CALLS, size=1 << 30))
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number, key in enumerate(keys):
        store_call(side, key, number, answer_bytes)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    dump = side.app.dump()["idempotency"]
    assert isinstance(dump, dict)
    print(f"{used // CALLS} bytes used, {dump['bytes'] // CALLS} accounted, per call")
    assert dump["remembered"] == CALLS
    assert used <= dump["bytes"]
