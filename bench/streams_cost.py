"""Benchmark of the origins of streams: bytes between routers, and processor time.

`python -m bench streams-cost [--seconds N]`. One router begins streams at the rate of the two-year
size, while its service has two versions, and tells the routers that hold their origins. Links are
replaced by a count of the frames that would be sent.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from collections import Counter
from typing import Final

from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.link import Notice, NoticeHub, OriginKnowledge, OriginReply, OriginRequest
from gypsumrouter.link.frames import HEADER_BYTES
from gypsumrouter.link.notice_codec import encode_notice
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.peers.streams import ASKED, TELL_INTERVAL_MS, StreamExchange
from gypsumrouter.streams import StreamOrigin, StreamOrigins, VersionHistory
from gypsumrouter.util.clock import ManualClock

SECONDS: Final = 60
SIZES: Final = (3, 30, 330)
SERVICE: Final = "models"
VERSIONS: Final = ("v1", "v2")
# Of one router at the two-year size: streams that begin in a second, and that are open.
STREAMS_PER_S: Final = 60.6
OPEN_STREAMS: Final = 373
LOOKUPS: Final = 2_000
# Of a usual reply; the revision has an epoch.
LIST_AGE_MS: Final = 600
LIST_AS_OF: Final = 1_000_000_004_711
MS_PER_S: Final = 1_000
NS_PER_US: Final = 1_000


class CountingRouter:
    """A router whose notices are encoded and counted instead of sent."""

    def __init__(self, *, routers: int) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.bytes: Counter[str] = Counter()
        self.notices: Counter[str] = Counter()
        self.app = Application(
            name="r0", role=Role.FORWARDER, data_centre="dc", region="r", clock=self.clock
        )
        directory = Directory(app=self.app, journal=Journal(app=self.app))
        self.registry = RouterRegistry(
            clock=self.clock, own_address="10.0.0.0:80", data_centre="dc"
        )
        for number in range(1, routers):
            self.registry.add(f"10.0.{number // 250}.{number % 250}:80", data_centre="dc")
        self.origins = StreamOrigins(
            app=self.app,
            versions=VersionHistory(
                clock=self.clock,
                directory=directory,
                get_list_age_ms=lambda: 0,
                get_list_as_of=lambda: len(VERSIONS),
                first_start=True,
            ),
        )
        self.exchange = StreamExchange(
            app=self.app,
            routers=self.registry,
            notices=NoticeHub(),
            origins=self.origins,
            send=self._async_send,
            confirm_list=self._async_confirm,
        )
        for number, version in enumerate(VERSIONS):
            entry = Entry(
                upstream=f"i-{number}",
                state=EntryState.READY,
                service=SERVICE,
                version=version,
                address=Address(host="10.1.0.1", port=80),
            )
            directory.merge(Record(revision=1 + number, entry=entry), source="platform")

    async def _async_confirm(self) -> bool:
        return True

    async def _async_send(self, _address: str, notice: Notice) -> bool:
        self.count(notice)
        return True

    def note_all_running(self) -> None:
        """Note that all other routers were heard of just now."""
        for _, known in self.registry.items():
            known.last_seen_ms = self.clock.now_ms()

    def count(self, notice: Notice) -> None:
        """Count a notice as it would be sent."""
        _, body = encode_notice(notice)
        name = type(notice).__name__
        self.bytes[name] += HEADER_BYTES + len(body)
        self.notices[name] += 1


async def async_tell(router: CountingRouter, *, seconds: int) -> float:
    """Begin and end streams for a while; return the processor time in seconds."""
    rng = random.Random(1)
    router.exchange.async_start()
    mean_life_ms = OPEN_STREAMS / STREAMS_PER_S * MS_PER_S
    ends: list[tuple[int, str, StreamOrigin]] = []
    begun = 0.0
    started_s = time.thread_time()
    for tick in range(seconds * MS_PER_S // TELL_INTERVAL_MS):
        begun += STREAMS_PER_S * TELL_INTERVAL_MS / MS_PER_S
        now_ms = router.clock.now_ms()
        while begun >= 1:
            begun -= 1
            origin = StreamOrigin(service=SERVICE, version=rng.choice(VERSIONS))
            request_id = f"{rng.getrandbits(64):016x}"
            router.origins.note_begun(request_id, origin)
            life_ms = round(rng.expovariate(1 / mean_life_ms))
            ends.append((now_ms + life_ms, request_id, origin))
        for _, request_id, origin in [end for end in ends if end[0] <= now_ms]:
            router.origins.note_complete(request_id, origin)
        ends = [end for end in ends if end[0] > now_ms]
        router.clock.advance(TELL_INTERVAL_MS)
        for _ in range(4):
            await asyncio.sleep(0)
        if tick % (MS_PER_S // TELL_INTERVAL_MS) == 0:
            router.origins.sweep()
            router.note_all_running()
    return time.thread_time() - started_s


def measure_lookup(router: CountingRouter) -> float:
    """Return the processor time of one lookup at the router that asks, in microseconds."""
    started_ns = time.thread_time_ns()
    for number in range(LOOKUPS):
        stream = number * 0x9E3779B97F4A7C15 % 2**64
        router.origins.get_view(stream=stream, service=SERVICE)
        for _ in router.registry.rank(key=stream, count=ASKED):
            router.count(OriginRequest(stream=stream, service=SERVICE))
    return (time.thread_time_ns() - started_ns) / NS_PER_US / LOOKUPS


def measure_reply(router: CountingRouter) -> float:
    """Return the processor time of one reply, in microseconds."""
    started_ns = time.thread_time_ns()
    for number in range(LOOKUPS):
        router.origins.get_view(stream=number, service=SERVICE)
        known = OriginKnowledge.KNOWN
        router.count(
            OriginReply(
                stream=2**63 + number,
                knowledge=known,
                origin=2**31 + number,
                list_age_ms=LIST_AGE_MS,
                list_as_of=LIST_AS_OF,
            )
        )
    return (time.thread_time_ns() - started_ns) / NS_PER_US / LOOKUPS


async def async_measure(*, routers: int, seconds: int) -> tuple[float, ...]:
    """Return the figures of one size of the fleet."""
    router = CountingRouter(routers=routers)
    busy_s = await async_tell(router, seconds=seconds)
    told = router.bytes["BegunStreams"] / seconds
    notices = router.notices["BegunStreams"] / seconds
    lookup_us = measure_lookup(router)
    reply_us = measure_reply(router)
    request = router.bytes["OriginRequest"] / router.notices["OriginRequest"]
    reply = router.bytes["OriginReply"] / router.notices["OriginReply"]
    await router.app.async_stop()
    return routers, told, notices, 100 * busy_s / seconds, lookup_us, reply_us, request, reply


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench streams-cost")
    parser.add_argument("--seconds", type=int, default=SECONDS)
    seconds = parser.parse_args(argv).seconds
    headers = (
        "routers",
        "bytes/s sent",
        "notices/s",
        "% of a core",
        "lookup us",
        "reply us",
        "bytes of a request",
        "bytes of a reply",
    )
    rows = [asyncio.run(async_measure(routers=routers, seconds=seconds)) for routers in SIZES]
    print_machine()
    print_table(title="origins of streams, one router", columns=headers, rows=rows)
    print_result({str(row[0]): dict(zip(headers[1:], row[1:], strict=True)) for row in rows})
    return EXIT_OK
