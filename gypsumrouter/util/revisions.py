"""Revisions of the platform's store that stay ordered when it is restored from a backup.

A restored store continues counting from the backup and so assigns some numbers a second time. A
revision therefore consists of the epoch, which counts the restores, and the number within the
epoch. Both are packed into one decimal integer that orders by epoch first: 2000000000037 is number
37 of epoch 2.
"""

from __future__ import annotations

from typing import Final

NUMBERS_PER_EPOCH: Final = 10**12
# Keeps revisions within the 64 bits that messages have for them.
MAX_EPOCH: Final = 10**6


def make_revision(*, epoch: int, number: int) -> int:
    """Return the revision of a number in an epoch; raises ValueError if one is out of range."""
    if not (0 <= number < NUMBERS_PER_EPOCH and 0 <= epoch <= MAX_EPOCH):
        raise ValueError(f"revision out of range: number {number} of epoch {epoch}")
    return epoch * NUMBERS_PER_EPOCH + number


def get_epoch(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision // NUMBERS_PER_EPOCH


def get_number(revision: int) -> int:
    """Return the number of a revision within its epoch."""
    return revision % NUMBERS_PER_EPOCH
