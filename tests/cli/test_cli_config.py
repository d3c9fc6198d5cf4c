"""Commands for configurations and rules."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from click.testing import CliRunner, Result

from gypsumrouter.cli.client import ENV_TOKEN, async_fetch_dump, async_fetch_dumps
from gypsumrouter.cli.config import config_group
from gypsumrouter.cli.rules import rules_group
from gypsumrouter.configuration import schema as schema_module
from gypsumrouter.configuration.schema import SCHEMA_FILE
from gypsumrouter.exceptions import Unreachable

TOKEN = "a token for operators"
DOCUMENT: dict[str, Any] = {
    "version": 1,
    "workspaces": [{"name": "schools"}, {"name": "utility"}],
    "classes": [{"name": "parents"}],
    "pools": [
        {"name": "shared", "kind": "engine", "models": ["sizing"]},
        {
            "name": "dispatch",
            "kind": "service",
            "at_most_once": {"calls": [{"path_prefix": "/stock"}]},
        },
    ],
    "rules": [
        {"name": "utility-only", "when": {"workspace": ["utility"]}},
        {"name": "small", "when": {"max_bytes": 100}, "then": {"max_output_tokens": 10}},
    ],
    "default_class": "parents",
}


def write(path: Path, document: dict[str, Any]) -> str:
    path.write_text(json.dumps(document))
    return str(path)


def run(*arguments: str) -> Result:
    group = rules_group if arguments[0] == "explain" else config_group
    return CliRunner().invoke(group, arguments)


@pytest.fixture
async def address() -> AsyncIterator[str]:
    async def async_dump(request: web.Request) -> web.Response:
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            raise web.HTTPUnauthorized
        return web.json_response({"instance": "side-1", "sections": {}})

    app = web.Application()
    app.router.add_get("/dump", async_dump)
    async with TestServer(app, host="127.0.0.1") as server:
        yield f"127.0.0.1:{server.port}"


def test_check_accepts_a_valid_file(tmp_path: Path) -> None:
    result = run("check", write(tmp_path / "c.json", DOCUMENT))
    assert result.exit_code == 0
    assert "version 1 is right (2 workspaces, 1 classes, 2 pools, 2 rules)" in result.output


def test_check_reports_all_errors_and_exits_with_2(tmp_path: Path) -> None:
    invalid = {**DOCUMENT, "default_class": "x", "pools": DOCUMENT["pools"] * 2}
    result = run("check", write(tmp_path / "c.json", invalid))
    assert result.exit_code == 2
    for path in ("$.default_class", "$.pools[2].name", "$.pools[3].name"):
        assert path in result.output
    assert run("check", str(tmp_path / "missing.json")).exit_code == 2


def test_diff_lists_all_changes(tmp_path: Path) -> None:
    changed = {
        **DOCUMENT,
        "version": 2,
        "workspaces": [{"name": "schools", "share": 2.0}, {"name": "parents"}],
        "rules": [DOCUMENT["rules"][1], {"name": "utility-only", "when": {"min_bytes": 101}}],
    }
    before = write(tmp_path / "a.json", DOCUMENT)
    after = write(tmp_path / "b.json", changed)
    lines = run("diff", before, after).output.splitlines()
    assert "~ version: 1 -> 2" in lines
    assert "- workspaces utility" in lines
    assert "+ workspaces parents" in lines
    assert "~ workspaces schools.share: 1.0 -> 2.0" in lines
    assert "> rules small: place 2 -> 1" in lines
    assert run("diff", before, before).output == ""
    assert "not higher" in run("diff", after, before).output
    assert len(json.loads(run("diff", "--json", before, after).output)) == len(lines)


def test_schema_prints_the_committed_schema() -> None:
    committed = Path(schema_module.__file__).with_name(SCHEMA_FILE).read_text()
    assert run("schema").output == committed


def test_status_shows_the_active_version_and_rejection_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    section = {
        "in_force": {"version": 4, "digest": "00ff", "accepted_at_ms": 17},
        "rejected": {"version": 5, "errors": [{"path": "$.pools", "message": "wrong"}]},
    }
    dumps = {
        "127.0.0.1:1": {"instance": "router-1", "sections": {"configuration": section}},
        "127.0.0.1:2": {
            "instance": "router-2",
            "sections": {"configuration": {**section, "rejected": None}},
        },
    }

    async def async_fetch(address: str, token: str | None = None) -> dict[str, Any]:
        assert token == TOKEN
        if address not in dumps:
            raise Unreachable(f"{address}: gone")
        return dumps[address]

    monkeypatch.setenv(ENV_TOKEN, TOKEN)
    monkeypatch.setattr("gypsumrouter.cli.client.async_fetch_dump", async_fetch)
    result = run("status", *dumps)
    assert result.exit_code == 0
    assert "127.0.0.1:1: version 5 rejected: $.pools: wrong" in result.output
    assert result.output.count("router-2") == 1
    result = run("status", "127.0.0.1:1", "127.0.0.1:3")
    assert result.exit_code == 1
    assert "gone" in result.output
    section["in_force"] = {"version": 3, "digest": "0000", "accepted_at_ms": 1}
    assert run("status", "--json", *dumps).exit_code == 1


async def test_fetching_a_dump_requires_the_token(address: str) -> None:
    assert (await async_fetch_dump(address, TOKEN))["instance"] == "side-1"
    assert (await async_fetch_dump(f"http://{address}/", TOKEN))["instance"] == "side-1"
    with pytest.raises(Unreachable, match="401"):
        await async_fetch_dump(address)
    found = await async_fetch_dumps((address, "127.0.0.1:1"), TOKEN)
    assert [result.dump is None for result in found] == [False, True]


def test_explain_reports_the_matching_rule_and_earlier_mismatches(tmp_path: Path) -> None:
    file = write(tmp_path / "c.json", DOCUMENT)
    options = ("explain", "--configuration", file, "--workspace", "schools")
    output = run(*options, "--model", "sizing", "--bytes", "5").output
    assert "utility-only: not matched, workspace is schools, needed: utility" in output
    assert "Rule small counts" in output
    assert "max_output_tokens  10" in output
    report = json.loads(run(*options, "--service", "dispatch", "--path", "/Stock", "--json").output)
    assert report["rule"] == "small"
    assert report["must_not_repeat"] is True
    assert report["follows"]["pool"] == "dispatch"
    assert "No rule matches" in run(*options, "--model", "sizing", "--bytes", "200").output


@pytest.mark.parametrize(
    "arguments",
    [
        ("--workspace", "nobody", "--model", "sizing"),
        ("--workspace", "schools"),
        ("--workspace", "schools", "--model", "sizing", "--service", "dispatch"),
        ("--workspace", "schools", "--model", "sizing", "--at", "noon"),
    ],
)
def test_explain_rejects_an_invalid_request_description(
    tmp_path: Path, arguments: tuple[str, ...]
) -> None:
    file = write(tmp_path / "c.json", DOCUMENT)
    assert run("explain", "--configuration", file, *arguments).exit_code == 2
