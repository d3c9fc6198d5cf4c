"""Rendezvous ranks of engine names, the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_names(purpose: str, names: Iterable[str]) -> list[str]:
    """Return names ordered by their digests; the order differs by purpose."""
    return sorted(names, key=lambda name: get_rank(purpose, name))


def get_rank(purpose: str, name: str) -> tuple[int, str]:
    """Return the sort key of a name; the name itself breaks ties."""
    return (xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode()), name)
