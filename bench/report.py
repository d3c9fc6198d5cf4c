"""Output of benchmarks: readable tables, and a JSON object as the last line."""

from __future__ import annotations

import json
import os
import platform
from collections.abc import Mapping, Sequence

Value = float | int | str | bool | None | Mapping[str, "Value"]


def print_table(*, title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table with columns padded to their widest cells."""
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max([len(name), *(len(row[index]) for row in cells)]) for index, name in enumerate(columns)
    ]
    print(f"\n{title}")
    print("  ".join(name.ljust(width) for name, width in zip(columns, widths, strict=True)))
    print("  ".join("-" * width for width in widths))
    for row in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)))


def print_machine() -> None:
    """Print the machine, the Python version and the current load average."""
    load = os.getloadavg()[0]
    print(
        f"machine: {os.cpu_count()} cores, {platform.machine()}, Python "
        f"{platform.python_version()}, load average at the start {load:.1f}"
    )


def print_result(figures: Mapping[str, Value]) -> None:
    """Print the JSON result; call it last."""
    print(json.dumps(figures, sort_keys=True), flush=True)


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:.4g}" if abs(cell) < 1000 else f"{cell:,.0f}"
    return str(cell)
