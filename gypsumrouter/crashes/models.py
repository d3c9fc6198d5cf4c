"""Data classes of crash suspects.

A subject is what several requests can have in common: a part of a prompt, by the low 64 bits of its
id, or the digest of a whole request. Times are milliseconds of the local clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Final

import xxhash
from msgspec import Struct

SUBJECT_MASK: Final = (1 << 64) - 1
# Parts of one prompt that are judged: the first one and the last shared ones, which are the most
# specific.
MAX_PARTS: Final = 16
EVERY_WORKSPACE: Final = 0


class Subjects(Struct, frozen=True, kw_only=True):
    """What a request can be suspected for; `workspace` is the id of its workspace.

    `parts` are the parts of its prompt that other requests may share, `digest` identifies its whole
    content.
    """

    parts: tuple[int, ...]
    digest: int
    workspace: int

    @property
    def all(self) -> tuple[int, ...]:
        """Return the parts and the digest."""
        return (*self.parts, self.digest)


class SuspectImplication(Struct, frozen=True, kw_only=True):
    """A crash of `upstream` during which a request with this subject had not begun or just begun.

    `router` is the name of the router that saw it. `content` is a fingerprint of that request's
    digest, `companions` are those of its other parts.
    """

    subject: int
    workspace: int
    upstream: str
    router: str
    at_ms: int
    content: int
    companions: tuple[int, ...] = ()


class Survival(Struct, frozen=True, kw_only=True):
    """An upstream began to write for a request with this subject and was alive at `at_ms`."""

    subject: int
    workspace: int
    at_ms: int


class CrashSeen(Struct, frozen=True, kw_only=True):
    """A crash that implicates a subject, for operators."""

    upstream: str
    router: str
    at_ms: int


class SuspectState(IntEnum):
    """State of a verdict; of two verdicts of one generation the higher state is the later one.

    SUSPECTED asks all routers whether the subject has survived anywhere; such requests are served.
    """

    SUSPECTED = 1
    CONVICTED = 2
    CLEARED = 3


class Verdict(Struct, frozen=True, kw_only=True):
    """What the fleet holds of a subject; a new suspicion after a clearance is a new `generation`.

    It concerns the requests of one workspace, or of all (`EVERY_WORKSPACE`). `known` says that the
    subject has survived before. `trials` is how many requests were let through since the conviction
    to find out whether it still crashes upstreams, `since_ms` the time of the last of them or else
    of the decision. `implications` counts the crashes, of which `crashes` are the first few;
    `origin` is the name of the router that decided.
    """

    subject: int
    generation: int
    state: SuspectState
    workspace: int
    since_ms: int
    known: bool = False
    trials: int = 0
    implications: int = 0
    origin: str = ""
    crashes: tuple[CrashSeen, ...] = ()

    def concerns(self, workspace: int) -> bool:
        """Return whether the verdict applies to the requests of a workspace."""
        return self.workspace in (EVERY_WORKSPACE, workspace)

    @property
    def order(self) -> tuple[int, int, int, bool, bool]:
        """Return the key by which the latest of several verdicts on one subject is found."""
        return (
            self.generation,
            self.state,
            self.trials,
            self.known,
            self.workspace == EVERY_WORKSPACE,
        )


def make_workspace_id(name: str) -> int:
    """Return the id of a workspace, which is never `EVERY_WORKSPACE`."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF or 1


def make_fingerprint(subject: int) -> int:
    """Return a 16-bit fingerprint of a subject."""
    return xxhash.xxh3_64_intdigest(subject.to_bytes(8, "little")) & 0xFFFF


def select_parts(parts: Iterable[int]) -> tuple[int, ...]:
    """Return the parts of a prompt that are judged."""
    masked = tuple(dict.fromkeys(part & SUBJECT_MASK for part in parts))
    if len(masked) <= MAX_PARTS:
        return masked
    return (masked[0], *masked[1 - MAX_PARTS :])
