"""Printed output of the demo."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import Final

from bench.report import print_result, print_table
from bench.tally import Tally
from gypsumrouter.const import MS_PER_S
from gypsumrouter.demo.measure import SkewSampler

PERCENTILES: Final = 100
P50: Final = 50
P95: Final = 95
NO_VALUE: Final = "-"


def print_progress(tallies: Sequence[Tally], *, elapsed_ms: int) -> None:
    """Print the progress of the run."""
    requests = sum(tally.requests for tally in tallies)
    whole = sum(tally.whole for tally in tallies)
    refused = sum(tally.refused.total() for tally in tallies)
    unknown = sum(tally.unknown.total() for tally in tallies)
    print(
        f"{elapsed_ms / MS_PER_S:4.0f} s: {requests} requests, {whole} whole, "
        f"{refused} tries refused as not run, {unknown} tries unknown",
        flush=True,
    )


def print_deployment(name: str, tally: Tally, sampler: SkewSampler) -> None:
    """Print the latencies, cache reuse and skew of one deployment."""
    rows = [
        (
            caller_class,
            len(times),
            format_ms(find_percentile(times, P50)),
            format_ms(find_percentile(times, P95)),
        )
        for caller_class, times in sorted(tally.first_token_ms.items())
    ]
    print_table(
        title=f"{name}: chats by class of callers",
        columns=("class", "answers", "first token p50", "first token p95"),
        rows=rows,
    )
    print_failed_tries(tally)
    skew = NO_VALUE if sampler.load_skew is None else f"{sampler.load_skew:.2f}"
    print(
        f"answers {tally.whole} of {tally.requests}, cache reuse {tally.reuse:.1%}\n"
        f"skew (largest over mean): tokens produced {sampler.work_skew:.2f}, load above "
        f"{sampler.floor} requests {skew}; busiest engine {sampler.peak_load} requests"
    )


def print_failed_tries(tally: Tally) -> None:
    """Print the error codes of failed tries, if there are any."""
    codes = {"not run": tally.refused, "unknown": tally.unknown}
    for executed, counts in codes.items():
        if counts:
            reasons = ", ".join(f"{code} {count}" for code, count in counts.most_common())
            print(f"tries without an answer, {executed}: {reasons}")


def print_control_traffic(*, router_bytes_s: float, side_bytes_s: float) -> None:
    """Print the mean control traffic per router and per side."""
    print(
        f"\ncontrol traffic of one router {router_bytes_s:,.0f} bytes/s, "
        f"of one side {side_bytes_s:,.0f} bytes/s"
    )


def print_outcome(tallies: Sequence[Tally], *, repeated_executions: int) -> bool:
    """Print the totals as the last line and return whether the run passed.

    It passes if there was a request, each response was complete, and none was refused at each try,
    lost, doubled or crossed (the response to another request). `repeated_executions` are
    at-most-once calls that upstreams executed more than once; they count as doubled even if no
    caller noticed.
    """
    requests = sum(tally.requests for tally in tallies)
    whole = sum(tally.whole for tally in tallies)
    refused = sum(tally.not_run for tally in tallies)
    lost = sum(tally.lost + tally.truncated for tally in tallies)
    doubled = max(sum(tally.doubled for tally in tallies), repeated_executions)
    crossed = sum(tally.crossed for tally in tallies)
    print_result(
        {
            "requests": requests,
            "whole": whole,
            "refused": refused,
            "lost": lost,
            "doubled": doubled,
            "crossed": crossed,
        }
    )
    return requests > 0 and whole == requests and refused == lost == doubled == crossed == 0


def find_percentile(times: Sequence[float], percentile: int) -> float | None:
    """Return a percentile, or None without values."""
    if len(times) < 2:
        return times[0] if times else None
    return statistics.quantiles(times, n=PERCENTILES, method="inclusive")[percentile - 1]


def format_ms(value: float | None) -> str:
    """Format a duration for a table."""
    return NO_VALUE if value is None else f"{value:.0f} ms"
