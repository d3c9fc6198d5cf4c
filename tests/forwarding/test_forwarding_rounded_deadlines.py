"""An upstream counts its deadline in whole milliseconds, and stops a part of one too early."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest
import test_forwarding_ends_at_deadline
from test_forwarding_ends_at_deadline import DEADLINES_MS, ObeyingWorld, count_short

PROGRAM: Final = Path(__file__).with_name("rounding_upstream.py")


# Guards against the beginning of an answer that looks whole, as its end came right before the
# deadline: the time-out of the event loop came a part of a millisecond behind that.
@pytest.mark.parametrize("path", ["/quote/a", "/reserve/a"])
async def test_answer_that_ends_a_part_of_a_millisecond_before_the_deadline_looks_whole(
    link_key: None, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    monkeypatch.setattr(test_forwarding_ends_at_deadline, "PROGRAM", PROGRAM)
    events = path == "/quote/a"
    async with ObeyingWorld() as world:
        for name in ("i-1", "i-2"):
            service = "models" if events else "records"
            await world.async_add_obeying(name, service=service, framing="chunks")
        seen = await world.async_ask_many(path, DEADLINES_MS)
    assert count_short(seen, events=events) == 0
