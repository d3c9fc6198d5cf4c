"""What the journal costs: processor time of a line, and memory while nobody reads the log.

`python -m bench journal [--lines N]`.
"""

from __future__ import annotations

import argparse
import os
import threading
import time
import tracemalloc
from collections.abc import Callable
from typing import Final, TextIO

from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, Role
from gypsumrouter.core import Application
from gypsumrouter.helpers.logs import MAX_QUEUED_LINES, configure_logging
from gypsumrouter.journal import Journal, RequestPlaced
from gypsumrouter.journal.journal import LINES_PER_S
from gypsumrouter.settings import Log, LogFormat, LogLevel
from gypsumrouter.util.clock import ManualClock

LINES: Final = 20_000
MS_PER_S: Final = 1_000
US_PER_S: Final = 1_000_000
BYTES_PER_MB: Final = 1_000_000
# Where nothing goes wrong a request is placed, sent, answered and over.
LINES_PER_REQUEST: Final = 4
READ_BYTES: Final = 1 << 16

EVENT: Final = RequestPlaced(
    request_id="695f382ab26b9a91",
    route="r-2c7zzyu",
    service="models",
    upstream="i-44cd6b7d3c",
    attempt=1,
    load=8,
    mean_load=8.5,
    prompt="263ec1c1ecae",
    missing_tokens=0,
    fetch_from="",
    candidates=28,
    peers_age_ms=119,
    list_revision=1_600,
    configuration=12,
)


def main(argv: list[str]) -> int:
    """Measure, print a table and, as the last line, one JSON object."""
    parser = argparse.ArgumentParser(prog="python -m bench journal")
    parser.add_argument("--lines", type=int, default=LINES)
    options = parser.parse_args(argv)
    print_machine()
    figures = measure(lines=options.lines)
    print_table(
        title="Cost of the journal", columns=("figure", "value"), rows=list(figures.items())
    )
    print_result(figures)
    return EXIT_OK


def measure(*, lines: int) -> dict[str, float]:
    """Return the processor time of a line with and without the log, and what follows from it."""
    written_us = measure_lines(level=LogLevel.INFO, lines=lines)
    silent_us = measure_lines(level=LogLevel.ERROR, lines=lines)
    cost_us = written_us - silent_us
    return {
        "line_us": round(written_us, 2),
        "line_without_log_us": round(silent_us, 2),
        "request_us": round(cost_us * LINES_PER_REQUEST, 1),
        "core_percent_at_the_bound": round(100 * cost_us * LINES_PER_S / US_PER_S, 2),
        "stalled_reader_mb": round(measure_stalled_mb(), 2),
    }


def measure_lines(*, level: LogLevel, lines: int) -> float:
    """Return the processor time of a line in microseconds, that of the writing thread included."""
    with open(os.devnull, "w") as stream:
        clock, journal, remove = _start(level, stream)
        began_s = time.process_time()
        _write(clock, journal, lines)
        remove()
        spent_s = time.process_time() - began_s
    return US_PER_S * spent_s / lines


def measure_stalled_mb() -> float:
    """Return the memory that lines take while nobody reads them, at its most."""
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    clock, journal, remove = _start(LogLevel.INFO, stream)
    tracemalloc.start()
    _write(clock, journal, 2 * MAX_QUEUED_LINES)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    threading.Thread(target=_drain, args=(reading,), daemon=True).start()
    remove()
    return peak / BYTES_PER_MB


def _start(level: LogLevel, stream: TextIO) -> tuple[ManualClock, Journal, Callable[[], None]]:
    clock = ManualClock()
    app = Application(
        name="entry-1", role=Role.FORWARDER, data_centre="dc-a", region="r", clock=clock
    )
    settings = Log(level=level, format=LogFormat.JSON)
    remove = configure_logging(settings=settings, instance="entry-1", stream=stream)
    return clock, Journal(app=app), remove


def _write(clock: ManualClock, journal: Journal, lines: int) -> None:
    """Write lines as fast as the bound allows by the clock, so that none is left out."""
    for _ in range(lines):
        clock.advance(MS_PER_S // LINES_PER_S)
        journal.record(EVENT)


def _drain(descriptor: int) -> None:
    with os.fdopen(descriptor, "rb") as pipe:
        while pipe.read(READ_BYTES):
            pass
