"""Bar chart of measured figures relative to their limits."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import matplotlib.pyplot as plt
from msgspec import Struct

matplotlib.use("Agg")


class Bar(Struct, frozen=True, kw_only=True):
    """One figure and its upper limit."""

    name: str
    value: float
    limit: float


def save_plot(path: Path, bars: Sequence[Bar]) -> None:
    """Write a bar chart of the figures as multiples of their limits."""
    figure, axes = plt.subplots(figsize=(1.6 * len(bars), 4))
    drawn = axes.bar([bar.name for bar in bars], [bar.value / bar.limit for bar in bars])
    axes.bar_label(drawn, labels=[f"{bar.value:.3g}" for bar in bars])
    axes.axhline(1.0, color="black", linewidth=1)
    axes.set_ylabel("multiple of the limit")
    axes.set_title("control at 330 routers and 930 sides")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
