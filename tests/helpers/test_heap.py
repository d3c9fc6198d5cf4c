from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest

from gypsumrouter.helpers.heap import freeze_heap


class Node:
    """An object that can form a reference cycle with itself."""

    def __init__(self) -> None:
        self.other: Node | None = None


@pytest.fixture(autouse=True)
def unfreeze_after_test() -> Iterator[None]:
    yield
    gc.unfreeze()
    gc.collect()


def test_freeze_collects_garbage_and_excludes_survivors_from_collections() -> None:
    garbage, survivor = Node(), Node()
    garbage.other, survivor.other = garbage, survivor
    reference = weakref.ref(garbage)
    del garbage
    freeze_heap()
    assert reference() is None
    assert gc.get_freeze_count() > 0
    assert not any(item is survivor for item in gc.get_objects())


def test_objects_without_cycles_are_freed_after_freeze() -> None:
    node = Node()
    reference = weakref.ref(node)
    freeze_heap()
    del node
    assert reference() is None
