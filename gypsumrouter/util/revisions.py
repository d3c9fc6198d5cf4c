"""Revisions of the platform's store that keep their order when it is restored from a copy.

A restored store counts on from the copy and gives numbers out again that it had given out before.
So a revision is its number together with the epoch that it belongs to, the count of restorations,
and a later epoch goes before any number. Both are packed into one integer, in decimal, so that
whatever compares, sends or shows a revision needs no other type: 2000000000037 is number 37 of
epoch 2.
"""

from __future__ import annotations

from typing import Final

NUMBERS_PER_EPOCH: Final = 10**12
# Revisions are sent in 64 bits.
MAX_EPOCH: Final = 10**6


def make_revision(*, epoch: int, number: int) -> int:
    """Return the revision of a number in an epoch; raises ValueError for what is out of range."""
    if not (0 <= number < NUMBERS_PER_EPOCH and 0 <= epoch <= MAX_EPOCH):
        raise ValueError(f"no revision: number {number} of epoch {epoch}")
    return epoch * NUMBERS_PER_EPOCH + number


def get_epoch(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision // NUMBERS_PER_EPOCH


def get_number(revision: int) -> int:
    """Return the number that the store gave out within the epoch."""
    return revision % NUMBERS_PER_EPOCH
