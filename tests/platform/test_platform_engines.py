"""Answers of engines with figures that are no numbers: only what is odd is left out."""

from __future__ import annotations

import json
from typing import Any

import pytest

from gypsumrouter.forwarding.inventory import CachedPart
from gypsumrouter.helpers.http_response import ConnectionBroken
from gypsumrouter.platform import engines

BORN_MS = 1_760_000_000_000


class Answer:
    """The head of an answer without headers."""

    def get(self, _name: str) -> None:
        return None


def answer_with(monkeypatch: pytest.MonkeyPatch, body: str) -> Any:
    """Make each call return a body; return a connection for the call."""

    async def async_get(_connection: object, _path: str, *, max_bytes: int) -> tuple[Answer, bytes]:
        return Answer(), body.encode()

    monkeypatch.setattr(engines, "async_get", async_get)
    return object()


@pytest.mark.parametrize(
    ("born", "started_ms"),
    [(BORN_MS, BORN_MS), ("7", 0), (True, 0), (1.5, 0), (-1, 0), (10**30, 0), (None, 0)],
)
async def test_odd_start_counts_as_not_stated(
    monkeypatch: pytest.MonkeyPatch, born: object, started_ms: int
) -> None:
    connection = answer_with(monkeypatch, json.dumps({"born": born, "held": []}))
    assert await engines.async_read_start(connection) == started_ms
    assert (await engines.async_list_cached_parts(connection)).started_ms == started_ms


async def test_odd_part_does_not_end_the_list_of_cached_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    odd = [["", "1_0", 5, "m"], ["", "-a", 5, "m"], ["", "b", "5", "m"], ["", "c", 10**30, "m"]]
    body = json.dumps({"held": [*odd, ["", "a1", 800, "m"]]})
    listing = await engines.async_list_cached_parts(answer_with(monkeypatch, body))
    assert listing.parts == (CachedPart(part=0xA1, tokens=800),)


async def test_start_of_thousands_of_digits_broke_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An odd start time counts as not stated, however long it is."""
    body = '{"born": ' + "9" * 6_000 + ', "held": [["", "a1", 800, "m"]]}'
    connection = answer_with(monkeypatch, body)
    assert await engines.async_read_start(connection) == 0
    listing = await engines.async_list_cached_parts(connection)
    assert (listing.started_ms, listing.parts) == (0, (CachedPart(part=0xA1, tokens=800),))


@pytest.mark.parametrize("body", ['{"born": 9', "[" * 100_000, "[]", "x"])
async def test_report_that_is_no_document_is_a_broken_answer(
    monkeypatch: pytest.MonkeyPatch, body: str
) -> None:
    """Guards against an exception other than the one that callers of the report expect."""
    connection = answer_with(monkeypatch, body)
    with pytest.raises(ConnectionBroken):
        await engines.async_read_start(connection)
    with pytest.raises(ConnectionBroken):
        await engines.async_list_cached_parts(connection)
