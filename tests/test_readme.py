"""The examples in the README are valid and work."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
import sys
from pathlib import Path
from typing import Any

import pytest
from small_deployment import LIST_LEASE_MS, StartLocalFleet, make_small_deployment

from gypsumrouter.configuration import check_configuration
from gypsumrouter.const import Role
from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.helpers.settings_file import check_settings
from gypsumrouter.policy import Policy

README = Path(__file__).parent.parent / "README.md"
CURL = re.compile(r"```sh\n(curl .*?)```", re.DOTALL)
BLOCK = re.compile(r"<!-- ([a-z ]+) -->\n```json\n(.*?)```", re.DOTALL)
CALLER_KEY = "key-of-the-plant-0001"


def read_block(name: str) -> bytes:
    blocks = dict(BLOCK.findall(README.read_text()))
    return str(blocks[name]).encode()


@pytest.mark.parametrize("role", list(Role))
def test_readme_settings_are_valid(role: Role, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", "0123456789abcdef")
    settings = check_settings(role=role, document=read_block(f"{role.value} settings"))
    assert settings.link.key_env == "GYPSUMROUTER_LINK_KEY"


def test_readme_configuration_is_valid_and_accepts_the_example_key() -> None:
    policy = Policy(configuration=check_configuration(read_block("configuration")))
    workspace = policy.find_workspace(CALLER_KEY)
    assert workspace is not None
    assert workspace.name == "plant"
    assert policy.must_not_repeat(pool="records", method="POST", path="/defects")
    assert hashlib.sha256(CALLER_KEY.encode()).hexdigest() in workspace.key_digests


async def test_readme_curl_commands_succeed(start_local_fleet: StartLocalFleet) -> None:
    fleet = await start_local_fleet(deployment=make_small_deployment(model="inspection-chat"))
    document = json.loads(read_block("configuration"))
    version = fleet.platform.configuration.publish(json.dumps(document | {"version": 2}).encode())
    await async_wait_for_version(fleet, version)
    chat, call = CURL.findall(README.read_text())
    events = await async_run_curl(fleet, chat)
    assert events.rstrip().endswith("data: [DONE]")
    answer = json.loads(await async_run_curl(fleet, call))
    assert answer["execution"] == 1


async def async_wait_for_version(fleet: LocalFleet, version: int) -> None:
    """Wait until all processes use a version and accept new idempotency keys."""
    processes = (*fleet.routers.values(), *fleet.sides.values())
    for process in processes:
        while get_version(process.app.dump()) < version:
            await process.app.clock.async_sleep(20)
    await processes[0].app.clock.async_sleep(LIST_LEASE_MS)


def get_version(sections: dict[str, Any]) -> int:
    return int(sections["configuration"]["in_force"]["version"])


async def async_run_curl(fleet: LocalFleet, line: str) -> str:
    """Run a command of the README against the router of the test; return its output."""
    line = line.replace("127.0.0.1:8080", str(fleet.list_caller_addresses()[0]))
    line = line.replace(".venv/bin/gypsumrouter", f"{sys.executable} -m gypsumrouter.cli")
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        line.replace("curl ", "curl --silent --show-error --fail ", 1),
        stdout=asyncio.subprocess.PIPE,
        cwd=README.parent,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()
