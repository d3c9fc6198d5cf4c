"""Mutation fuzzing of all decoders, which must decode a message or raise an expected error.

`python -m bench fuzz [--minutes M] [--seed N]` changes, duplicates, deletes and inserts bytes of
valid messages. Each unexpected error is printed with the seed and round that reproduce it. The last
line is a JSON object; the exit code is nonzero after an unexpected error.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from typing import Any, Final

from msgspec import Struct

from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.exceptions import DocumentInvalid, SettingsInvalid
from gypsumrouter.forwarding.models import read_load_report
from gypsumrouter.forwarding.request_journal import read_event_number
from gypsumrouter.helpers.http_headers import (
    find_keep_alive_timeout,
    read_keep_alive_ms,
    read_retry_after_ms,
)
from gypsumrouter.helpers.numbers import read_decimal, read_hexadecimal
from gypsumrouter.link import (
    CatchUpRequest,
    CrashNotice,
    CrashReport,
    DataCentreLoads,
    DataCentreUpdate,
    EngineListing,
    EvacuationState,
    ImplicationNotice,
    InventoryUpdate,
    ListedUpstream,
    ListedUpstreams,
    Notice,
    PlacedPart,
    RelayedUpdate,
    RouterAddress,
    RouterLoad,
    RouterUpdate,
    RoutingDocument,
    StoreUpdate,
    SurvivalNotice,
    SuspectEvidence,
    SuspectVerdicts,
    VerdictNotice,
    WorkspaceUsage,
    WorkspaceWork,
)
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.platform import decode_configuration, decode_entry
from gypsumrouter.platform.store import read_page
from gypsumrouter.published import StoreUnavailable
from gypsumrouter.settings import check_forwarder_settings

EXPECTED: Final = (DocumentInvalid, SettingsInvalid, FrameError, StoreUnavailable)
ROUNDS: Final = 20_000
S_PER_MINUTE: Final = 60
# Byte sequences to insert: extreme values and tokens that break the structure of a message.
INSERTIONS: Final = (
    b"\x00",
    b"\xff",
    b"\xff\xff\xff\xff",
    b'"',
    b"{",
    b"[",
    b"null",
    b"-1",
    b"1e400",
    b"9" * 6_000,
    b"\xb2",
    b"1_0",
)
MAX_CHANGES: Final = 4

EVACUATION: Final = EvacuationState(data_centre="dc-a", revision=7, active=True)
LOADS: Final = (RouterLoad(upstream="i-1", running=3, pending_tokens=900),)
PLACED_PARTS: Final = (PlacedPart(part=1 << 60, upstream="i-1"),)
USAGE: Final = WorkspaceUsage(
    entries=(
        WorkspaceWork(name="t-1", work=900.5, sent=7.0),
        WorkspaceWork(name="t-2", work=3.0),
    ),
    total=1_000.0,
    served=800.0,
)
NOTICES: Final[tuple[Notice, ...]] = (
    RouterUpdate(
        address="10.0.0.1:80",
        routers=(RouterAddress(address="10.0.0.2:80", data_centre="dc-a"),),
        routing_version=3,
        list_revision=900,
        loads=LOADS,
        placed=PLACED_PARTS,
        evacuations=(EVACUATION,),
        refused=("i-3",),
        data_centre="dc-a",
        usage=USAGE,
    ),
    DataCentreUpdate(
        address="10.0.0.1:80",
        loads=DataCentreLoads(
            data_centre="dc-b", alive=4, routers=("10.0.0.3:80",), loads=LOADS, usage=USAGE
        ),
        routing_version=3,
        list_revision=900,
        placed=PLACED_PARTS,
        evacuations=(EVACUATION,),
        refused=("i-3",),
    ),
    RelayedUpdate(
        loads=(DataCentreLoads(data_centre="dc-b", alive=4, routers=(), loads=LOADS, usage=USAGE),),
        placed=PLACED_PARTS,
        refused=("i-3",),
    ),
    StoreUpdate(
        routing_version=3,
        routing_as_of=900,
        list_newest=880,
        list_as_of=900,
        evacuations=(EVACUATION,),
    ),
    CatchUpRequest(routing=True, upstreams=True, since=70),
    RoutingDocument(version=3, document=b"{}" * 40, evacuations=(EVACUATION,)),
    ListedUpstreams(
        entries=(
            ListedUpstream(
                revision=9,
                upstream="i-1",
                state="ready",
                service="s",
                address="10.0.0.1:80",
                data_centre="dc-a",
                slots=64,
                started_ms=1_760_000_000_000,
                warm_up_ms=2_900,
            ),
        ),
        as_of=900,
    ),
    InventoryUpdate(complete=True, engines=(EngineListing(upstream="i-1", parts=(1, 2, 3)),)),
    SuspectEvidence(
        crashes=(
            CrashReport(
                upstream="i-2",
                age_ms=150,
                implications=(
                    ImplicationNotice(
                        subject=1 << 63, workspace=7, content=9, companions=(1, 65_535)
                    ),
                ),
            ),
        ),
        survivals=(SurvivalNotice(subject=5, workspace=7, age_ms=0),),
    ),
    SuspectVerdicts(
        data_centre="dc-b",
        verdicts=(
            VerdictNotice(
                subject=1 << 63,
                generation=2,
                state=2,
                workspace=7,
                age_ms=1_000,
                known=True,
                trials=1,
                implications=3,
                origin="entry-1",
                crashes=(CrashNotice(upstream="i-2", router="entry-3", age_ms=4_000),),
            ),
        ),
    ),
)
ENTRY: Final = {
    "service": "models",
    "address": "10.1.0.9:8080",
    "zone": "dc-a",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 1_200,
    "born": 1_760_000_000_000,
}
ROUTE: Final = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "kind": "streaming",
    "service": "models",
    "timeout_ms": 3_000,
}
SERVICE: Final = {
    "name": "models",
    "max_connections": 9,
    "cold_start_s": 3.0,
    "cold_per_s": 13.0,
    "engine": {"slots": 64, "kv_tokens": 400_000},
}
CONFIGURATION: Final = {
    "version": 4,
    "routes": [ROUTE],
    "services": [SERVICE],
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
    "limits": {"max_header_bytes": 4_096},
}
SETTINGS: Final = {
    "instance": {"name": "entry-1", "data_centre": "dc-a", "region": "r"},
    "link": {"key_env": "KEY"},
    "store": "127.0.0.1:6001",
    "bounds": {"cap_factor": 2.0, "warm_up_factor": 1.5, "evacuation_ms": 5_000},
}
PAGE: Final = {
    "items": [{"key": "op/evacuate/dc-a", "value": "e30=", "revision": 7}],
    "events": [{"key": "servers/i-1", "revision": 8, "tombstone": True}],
    "as_of": 9,
    "more_pages": False,
}

# Headers of upstreams and callers, whose decoders return None or a default for an odd value.
HEADERS: Final[tuple[tuple[str, Callable[[str], object], str], ...]] = (
    ("keep_alive", lambda value: _read_keep_alive(value), "max=9, timeout=5"),
    ("retry_after", read_retry_after_ms, "1.25"),
    ("load", read_load_report, "3,1,8,250"),
    ("event_id", read_event_number, "37"),
    ("deadline", read_decimal, "2500.5"),
    ("part", read_hexadecimal, "5c1e07a2"),
)


class Target(Struct, frozen=True, kw_only=True):
    """A decoder and a valid message for it."""

    name: str
    decode: Callable[[bytes], object]
    valid_message: bytes


def list_targets() -> list[Target]:
    """Return the decoders of platform documents and of messages between processes."""
    targets = [
        Target(
            name="entry",
            decode=lambda data: decode_entry(upstream="i-1", value=data),
            valid_message=json.dumps(ENTRY).encode(),
        ),
        Target(
            name="configuration",
            decode=decode_configuration,
            valid_message=json.dumps(CONFIGURATION).encode(),
        ),
        Target(
            name="settings",
            decode=check_forwarder_settings,
            valid_message=json.dumps(SETTINGS).encode(),
        ),
        Target(
            name="list",
            decode=lambda d: _read_page(d, "items"),
            valid_message=json.dumps(PAGE).encode(),
        ),
        Target(
            name="watch",
            decode=lambda d: _read_page(d, "events"),
            valid_message=json.dumps(PAGE).encode(),
        ),
    ]
    for name, decode, text in HEADERS:
        targets.append(
            Target(
                name=name,
                decode=lambda data, decode=decode: decode(data.decode("latin-1")),  # type: ignore[misc]
                valid_message=text.encode(),
            )
        )
    for notice in NOTICES:
        kind, body = encode_notice(notice)
        targets.append(
            Target(
                name=type(notice).__name__,
                decode=lambda data, kind=kind: decode_notice(kind, data),  # type: ignore[misc]
                valid_message=body,
            )
        )
    return targets


def mutate(valid_message: bytes, rng: random.Random) -> bytes:
    """Return a copy of a message with a few random changes."""
    data = bytearray(valid_message)
    for _ in range(rng.randint(1, MAX_CHANGES)):
        at = rng.randrange(len(data) + 1)
        end = min(len(data), at + rng.randint(1, 8))
        match rng.randrange(5):
            case 0 if at < len(data):
                data[at] ^= 1 << rng.randrange(8)
            case 1:
                del data[at:end]
            case 2:
                data[at:at] = rng.choice(INSERTIONS)
            case 3:
                data[at:at] = data[at:end]
            case _:
                data[at:end] = rng.randbytes(end - at)
    return bytes(data)


def fuzz(*, seed: int, rounds: int, ends_s: float | None = None) -> tuple[int, list[str]]:
    """Return the number of messages tried, and a description of each unexpected error."""
    targets = list_targets()
    failures: list[str] = []
    played = 0
    for number in range(rounds):
        if ends_s is not None and time.monotonic() >= ends_s:
            break
        rng = random.Random(f"{seed}/{number}")
        target = rng.choice(targets)
        try:
            target.decode(mutate(target.valid_message, rng))
        except EXPECTED:
            pass
        except Exception as error:
            failures.append(f"seed {seed} round {number} {target.name}: {error!r}")
        played += 1
    return played, failures


def main(argv: list[str]) -> int:
    """Run the bench and return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench fuzz")
    parser.add_argument("--minutes", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    ends_s = time.monotonic() + arguments.minutes * S_PER_MINUTE if arguments.minutes else None
    rounds = sys.maxsize if arguments.minutes else ROUNDS
    played, failures = fuzz(seed=arguments.seed, rounds=rounds, ends_s=ends_s)
    for line in failures:
        print(line)
    print(json.dumps({"seed": arguments.seed, "played": played, "wrong": len(failures)}))
    return EXIT_FAILED if failures else EXIT_OK


def _read_page(data: bytes, field: str) -> Any:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        raise StoreUnavailable(
            "expected a JSON document from the store, got invalid JSON"
        ) from None
    return read_page(document, field)


def _read_keep_alive(value: str) -> int | None:
    timeout = find_keep_alive_timeout(value)
    return None if timeout is None else read_keep_alive_ms(timeout)
