"""Ranks of engines by name, the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_names(purpose: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their digests; each purpose gives an order of its own."""
    return sorted(names, key=lambda name: get_rank(purpose, name))


def get_rank(purpose: str, name: str) -> tuple[int, str]:
    """Return what a name is sorted by; the name itself settles equal digests."""
    return (xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode()), name)
