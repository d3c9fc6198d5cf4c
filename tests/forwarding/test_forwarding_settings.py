"""Reload of a running forwarder's settings, by file watch and by signal."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest
from forwarding_world import ForwardingWorld

from gypsumrouter.bootstrap_forwarder import async_setup_forwarder
from gypsumrouter.helpers.settings_file import read_settings_file
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import check_forwarder_settings
from gypsumrouter.util.clock import SystemClock

POLL_INTERVAL_MS = "gypsumrouter.helpers.settings_watcher.POLL_INTERVAL_MS"


def write_settings(path: Path, world: ForwardingWorld, **more: Any) -> None:
    document = {
        "instance": {"name": "entry-2", "data_centre": "dc-a", "region": "r"},
        "link": {"key_env": "GYPSUMROUTER_LINK_KEY"},
        "store": str(world.store_address),
        **more,
    }
    path.write_text(json.dumps(document))


async def async_start(world: ForwardingWorld, path: Path) -> RunningProcess:
    product = await async_setup_forwarder(
        settings=check_forwarder_settings(read_settings_file(path)),
        settings_path=path,
        clock=SystemClock(),
    )
    world.products.append(product)
    return product


def list_routers(product: RunningProcess) -> dict[str, Any]:
    section = product.app.dump()["peers"]
    assert isinstance(section, dict)
    return dict(section["routers"])


def get_reload(caplog: pytest.LogCaptureFixture) -> dict[str, Any]:
    """Return the fields of the only journal line about a reload."""
    records = [r for r in caplog.records if r.getMessage() == "settings_reloaded"]
    assert len(records) == 1
    return dict(vars(records[0])["event"])


async def test_added_seed_is_contacted_without_a_signal(
    world: ForwardingWorld, tmp_path: Path
) -> None:
    path = tmp_path / "settings.json"
    write_settings(path, world)
    with patch(POLL_INTERVAL_MS, 10):
        product = await async_start(world, path)
        assert list_routers(product) == {}
        seed = str(world.product.addresses["link"])
        write_settings(path, world, seeds=[seed])
        await world.async_until(lambda: list_routers(product).get(seed, {}).get("reached"))


async def test_reload_reports_the_changed_and_the_applied_settings(
    world: ForwardingWorld, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "settings.json"
    write_settings(path, world)
    product = await async_start(world, path)
    assert product.reload is not None
    write_settings(path, world, bounds={"cap_factor": 3.0}, callers="127.0.0.1:1")
    with caplog.at_level(logging.INFO):
        product.reload()
    reload = get_reload(caplog)
    assert reload["changed"] == ("callers", "bounds")
    assert reload["applied"] == ("bounds",)


@pytest.mark.parametrize("document", ["{", '{"instance": 1}'])
async def test_invalid_file_is_reported_and_changes_nothing(
    world: ForwardingWorld, tmp_path: Path, caplog: pytest.LogCaptureFixture, document: str
) -> None:
    path = tmp_path / "settings.json"
    seed = str(world.product.addresses["link"])
    write_settings(path, world, seeds=[seed])
    product = await async_start(world, path)
    assert product.reload is not None
    path.write_text(document)
    with caplog.at_level(logging.INFO):
        product.reload()
    assert seed in list_routers(product)
    assert get_reload(caplog)["error"] != ""
