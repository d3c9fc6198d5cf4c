"""Command line of the benchmarks: `python -m bench NAME [OPTIONS]`."""

from __future__ import annotations

import os

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

os.environ[ENV_IO_URING] = IO_URING_OFF

import importlib
import sys
from typing import Final

BENCHES: Final = {
    "relay": "bench.relay",
    "faults": "bench.faults",
    "churn": "bench.churn",
    "surge": "bench.surge",
    "control": "bench.control",
    "config": "bench.config",
    "slopes": "bench.slopes",
    "orders": "bench.orders",
    "decisions": "bench.decisions",
    "placements": "bench.placements",
    "compare": "bench.compare",
    "fuzz": "bench.fuzz",
    "placement-cost": "bench.placement_cost",
    "shares-cost": "bench.shares_cost",
    "queue-cost": "bench.queue_cost",
    "streams-cost": "bench.streams_cost",
    "crashes": "bench.crash_records",
    "crashes-cost": "bench.crashes_cost",
    "journal": "bench.journal_cost",
    "soak": "bench.soak",
    "ablate": "bench.ablate",
    "losses": "bench.losses",
    "silences": "bench.silences",
}
EXIT_USAGE: Final = 2


def main(argv: list[str]) -> int:
    """Run the benchmark named by the first argument and return its exit code."""
    if not argv or argv[0] not in BENCHES:
        print(f"usage: python -m bench NAME [OPTIONS], NAME one of: {', '.join(BENCHES)}")
        return EXIT_USAGE
    module = importlib.import_module(BENCHES[argv[0]])
    result: int = module.main(argv[1:])
    return result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
