"""Straight lines through measured points, and what they say about another size."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct


class Line(Struct, frozen=True, kw_only=True):
    """A quantity that grows by `slope` with each unit from `base` on."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the quantity at a size; it is never below 0."""
        return max(0.0, self.base + self.slope * size)


def fit_line(points: Iterable[tuple[float, float]]) -> Line:
    """Return the line of least squares through points of size and quantity.

    A single size gives a flat line. Raises ValueError without any point.
    """
    pairs = list(points)
    if not pairs:
        raise ValueError("a line needs at least one point")
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    if spread == 0:
        return Line(base=mean_y, slope=0.0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return Line(base=mean_y - slope * mean_x, slope=slope)


def fit_kinds(points: Sequence[tuple[float, Mapping[str, float]]]) -> dict[str, Line]:
    """Return a line for each kind; a kind that is missing at a size counts 0 there."""
    kinds = sorted({kind for _, rates in points for kind in rates})
    return {
        kind: fit_line((size, rates.get(kind, 0.0)) for size, rates in points) for kind in kinds
    }


def sum_at(lines: Mapping[str, Line], size: float) -> float:
    """Return the sum of all kinds at a size."""
    return sum(line.at(size) for line in lines.values())


def get_mean_rate(amount: float, *, times: float, seconds: float = 86_400) -> float:
    """Return what something that comes a number of times in a period costs in each second."""
    return amount * times / seconds
