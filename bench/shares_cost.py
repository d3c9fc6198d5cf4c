"""Benchmark of the fair shares of workspaces: processor time of a request.

`python -m bench shares-cost [--rounds N]`. Each round counts the arrival of a request, counts
three of four as sent and served, and asks for the excess of its workspace. The clock is driven at
the rate of requests of a router, so that the level is recomputed as often as in operation.
"""

from __future__ import annotations

import argparse
import random
import time
from typing import Final

from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK
from gypsumrouter.contention import WorkspaceShares
from gypsumrouter.link import WorkspaceUsage, WorkspaceWork
from gypsumrouter.peers.usage import get_entry_count

ROUNDS: Final = 40_000
NS_PER_US: Final = 1_000
# Interval of the requests of one router, at 60 requests a second.
REQUEST_INTERVAL_MS: Final = 16
# Peers send a summary about as often as this many requests arrive.
ROUNDS_PER_SUMMARY: Final = 60
TRACKED: Final = 256
# Numbers of workspaces and of peers that report their work.
SIZES: Final = ((24, 2), (24, 10), (9_500, 110))
COST: Final = 1_000.0


def make_usage(rng: random.Random, workspaces: int, entry_count: int) -> WorkspaceUsage:
    """Return a summary of a peer whose largest workspaces differ from those of other peers."""
    names = rng.sample(range(workspaces), entry_count)
    entries = tuple(
        WorkspaceWork(name=f"workspace-{name}", work=9_000.0, sent=7_000.0) for name in names
    )
    return WorkspaceUsage(entries=entries, total=200_000.0, served=150_000.0)


def measure(*, workspaces: int, peers: int, rounds: int) -> tuple[float, float, float, float]:
    """Return microseconds: means of counting and of the excess; its 99th percentile and maximum."""
    rng = random.Random(1)
    shares = WorkspaceShares(tracked=TRACKED)
    # A few workspaces are large: their frequency falls with the square root of their rank.
    weights = [(rank + 1) ** -0.5 for rank in range(workspaces)]
    names = [f"workspace-{number}" for number in range(workspaces)]
    counting_ns = 0
    excess_us = []
    for number, name in enumerate(rng.choices(names, weights, k=rounds)):
        now_ms = 1_000 + number * REQUEST_INTERVAL_MS
        if number % ROUNDS_PER_SUMMARY == 0:
            for peer in range(peers):
                usage = make_usage(rng, workspaces, get_entry_count(peers))
                shares.set_peer_usage(f"p{peer}", usage, now_ms=now_ms)
        begin_ns = time.thread_time_ns()
        shares.note(workspace=name, cost=COST, now_ms=now_ms)
        if number % 4:
            shares.note_sent(workspace=name, cost=COST, now_ms=now_ms)
            shares.note_served(cost=COST, now_ms=now_ms)
        counted_ns = time.thread_time_ns()
        shares.get_excess(name, now_ms=now_ms)
        excess_us.append((time.thread_time_ns() - counted_ns) / NS_PER_US)
        counting_ns += counted_ns - begin_ns
    excess_us.sort()
    return (
        counting_ns / NS_PER_US / rounds,
        sum(excess_us) / rounds,
        excess_us[rounds * 99 // 100],
        excess_us[-1],
    )


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench shares-cost")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    rounds = parser.parse_args(argv).rounds
    rows = []
    result: dict[str, float] = {}
    for workspaces, peers in SIZES:
        spent = [
            round(figure, 1)
            for figure in measure(workspaces=workspaces, peers=peers, rounds=rounds)
        ]
        rows.append((workspaces, peers, *spent))
        case = f"{workspaces} workspaces, {peers} peers"
        result |= {f"counting, {case}": spent[0], f"excess, {case}": spent[1]}
    print_machine()
    print_table(
        title="processor time of a request in the fair shares, microseconds",
        columns=("workspaces", "peers", "counting", "excess", "excess p99", "excess max"),
        rows=rows,
    )
    print_result(result)
    return EXIT_OK
