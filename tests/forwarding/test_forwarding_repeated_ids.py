"""Resumed runs that repeat ids which are no plain numbers of up to 20 digits."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.forwarding.ends import event_order
from gypsumrouter.forwarding.ends.event_order import OrderFault, RelayedIds, find_order_fault
from gypsumrouter.forwarding.ends.events import EventSplitter

DIGITS_24 = "10000000000000000000000{}"


def make_events(ids: Iterable[str]) -> list[bytes]:
    return [f"id: {event_id}\ndata: x\n\n".encode() for event_id in ids]


def relay(first: Iterable[bytes], second: Iterable[bytes]) -> tuple[bytes, OrderFault | None]:
    """Return what a caller gets of the second run, and why it was broken off."""
    splitter = EventSplitter()
    for part in first:
        splitter.feed(part)
    splitter.start()
    passed = b""
    for part in second:
        passed += splitter.feed(part)
        if splitter.fault is not None:
            break
    return passed, splitter.fault


# Guards against a run that repeats events which the router itself has relayed.
@pytest.mark.parametrize("together", [False, True], ids=["apart", "together"])
@pytest.mark.parametrize("shape", ["a-{}", "1700000000000-{}", DIGITS_24, "{}.0"])
def test_run_that_repeats_known_ids_was_joined(shape: str, together: bool) -> None:
    first = make_events(shape.format(number) for number in (1, 2, 3, 4))
    second = make_events(shape.format(number) for number in (3, 4, 5))
    passed, fault = relay([b"".join(first)] if together else first, second)
    assert (passed, fault) == (b"", OrderFault.BACK)


# Guards against a proper continuation that is taken for a repetition.
@pytest.mark.parametrize("shape", ["a-{}", "1700000000000-{}", DIGITS_24, "{}.0"])
def test_run_with_new_ids_goes_on(shape: str) -> None:
    first = make_events(shape.format(number) for number in (1, 2, 3, 4))
    second = make_events(shape.format(number) for number in (5, 6))
    assert relay(first, second) == (b"".join(second), None)


# Guards against a repeated id behind the first event of such a run.
@pytest.mark.parametrize("later", ["b", "d"])
def test_later_event_that_repeats_a_known_id_was_joined(later: str) -> None:
    second = make_events(["d", "e", later])
    assert relay(make_events("abc"), second) == (b"".join(second[:2]), OrderFault.BACK)


# Guards against numbers that are forgotten once an id came that is none, or that went back.
@pytest.mark.parametrize(
    ("first", "again"), [("123x", "2"), ("1289x", "8"), ("1294", "9"), ("1294", "1"), ("12x4", "x")]
)
def test_id_that_came_before_ids_ceased_to_rise_was_joined(first: str, again: str) -> None:
    for parts in (make_events(first), [b"".join(make_events(first))]):
        assert relay(parts, make_events(again)) == (b"", OrderFault.BACK)


@given(
    first=st.lists(st.sampled_from(["1", "2", "3", "12", "x", "y", "a-1", "9" * 24]), min_size=1),
    second=st.lists(st.sampled_from(["1", "3", "12", "x", "z", "a-1", "9" * 24]), max_size=6),
    together=st.booleans(),
)
def test_no_id_that_the_caller_has_passes_a_second_time(
    first: list[str], second: list[str], together: bool
) -> None:
    begun = make_events(first)
    passed, _ = relay([b"".join(begun)] if together else begun, make_events(second))
    ids = [line[4:].decode() for line in passed.split(b"\n") if line.startswith(b"id: ")]
    assert len({*first, *ids}) == len(set(first)) + len(ids)


# Guards against ids that are remembered without a bound, or at a cost to the usual streams.
def test_ids_are_remembered_up_to_a_bound_and_only_if_they_do_not_rise() -> None:
    plain, other = EventSplitter(), RelayedIds()
    plain.feed(b"".join(make_events(map(str, range(1, 9_000)))))
    plain.feed(b"".join(make_events(map(str, range(9_000, 9_100, 10)))))
    assert not plain._relayed.known
    last = 2 * event_order.MAX_KNOWN_IDS
    for number in range(last + 1):
        other.note(f"a{number}", count=1, list_ids=lambda n=number: [f"a{n}"])  # type: ignore[misc]
    assert len(other.known) == event_order.MAX_KNOWN_IDS
    assert find_order_fault(other, f"a{last - 4_000}", begins=True) is OrderFault.BACK
    assert find_order_fault(other, "a0", begins=True) is OrderFault.BACK


# Guards against digits that are converted or compared as text.
@pytest.mark.parametrize(
    ("last", "event_id", "fault"),
    [
        ("9" * 24, "1" + "0" * 24, None),
        ("9" * 24, "9" * 23, OrderFault.BACK),
        ("9" * 24, "00" + "9" * 24, OrderFault.REPEATED),
        ("9" * 24, "x", OrderFault.NO_NUMBER),
        ("9" * 24, "9" * 6_000, None),
        ("9" * 6_000, "9" * 24, OrderFault.BACK),
    ],
)
def test_digits_of_any_length_compare_as_numbers(
    last: str, event_id: str, fault: OrderFault | None
) -> None:
    ids = RelayedIds(first=last, last=last, count=1)
    assert find_order_fault(ids, event_id, begins=True) is fault


# Guards against a stream that is cut for what its caller claims: long digits are text there.
def test_stream_taken_up_after_long_digits_passes() -> None:
    splitter = EventSplitter(taken_up_after="9" * 6_000)
    splitter.start()
    events = b"".join(make_events("123"))
    assert splitter.feed(events[:20]) + splitter.feed(events[20:]) == events
    splitter.start()
    splitter.feed(b"".join(make_events("2")))
    assert splitter.fault is OrderFault.BACK
