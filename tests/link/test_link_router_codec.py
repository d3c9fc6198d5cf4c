"""Notices between routers keep every field when they are encoded and decoded."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.link import (
    BegunStream,
    BegunStreams,
    CrashNotice,
    CrashReport,
    ImplicationNotice,
    ListedUpstream,
    ListedUpstreams,
    Notice,
    OriginKnowledge,
    OriginReply,
    OriginRequest,
    SurvivalNotice,
    SuspectEvidence,
    SuspectVerdicts,
    VerdictNotice,
)
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.link.router_codec import decode_begun_streams, decode_origin_reply
from gypsumrouter.link.schema import SCHEMA, to_packed

TEXTS = st.text(max_size=12)
UINT32 = st.integers(0, 2**32 - 1)
UINT64 = st.integers(0, 2**64 - 1)
UINT16 = st.integers(0, 2**16 - 1)
IMPLICATIONS = st.builds(
    ImplicationNotice,
    subject=UINT64,
    workspace=UINT32,
    content=UINT16,
    companions=st.lists(UINT16, max_size=4).map(tuple),
)
VERDICTS = st.builds(
    VerdictNotice,
    subject=UINT64,
    generation=UINT32,
    state=st.integers(0, 255),
    workspace=UINT32,
    age_ms=UINT32,
    known=st.booleans(),
    trials=UINT16,
    implications=UINT16,
    origin=TEXTS,
    crashes=st.lists(
        st.builds(CrashNotice, upstream=TEXTS, router=TEXTS, age_ms=UINT32), max_size=2
    ).map(tuple),
)
LISTED = st.builds(
    ListedUpstream,
    revision=UINT64,
    upstream=TEXTS,
    state=TEXTS,
    service=TEXTS,
    address=TEXTS,
    data_centre=TEXTS,
    slots=UINT32,
    started_ms=UINT64,
    warm_up_ms=UINT32,
    version=TEXTS,
)
NOTICES = st.one_of(
    st.builds(
        ListedUpstreams,
        entries=st.lists(LISTED, max_size=3).map(tuple),
        as_of=UINT64,
        complete=st.booleans(),
        changes=UINT64,
        confirms=UINT64,
    ),
    st.builds(
        BegunStreams,
        streams=st.lists(st.builds(BegunStream, stream=UINT64, origin=UINT32)).map(tuple),
    ),
    st.builds(OriginRequest, stream=UINT64, service=TEXTS),
    st.builds(
        SuspectEvidence,
        crashes=st.lists(
            st.builds(
                CrashReport,
                upstream=TEXTS,
                age_ms=UINT32,
                implications=st.lists(IMPLICATIONS, max_size=3).map(tuple),
            ),
            max_size=3,
        ).map(tuple),
        survivals=st.lists(
            st.builds(SurvivalNotice, subject=UINT64, workspace=UINT32, age_ms=UINT32), max_size=3
        ).map(tuple),
    ),
    st.builds(
        SuspectVerdicts, data_centre=TEXTS, verdicts=st.lists(VERDICTS, max_size=3).map(tuple)
    ),
    st.builds(
        OriginReply,
        stream=UINT64,
        knowledge=st.sampled_from(OriginKnowledge),
        origin=UINT32,
        list_age_ms=UINT32,
        list_as_of=UINT64,
    ),
)


@given(notice=NOTICES)
def test_notice_is_the_same_after_encoding_and_decoding(notice: Notice) -> None:
    kind, body = encode_notice(notice)
    assert decode_notice(kind, body) == notice


def test_damaged_list_of_streams_is_rejected() -> None:
    body = to_packed(SCHEMA.BegunStreams.new_message(streams=b"x" * 13))
    with pytest.raises(FrameError):
        decode_begun_streams(body)


def test_unknown_knowledge_of_a_stream_is_rejected() -> None:
    body = to_packed(SCHEMA.OriginReply.new_message(stream=1, knowledge=9))
    with pytest.raises(FrameError):
        decode_origin_reply(body)
