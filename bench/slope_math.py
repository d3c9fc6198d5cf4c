"""Linear fits of measured points, for extrapolation to other fleet sizes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct


class Line(Struct, frozen=True, kw_only=True):
    """A linear function of the size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value at a size, at least 0."""
        return max(0.0, self.base + self.slope * size)


def fit_line(points: Iterable[tuple[float, float]]) -> Line:
    """Return the least-squares fit of pairs of size and value.

    Points of a single size give a constant. Raises ValueError if there are no points.
    """
    pairs = list(points)
    if not pairs:
        raise ValueError("cannot fit a line: expected at least one point, got none")
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    if spread == 0:
        return Line(base=mean_y, slope=0.0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return Line(base=mean_y - slope * mean_x, slope=slope)


def fit_kinds(points: Sequence[tuple[float, Mapping[str, float]]]) -> dict[str, Line]:
    """Return a fit for each kind; a kind that is missing at a size counts as 0."""
    kinds = sorted({kind for _, rates in points for kind in rates})
    return {
        kind: fit_line((size, rates.get(kind, 0.0)) for size, rates in points) for kind in kinds
    }


def sum_at(lines: Mapping[str, Line], size: float) -> float:
    """Return the sum of all lines at a size."""
    return sum(line.at(size) for line in lines.values())


def get_mean_rate(amount: float, *, times: float, seconds: float = 86_400) -> float:
    """Return the mean per second of an amount spent `times` times in a period, by default a day."""
    return amount * times / seconds
