"""What a message can't carry is left out by itself and never takes the rest with it."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from gypsumrouter.const import Role
from gypsumrouter.link import (
    CrashReport,
    DataCentreLoads,
    DataCentreUpdate,
    EngineListing,
    EvacuationState,
    Hello,
    ImplicationNotice,
    InventoryUpdate,
    ListedUpstream,
    ListedUpstreams,
    Notice,
    Peer,
    PlacedPart,
    RelayedUpdate,
    RouterAddress,
    RouterLoad,
    RouterUpdate,
    StoreUpdate,
    SurvivalNotice,
    SuspectEvidence,
    SuspectVerdicts,
    VerdictNotice,
    WorkspaceUsage,
    WorkspaceWork,
    send_to_all,
)
from gypsumrouter.link.codec import decode_head, encode_head
from gypsumrouter.link.const import Kind
from gypsumrouter.link.listeners import LogOnce
from gypsumrouter.link.models import EngineStatus, Head, PoolStatus
from gypsumrouter.link.notice_codec import decode_notice, encode_notice

SURROGATE = "\ud800"
VERDICT: dict[str, Any] = {
    "generation": 1,
    "state": 1,
    "workspace": 1,
    "age_ms": 1,
    "known": False,
    "trials": 0,
    "implications": 1,
    "origin": "r",
}


# Guards against an answer of an upstream that is lost on a link since a header is no UTF-8.
@pytest.mark.parametrize("value", ["plain", "", "caf\u00e9", "caf\udce9 \udcff\udcfe", "\udce9"])
def test_answer_is_lost_with_a_header_that_is_no_utf_8(value: str) -> None:
    head = Head(status=200, headers=(("X-Before", "1"), ("X-Note", value), ("X-After", "2")))
    assert decode_head(encode_head(head)) == head


def make_router_update(*, odd: bool) -> RouterUpdate:
    return RouterUpdate(
        address="a:1",
        routers=_pick(
            RouterAddress(address="a:1", data_centre="dc"),
            RouterAddress(address="a:2", data_centre=SURROGATE),
            odd,
        ),
        routing_version=1,
        list_revision=1,
        loads=_pick(
            RouterLoad(upstream="i-1", running=1, pending_tokens=5),
            RouterLoad(upstream="i-2", running=1, pending_tokens=10**30),
            odd,
        ),
        placed=_pick(PlacedPart(part=1, upstream="i-1"), PlacedPart(part=-1, upstream="i-2"), odd),
        evacuations=_pick(
            EvacuationState(data_centre="dc", revision=1, active=True),
            EvacuationState(data_centre=SURROGATE, revision=1, active=True),
            odd,
        ),
        usage=WorkspaceUsage(
            entries=_pick(
                WorkspaceWork(name="w", work=1.0), WorkspaceWork(name=SURROGATE, work=1.0), odd
            ),
            total=1.0,
            served=1.0,
        ),
    )


def make_loads(*, odd: bool, data_centre: str = "dc") -> DataCentreLoads:
    update = make_router_update(odd=odd)
    return DataCentreLoads(
        data_centre=data_centre, alive=1, routers=("a:1",), loads=update.loads, usage=update.usage
    )


def make_data_centre_update(*, odd: bool) -> DataCentreUpdate:
    update = make_router_update(odd=odd)
    return DataCentreUpdate(
        address="a:1",
        loads=make_loads(odd=odd),
        routing_version=1,
        list_revision=1,
        placed=update.placed,
        evacuations=update.evacuations,
    )


def make_relayed_update(*, odd: bool) -> RelayedUpdate:
    loads = _pick(make_loads(odd=odd), make_loads(odd=odd, data_centre=SURROGATE), odd)
    return RelayedUpdate(loads=loads, placed=make_router_update(odd=odd).placed)


def make_store_update(*, odd: bool) -> StoreUpdate:
    return StoreUpdate(
        routing_version=1,
        routing_as_of=1,
        list_newest=1,
        list_as_of=1,
        evacuations=make_router_update(odd=odd).evacuations,
    )


def make_list(*, odd: bool) -> ListedUpstreams:
    """Without the odd entry of revision 3, a list up to revision 4 holds up to revision 2."""
    sound = ListedUpstream(revision=4, upstream="i-1", state="ready")
    entries = _pick(
        sound, ListedUpstream(revision=3, upstream="i-2", state="ready", slots=10**30), odd
    )
    return ListedUpstreams(entries=entries, as_of=4 if odd else 2, complete=odd, changes=4)


def make_inventory(*, odd: bool) -> InventoryUpdate:
    engines = _pick(
        EngineListing(upstream="i-1", parts=(1, 2)),
        EngineListing(upstream="i-2", parts=(1, 2**64)),
        odd,
    )
    return InventoryUpdate(complete=True, engines=engines)


def make_evidence(*, odd: bool) -> SuspectEvidence:
    implications = _pick(
        ImplicationNotice(subject=1, workspace=1, content=1, companions=(1,)),
        ImplicationNotice(subject=1, workspace=1, content=1, companions=(2**16,)),
        odd,
    )
    return SuspectEvidence(
        crashes=(CrashReport(upstream="i-1", age_ms=1, implications=implications),),
        survivals=_pick(
            SurvivalNotice(subject=1, workspace=1, age_ms=1),
            SurvivalNotice(subject=1, workspace=2**32, age_ms=1),
            odd,
        ),
    )


def make_verdicts(*, odd: bool) -> SuspectVerdicts:
    verdicts = _pick(
        VerdictNotice(subject=1, **VERDICT),
        VerdictNotice(subject=2, **(VERDICT | {"trials": 2**16})),
        odd,
    )
    return SuspectVerdicts(data_centre="dc", verdicts=verdicts)


def make_pool_status(*, odd: bool) -> PoolStatus:
    sound: dict[str, Any] = {"stamp_ms": 1, "engine": "e", "up": True, "role": "r", "models": ()}
    entries = _pick(
        EngineStatus(name="n", **sound), EngineStatus(name="o", **(sound | {"stamp_ms": -1})), odd
    )
    return PoolStatus(pool="p", entries=entries)


def _pick(sound: Any, invalid: Any, odd: bool) -> tuple[Any, ...]:
    return (invalid, sound, invalid) if odd else (sound,)


@pytest.mark.parametrize(
    "make",
    [
        make_router_update,
        make_data_centre_update,
        make_relayed_update,
        make_store_update,
        make_list,
        make_inventory,
        make_evidence,
        make_verdicts,
        make_pool_status,
    ],
)
def test_one_item_out_of_range_kept_the_others_from_the_peer(make: Any) -> None:
    kind, body = encode_notice(make(odd=True))
    assert decode_notice(kind, body) == make(odd=False)


@pytest.mark.parametrize(("revision", "as_of"), [(9, 7), (7, 6), (1, 0), (0, 0), (10**30, 7)])
def test_list_that_lacks_an_entry_told_its_peer_the_newest_revision(
    revision: int, as_of: int
) -> None:
    """The peer would never ask for that entry again, and send requests to a leaving upstream."""
    odd = ListedUpstream(revision=revision, upstream="i-2", state="leaving", slots=10**30)
    kind, body = encode_notice(ListedUpstreams(entries=(odd,), as_of=7, complete=True))
    assert decode_notice(kind, body) == ListedUpstreams(entries=(), as_of=as_of)


class RecordingPeer(Peer):
    """A peer that keeps the kinds of the frames that are sent to it."""

    def __init__(self) -> None:
        self.hello = Hello(name="r", role=Role.FORWARDER, incarnation=1)
        self.kinds: list[Kind] = []

    @property
    def writable(self) -> bool:
        return True

    def send_encoded(self, kind: Kind, body: bytes) -> None:
        self.kinds.append(kind)


def test_notice_that_can_not_be_encoded_ended_the_task_that_sends(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gypsumrouter.link.notices._LOGGED", LogOnce())
    peer = RecordingPeer()
    notice: Notice = RouterUpdate(
        address="a:1", routers=(), routing_version=10**30, list_revision=1
    )
    with caplog.at_level(logging.ERROR):
        for _ in range(100):
            assert not peer.send(notice)
            send_to_all([peer], notice)
    assert peer.kinds == []
    assert len(caplog.records) == 1


def test_persistent_odd_item_wrote_a_log_line_for_each_message(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gypsumrouter.link.schema._LOGGED", LogOnce())
    with caplog.at_level(logging.ERROR):
        for _ in range(100):
            encode_notice(make_list(odd=True))
    assert len(caplog.records) == 1


def test_store_update_with_many_evacuations_closed_the_link() -> None:
    evacuations = tuple(
        EvacuationState(data_centre=f"{number:0190d}", revision=number, active=True)
        for number in range(400)
    )
    notice = StoreUpdate(
        routing_version=1, routing_as_of=1, list_newest=1, list_as_of=1, evacuations=evacuations
    )
    kind, body = encode_notice(notice)
    assert decode_notice(kind, body) == notice
