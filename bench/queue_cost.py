"""Benchmark of the admission queue: processor time by size of the deployment and of the queue.

`python -m bench queue-cost`. Each round admits one request under contention, while others wait,
and makes one release check, as every 10 ms. Placements are not included (see `placement-cost`).
"""

from __future__ import annotations

import argparse
import asyncio
import time
from typing import Final

from bench.placement_cost import SERVICE, make_placer
from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK
from gypsumrouter.contention import Claim, Expected, Return
from gypsumrouter.contention.models import NoShares, Waiting
from gypsumrouter.contention.queue import ContentionQueue
from gypsumrouter.forwarding.service_work import ServiceWorkReader
from gypsumrouter.util.clock import ManualClock

ROUNDS: Final = 2_000
US_PER_S: Final = 1_000_000
# Numbers of workspaces, of upstreams and of peers that report their loads.
SIZES: Final = ((24, 39, 18), (9_500, 930, 45))
WAITING: Final = (0, 32, 512)
CLASSES: Final = 3
# The budget of each design decision at full size.
BUDGET_US: Final = 300


def make_claim(number: int, *, workspaces: int, backlog_ms: float) -> Claim:
    """Return the claim of a request with a backlog at the best upstream."""
    return Claim(
        request_id=f"r{number}",
        service=SERVICE,
        caller_class=f"c{number % CLASSES}",
        workspace=f"w{number % workspaces}",
        priority=number % CLASSES,
        plain=False,
        digest=number,
        target_ms=400_000,
        remaining_ms=4_000_000,
        hold_ms=200_000,
        route_target_ms=400_000,
        estimate=lambda: Expected(backlog_ms=backlog_ms, own_ms=50),
    )


async def async_measure(
    *, workspaces: int, upstreams: int, peers: int, waiting: int
) -> tuple[float, float]:
    """Return the mean processor times of an admission and of a release check in microseconds."""
    clock = ManualClock(now_ms=100_000)
    placer = make_placer(upstreams=upstreams, peers=peers)
    reader = ServiceWorkReader(clock=clock, placer=placer)
    queue = ContentionQueue(
        max_waiting=max(1, waiting), shares=NoShares(), get_work=lambda: reader.read(SERVICE)
    )
    for number in range(waiting):
        claim = make_claim(number, workspaces=workspaces, backlog_ms=350_000)
        queue.decide(claim, sequence=number, now_ms=100_000, returned=Return.UNKNOWN)
    admission_s = release_s = 0.0
    backlog_ms = 350_000 if waiting else 0
    for number in range(ROUNDS):
        clock.advance(10)
        claim = make_claim(waiting + number, workspaces=workspaces, backlog_ms=backlog_ms)
        begin_s = time.process_time()
        outcome = queue.decide(
            claim, sequence=waiting + number, now_ms=clock.now_ms(), returned=Return.UNKNOWN
        )
        if isinstance(outcome, Waiting):
            queue.release_after_arrival(outcome, now_ms=clock.now_ms())
        admitted_s = time.process_time()
        queue.release(now_ms=clock.now_ms())
        admission_s += admitted_s - begin_s
        release_s += time.process_time() - admitted_s
        if isinstance(outcome, Waiting):
            queue.remove(outcome)
    return admission_s / ROUNDS * US_PER_S, release_s / ROUNDS * US_PER_S


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    argparse.ArgumentParser(prog="python -m bench queue-cost").parse_args(argv)
    rows = []
    result: dict[str, float] = {}
    for workspaces, upstreams, peers in SIZES:
        for waiting in WAITING:
            admission_us, release_us = asyncio.run(
                async_measure(
                    workspaces=workspaces, upstreams=upstreams, peers=peers, waiting=waiting
                )
            )
            rows.append((workspaces, upstreams, waiting, round(admission_us), round(release_us)))
            result[f"admission at {upstreams}, {waiting} waiting"] = round(admission_us)
            result[f"release check at {upstreams}, {waiting} waiting"] = round(release_us)
    print_machine()
    print_table(
        title=f"processor time in microseconds; the budget of an admission is {BUDGET_US}",
        columns=("workspaces", "upstreams", "waiting", "admission", "release check"),
        rows=rows,
    )
    print_result(result)
    return EXIT_OK
