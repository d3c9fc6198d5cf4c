"""Resource usage of processes over an interval: link bytes by kind, CPU time and memory."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping
from typing import Any, Final

from msgspec import Struct

from bench.processes import DaemonProcess
from bench.rig import Rig, Sections
from gypsumrouter.link.const import PAYLOAD_KINDS

PAYLOAD_NAMES: Final = frozenset(kind.name.lower() for kind in PAYLOAD_KINDS)
SECTION_LINK: Final = "link"
HANDSHAKE_KINDS: Final = ("hello", "proof", "welcome")
KIND_STATUS: Final = "status"
KIND_CONFIGURATION: Final = "platform_configuration"
KIND_INSTANCES: Final = "platform_instances"

Rates = dict[str, float]


class UsageSnapshot(Struct, frozen=True, kw_only=True):
    """Total resource usage of some processes at a point in time."""

    at_s: float
    cpu_s: float
    rss_bytes: int
    bytes_by_kind: Mapping[str, int]
    processes: int
    links: int


class AverageUsage(Struct, frozen=True, kw_only=True):
    """Mean usage per process; `rates` are bytes per second by kind."""

    seconds: float
    core_share: float
    rss_bytes: float
    rates: Rates
    links: float

    def sum_control_rates(self) -> float:
        """Return the bytes per second of all kinds without request or response payload."""
        return sum(rate for kind, rate in self.rates.items() if kind not in PAYLOAD_NAMES)

    def list_control_rates(self) -> Rates:
        """Return the rates of all kinds without request or response payload."""
        return {kind: rate for kind, rate in self.rates.items() if kind not in PAYLOAD_NAMES}


async def async_take_snapshot(rig: Rig, processes: Iterable[DaemonProcess]) -> UsageSnapshot:
    """Return the usage at the start of a measurement, read after the state dumps."""
    chosen = list(processes)
    dumps = await _async_dump_all(rig, chosen)
    return _make_snapshot(chosen, dumps)


async def async_measure_since(
    rig: Rig, processes: Iterable[DaemonProcess], start: UsageSnapshot
) -> AverageUsage:
    """Return the mean usage since a snapshot; CPU and memory are read before the dumps."""
    chosen = list(processes)
    before_dump = _make_snapshot(chosen, [])
    dumps = await _async_dump_all(rig, chosen)
    after_dump = _make_snapshot(chosen, dumps)
    count = max(1, len(chosen))
    cpu_window_s = before_dump.at_s - start.at_s
    bytes_window_s = after_dump.at_s - start.at_s
    rates = {
        kind: (total - start.bytes_by_kind.get(kind, 0)) / bytes_window_s / count
        for kind, total in after_dump.bytes_by_kind.items()
    }
    return AverageUsage(
        seconds=cpu_window_s,
        core_share=(before_dump.cpu_s - start.cpu_s) / cpu_window_s / count,
        rss_bytes=before_dump.rss_bytes / count,
        rates=rates,
        links=after_dump.links / count,
    )


def read_link_bytes(sections: Sections) -> dict[str, int]:
    """Return the bytes by kind, sent and received together, from a state dump."""
    kinds: dict[str, dict[str, int]] = sections[SECTION_LINK]["bytes"]
    return {kind: sum(ways.values()) for kind, ways in kinds.items()}


async def _async_dump_all(rig: Rig, processes: list[DaemonProcess]) -> list[dict[str, Any]]:
    return list(await asyncio.gather(*(rig.async_dump(process) for process in processes)))


def _make_snapshot(processes: list[DaemonProcess], dumps: list[Sections]) -> UsageSnapshot:
    usages = [process.read_usage() for process in processes]
    totals: dict[str, int] = {}
    for dump in dumps:
        for kind, count in read_link_bytes(dump).items():
            totals[kind] = totals.get(kind, 0) + count
    return UsageSnapshot(
        at_s=time.monotonic(),
        cpu_s=sum(usage.cpu_s for usage in usages),
        rss_bytes=sum(usage.rss_bytes for usage in usages),
        bytes_by_kind=totals,
        processes=len(processes),
        links=sum(dump[SECTION_LINK]["open"] for dump in dumps),
    )
