"""Encodes and decodes the list of upstreams that routers send to each other."""

from __future__ import annotations

from typing import Any

from gypsumrouter.link.router_models import ListedUpstream, ListedUpstreams
from gypsumrouter.link.schema import SCHEMA, open_message, to_bytes, write_list


def encode_listed_upstreams(notice: ListedUpstreams) -> bytes:
    """Encode the body of a LISTED_UPSTREAMS frame.

    A list that lacks an entry is not marked as complete, since the peer would remove that upstream.
    It holds up to the revision before that entry, so that the peer asks for the rest again.
    """
    message = SCHEMA.ListedUpstreams.new_message(changes=notice.changes)
    left_out = write_list(message, "entries", notice.entries, _write_listed)
    message.complete = notice.complete and not left_out
    first_left_out = min((entry.revision for entry in left_out), default=notice.as_of + 1)
    message.asOf = min(notice.as_of, max(0, first_left_out - 1))
    message.confirms = 0 if left_out else notice.confirms
    return to_bytes(message)


def _write_listed(target: Any, entry: ListedUpstream) -> None:
    target.revision = entry.revision
    target.upstream = entry.upstream
    target.state = entry.state
    target.service = entry.service
    target.address = entry.address
    target.dataCentre = entry.data_centre
    target.slots = entry.slots
    target.startedMs = entry.started_ms
    target.warmUpMs = entry.warm_up_ms
    target.version = entry.version


def decode_listed_upstreams(body: bytes) -> ListedUpstreams:
    """Decode the body of a LISTED_UPSTREAMS frame; raises FrameError."""
    with open_message(SCHEMA.ListedUpstreams, body) as message:
        return ListedUpstreams(
            entries=tuple(
                ListedUpstream(
                    revision=entry.revision,
                    upstream=entry.upstream,
                    state=entry.state,
                    service=entry.service,
                    address=entry.address,
                    data_centre=entry.dataCentre,
                    slots=entry.slots,
                    started_ms=entry.startedMs,
                    warm_up_ms=entry.warmUpMs,
                    version=entry.version,
                )
                for entry in message.entries
            ),
            as_of=message.asOf,
            complete=message.complete,
            changes=message.changes,
            confirms=message.confirms,
        )
