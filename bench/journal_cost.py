"""Benchmark of the journal: processor time per line, and memory while the log is not read.

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
# A successful request is placed, sent, answered and completed.
LINES_PER_REQUEST: Final = 4
READ_BYTES: Final = 1 << 16

EVENT: Final = RequestPlaced(
    request_id="695f382ab26b9a91",
    route="r-2c7zzyu",
    service="models",
    upstream="i-44cd6b7d3c",
    version="v1.1",
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
    """Run the benchmark and print a table and the JSON result."""
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
    """Return the cost of a line with logging on and off, and figures derived from it."""
    written_us = measure_line_us(level=LogLevel.INFO, lines=lines)
    silent_us = measure_line_us(level=LogLevel.ERROR, lines=lines)
    cost_us = written_us - silent_us
    return {
        "line_us": round(written_us, 2),
        "line_without_log_us": round(silent_us, 2),
        "request_us": round(cost_us * LINES_PER_REQUEST, 1),
        "core_percent_at_the_bound": round(100 * cost_us * LINES_PER_S / US_PER_S, 2),
        "stalled_reader_mb": round(measure_stalled_mb(), 2),
    }


def measure_line_us(*, level: LogLevel, lines: int) -> float:
    """Return the processor time per line in microseconds, including the writer thread."""
    with open(os.devnull, "w") as stream:
        clock, journal, stop_logging = _start_journal(level, stream)
        began_s = time.process_time()
        _record_lines(clock, journal, lines)
        stop_logging()
        spent_s = time.process_time() - began_s
    return US_PER_S * spent_s / lines


def measure_stalled_mb() -> float:
    """Return the peak memory in MB while the reader of the log is stalled."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    clock, journal, stop_logging = _start_journal(LogLevel.INFO, stream)
    tracemalloc.start()
    _record_lines(clock, journal, 2 * MAX_QUEUED_LINES)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    threading.Thread(target=_discard_output, args=(read_end,), daemon=True).start()
    stop_logging()
    return peak / BYTES_PER_MB


def _start_journal(
    level: LogLevel, stream: TextIO
) -> tuple[ManualClock, Journal, Callable[[], bool]]:
    clock = ManualClock()
    app = Application(
        name="entry-1", role=Role.FORWARDER, data_centre="dc-a", region="r", clock=clock
    )
    settings = Log(level=level, format=LogFormat.JSON)
    stop_logging = configure_logging(settings=settings, instance="entry-1", stream=stream)
    return clock, Journal(app=app), stop_logging


def _record_lines(clock: ManualClock, journal: Journal, lines: int) -> None:
    """Record lines at the rate limit of the journal, so that none is dropped."""
    for _ in range(lines):
        clock.advance(MS_PER_S // LINES_PER_S)
        journal.record(EVENT)


def _discard_output(descriptor: int) -> None:
    with os.fdopen(descriptor, "rb") as pipe:
        while pipe.read(READ_BYTES):
            pass
