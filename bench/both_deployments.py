"""Runs a benchmark for both deployments concurrently, each in a process, and merges the results."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from typing import Final

from bench.report import Value, print_result
from bench.stage import DEPLOYMENTS
from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

DEFAULT_SEED: Final = 5


def add_common_options(parser: argparse.ArgumentParser) -> None:
    """Add the options shared by the benchmarks that compare policies."""
    parser.add_argument("--deployment", choices=tuple(DEPLOYMENTS), help="run only this deployment")
    parser.add_argument("--policies", nargs="+", help="run only these policies")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)


async def async_run_deployments(bench: str, argv: list[str]) -> int:
    """Run a benchmark for each deployment concurrently and print the merged JSON result."""
    outputs = await asyncio.gather(*(_async_run(bench, argv, name) for name in DEPLOYMENTS))
    figures: dict[str, Value] = {}
    for name, (code, output) in zip(DEPLOYMENTS, outputs, strict=True):
        table, _, last = output.strip().rpartition("\n")
        print(table)
        if code != 0:
            print(last)
            return code
        figures[name] = json.loads(last)
    print_result(figures)
    return 0


async def _async_run(bench: str, argv: list[str], deployment: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench",
        bench,
        "--deployment",
        deployment,
        *argv,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, ENV_IO_URING: IO_URING_OFF},
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()
