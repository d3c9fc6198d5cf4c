"""Times at which configuration versions came into force, read from the logs of processes."""

from __future__ import annotations

import re
import statistics
import time
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise
from pathlib import Path
from typing import Final

from gypsumrouter.const import MS_PER_S

Events = Mapping[str, Sequence[tuple[int, int]]]

LOG_LINE: Final = re.compile(
    r"^(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d),(\d{3}) .*: Configuration (\d+) is in force$"
)
TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S"


def read_logs(folder: Path, names: Iterable[str]) -> dict[str, list[tuple[int, int]]]:
    """Return the versions and wall times at which they came into force, by process.

    The logs are read afterwards, so that the measurement does not disturb the processes.
    """
    return {name: parse_log((folder / f"{name}.log").read_text(errors="replace")) for name in names}


def parse_log(text: str) -> list[tuple[int, int]]:
    """Return the versions in a log and the wall times in ms at which they came into force."""
    found = [LOG_LINE.match(line) for line in text.splitlines()]
    return [
        (int(match[3]), _parse_seconds(match[1]) * MS_PER_S + int(match[2]))
        for match in found
        if match is not None
    ]


def measure_delays(
    events: Events, accepted_ms: Mapping[int, int], versions: Iterable[int]
) -> list[float]:
    """Return the seconds from the acceptance of a version until it was in force in a process.

    There is one value for each pair of version and process; infinity if it never was. A higher
    version counts as well.
    """
    return [
        (get_in_force_ms(in_force, version) - accepted_ms[version]) / MS_PER_S
        for version in versions
        for in_force in events.values()
    ]


def get_in_force_ms(in_force: Sequence[tuple[int, int]], version: int) -> float:
    """Return the wall time at which a version or a higher one came into force, else infinity."""
    return min((at_ms for logged, at_ms in in_force if logged >= version), default=float("inf"))


def count_rollbacks(events: Events) -> int:
    """Return how often a version came into force after the same or a higher one."""
    return sum(
        1
        for in_force in events.values()
        for (before, _), (after, _) in pairwise(in_force)
        if after <= before
    )


def get_median(values: Sequence[float]) -> float:
    """Return the median, or 0 if there are no values."""
    return statistics.median(values) if values else 0.0


def _parse_seconds(text: str) -> int:
    return int(time.mktime(time.strptime(text, TIME_FORMAT)))
