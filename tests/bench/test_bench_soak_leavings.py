"""Short seeded soak runs in the shape of a deployment: most forwarders do not watch the store."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from bench.soak import async_soak
from bench.soak_rig import ENV_KEY, KEY

FORWARDERS = 15


# Seed 1: each reset of a connection to the store began the grace period anew, and removals and the
# drains after them were withheld from forwarders that do not watch.
# Seed 5: a forwarder that started again got a removed runner back from a peer that was behind.
@pytest.mark.parametrize("seed", [1, 5])
async def test_short_soak_with_leavings_has_no_violations(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, ENV_KEY, KEY)
    figures, kept = await async_soak(
        seed=seed, seconds=9.0, folder=tmp_path, leavings=True, forwarders=FORWARDERS
    )
    assert kept, figures["violations"]
    assert figures["answered"]
