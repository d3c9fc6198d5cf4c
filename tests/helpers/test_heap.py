from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest

from gypsumrouter.helpers.heap import freeze_heap


class Node:
    """Something that may point at itself."""

    def __init__(self) -> None:
        self.other: Node | None = None


@pytest.fixture(autouse=True)
def unfrozen() -> Iterator[None]:
    yield
    gc.unfreeze()
    gc.collect()


def test_garbage_is_freed_first_and_what_stays_is_left_out_of_collections() -> None:
    lost, kept = Node(), Node()
    lost.other, kept.other = lost, kept
    watched = weakref.ref(lost)
    del lost
    freeze_heap()
    assert watched() is None
    assert gc.get_freeze_count() > 0
    assert not any(item is kept for item in gc.get_objects())


def test_what_is_no_cycle_is_still_freed_after_the_heap_was_settled() -> None:
    node = Node()
    watched = weakref.ref(node)
    freeze_heap()
    del node
    assert watched() is None
