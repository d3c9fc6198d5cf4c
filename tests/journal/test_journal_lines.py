"""Journal: line format, rate limit, non-blocking output and documentation of all events."""

from __future__ import annotations

import io
import json
import logging
import os
import re
import threading
from pathlib import Path

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.helpers.logs import DroppingQueueHandler, configure_logging
from gypsumrouter.journal import EVENTS, DependencyLost, Journal, PeerNews
from gypsumrouter.journal.journal import BURST_LINES, LINES_PER_S
from gypsumrouter.settings import Log, LogFormat
from gypsumrouter.util.clock import ManualClock

OPERATIONS = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def make_journal(clock: ManualClock) -> Journal:
    app = Application(name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    return Journal(app=app)


def make_event(version: int = 1) -> PeerNews:
    return PeerNews(
        peer="entry-2", subject="configuration", version=version, known=0, told=1, taken=1
    )


def test_a_line_is_json_with_the_fields_of_its_event() -> None:
    stream = io.StringIO()
    remove = configure_logging(
        settings=Log(format=LogFormat.JSON), instance="entry-1", stream=stream
    )
    make_journal(ManualClock()).record(make_event(7))
    remove()
    line = json.loads(stream.getvalue())
    assert line["event"] == "peer_news"
    assert (line["peer"], line["subject"], line["version"]) == ("entry-2", "configuration", 7)
    assert line["instance"] == "entry-1"


def test_lines_above_the_rate_limit_are_dropped_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = ManualClock()
    journal = make_journal(clock)
    with caplog.at_level(logging.INFO):
        for _ in range(BURST_LINES + 40):
            journal.record(make_event())
        assert journal.dropped == 40
        clock.advance(1_000)
        journal.record(make_event())
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("peer_news") == BURST_LINES + 1
    assert messages.count("lines_dropped") == 1


def test_sustained_rate_is_limited(caplog: pytest.LogCaptureFixture) -> None:
    clock = ManualClock()
    journal = make_journal(clock)
    with caplog.at_level(logging.INFO):
        for _ in range(20):
            for _ in range(2 * LINES_PER_S):
                journal.record(make_event())
            clock.advance(1_000)
    written = sum(record.getMessage() == "peer_news" for record in caplog.records)
    assert written <= BURST_LINES + 20 * LINES_PER_S


def test_essential_events_bypass_the_rate_limit(caplog: pytest.LogCaptureFixture) -> None:
    journal = make_journal(ManualClock())
    with caplog.at_level(logging.INFO):
        for _ in range(BURST_LINES + 1):
            journal.record(make_event())
        journal.record(DependencyLost(dependency="configuration", reason="status 503"))
    assert caplog.records[-1].getMessage() == "dependency_lost"


def test_stalled_log_reader_does_not_block() -> None:
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    remove = configure_logging(
        settings=Log(format=LogFormat.JSON), instance="entry-1", stream=stream
    )
    clock = ManualClock()
    journal = make_journal(clock)
    # The pipe is not read and holds 64 KB; 20,000 lines are 4 MB.
    for _ in range(100):
        for _ in range(200):
            journal.record(make_event())
        clock.advance(1_000)
    # Removal waits at most FLUSH_TIMEOUT_S. The writer thread continues until everything is read,
    # so the pipe is drained in a daemon thread.
    threading.Thread(target=_drain, args=(reading,), daemon=True).start()
    remove()
    assert not any(isinstance(h, DroppingQueueHandler) for h in logging.getLogger().handlers)


def _drain(descriptor: int) -> None:
    with os.fdopen(descriptor, "rb") as pipe:
        while pipe.read(1 << 16):
            pass


def test_every_event_and_field_is_documented() -> None:
    page = OPERATIONS.read_text()
    rows = dict(re.findall(r"^\| `(\w+)` \| (.*?) \|", page, flags=re.MULTILINE))
    for event in EVENTS:
        assert event.name in rows, event.name
        documented = set(re.findall(r"`(\w+)`", rows[event.name]))
        assert documented == set(event.__struct_fields__), event.name
