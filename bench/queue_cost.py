"""Benchmark of the admission queue: processor time by size of the deployment and of the queue.

`python -m bench queue-cost [--rounds N]`. Each round admits one request under contention, while
others wait; placements are not included (see `placement-cost`).
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


async def async_measure(*, workspaces: int, upstreams: int, peers: int, waiting: int) -> float:
    """Return the mean processor time of an admission and of a release in microseconds."""
    clock = ManualClock(now_ms=100_000)
    placer = make_placer(upstreams=upstreams, peers=peers)
    reader = ServiceWorkReader(clock=clock, placer=placer)
    queue = ContentionQueue(
        max_waiting=max(1, waiting), shares=NoShares(), get_work=lambda: reader.read(SERVICE)
    )
    for number in range(waiting):
        claim = make_claim(number, workspaces=workspaces, backlog_ms=350_000)
        queue.decide(claim, sequence=number, now_ms=100_000, returned=Return.UNKNOWN)
    spent_s = 0.0
    backlog_ms = 350_000 if waiting else 0
    for number in range(ROUNDS):
        # The sums over all upstreams are computed again every 50 ms, at 100 requests a second.
        clock.advance(10)
        claim = make_claim(waiting + number, workspaces=workspaces, backlog_ms=backlog_ms)
        begin_s = time.process_time()
        outcome = queue.decide(
            claim, sequence=waiting + number, now_ms=clock.now_ms(), returned=Return.UNKNOWN
        )
        queue.release(now_ms=clock.now_ms())
        spent_s += time.process_time() - begin_s
        if isinstance(outcome, Waiting):
            queue.remove(outcome)
    return spent_s / ROUNDS * US_PER_S


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    argparse.ArgumentParser(prog="python -m bench queue-cost").parse_args(argv)
    rows = []
    result: dict[str, float] = {}
    for workspaces, upstreams, peers in SIZES:
        costs = [
            asyncio.run(
                async_measure(
                    workspaces=workspaces, upstreams=upstreams, peers=peers, waiting=waiting
                )
            )
            for waiting in WAITING
        ]
        rows.append((workspaces, upstreams, *(round(cost) for cost in costs)))
        result |= {
            f"{waiting} waiting at {upstreams}": round(cost)
            for waiting, cost in zip(WAITING, costs, strict=True)
        }
    print_machine()
    print_table(
        title=f"processor time of an admission, microseconds (budget {BUDGET_US})",
        columns=("workspaces", "upstreams", *(f"{waiting} waiting" for waiting in WAITING)),
        rows=rows,
    )
    print_result(result)
    return EXIT_OK
