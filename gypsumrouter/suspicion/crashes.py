"""Store of upstream crashes, from which the verdict on a request digest is derived."""

from __future__ import annotations

from itertools import combinations

from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import (
    CRASH_TTL_MS,
    MAX_CRASH_DIGESTS,
    MAX_CRASHES,
    PROOF_TTL_MS,
)
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.util.clock import Clock


class Crash:
    """A crash of an upstream: the digests that ran at the time, and those cleared since."""

    __slots__ = ("alone", "cleared", "crash_id", "digests", "expires_ms")

    def __init__(self, *, crash_id: int, expires_ms: int) -> None:
        self.crash_id = crash_id
        self.expires_ms = expires_ms
        self.alone = False
        self.digests: set[int] = set()
        self.cleared: set[int] = set()

    def includes(self, digest: int) -> bool:
        """Return whether an implication of this digest was already added to the crash."""
        return digest in self.digests or digest in self.cleared


class CrashStore:
    """Bounded store of crashes; a digest has one implication for each crash during which it ran.

    A digest is proven to crash its upstream when it is the only one that two crashes have in
    common. Crashes during which a proven digest ran do not count against the other digests.
    """

    __slots__ = ("_by_digest", "_clock", "_crashes")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashes: dict[int, Crash] = {}
        self._by_digest: dict[int, list[Crash]] = {}

    @property
    def crash_count(self) -> int:
        """Return the number of stored crashes."""
        return len(self._crashes)

    @property
    def digest_count(self) -> int:
        """Return the number of digests with an implication."""
        return len(self._by_digest)

    def add(self, implication: SuspectAnnouncement) -> bool:
        """Add an implication of a digest; return whether it was new."""
        self._expire()
        crash = self._get_or_create(implication.implication)
        full = len(crash.digests) >= MAX_CRASH_DIGESTS
        if crash.includes(implication.digest) or full:
            return False
        crash.alone = crash.alone or implication.alone
        crash.digests.add(implication.digest)
        self._by_digest.setdefault(implication.digest, []).append(crash)
        self._extend_proof(implication.digest)
        return True

    def clear(self, digest: int) -> None:
        """Remove the implications of a digest, which has completed a run alone."""
        for crash in self._by_digest.pop(digest, ()):
            crash.digests.discard(digest)
            crash.cleared.add(digest)

    def get_verdict(self, digest: int) -> Verdict:
        """Return whether a request with this digest may run."""
        if digest not in self._by_digest:
            return Clear()
        self._expire()
        crashes = self._by_digest.get(digest, [])
        if self._find_proof(digest):
            message = "requests with this content have crashed the upstreams that ran them"
            return Refused(reason=Reason.SUSPECT, message=message)
        if all(self._is_explained(crash) for crash in crashes):
            return Clear()
        return Suspect()

    def list_implications(self, digest: int | None = None) -> tuple[SuspectAnnouncement, ...]:
        """Return the implications of a digest, or of all, as messages to other processes."""
        self._expire()
        crashes = self._crashes.values() if digest is None else self._by_digest.get(digest, ())
        return tuple(
            SuspectAnnouncement(digest=item, implication=crash.crash_id, alone=crash.alone)
            for crash in crashes
            for item in (crash.digests if digest is None else (digest,))
        )

    def count_rejected(self) -> int:
        """Return the number of digests that are refused."""
        return sum(1 for digest in self._by_digest if self._find_proof(digest))

    def _find_proof(self, digest: int) -> tuple[Crash, Crash] | None:
        for pair in combinations(self._by_digest.get(digest, ()), 2):
            if pair[0].digests & pair[1].digests == {digest}:
                return pair
        return None

    def _is_explained(self, crash: Crash) -> bool:
        return any(self._find_proof(digest) for digest in crash.digests)

    def _extend_proof(self, digest: int) -> None:
        proof = self._find_proof(digest)
        if proof is None:
            return
        for crash in proof:
            crash.expires_ms = self._clock.now_ms() + PROOF_TTL_MS

    def _get_or_create(self, crash_id: int) -> Crash:
        crash = self._crashes.get(crash_id)
        if crash is not None:
            return crash
        while len(self._crashes) >= MAX_CRASHES:
            self._remove(min(self._crashes.values(), key=lambda item: item.expires_ms))
        crash = Crash(crash_id=crash_id, expires_ms=self._clock.now_ms() + CRASH_TTL_MS)
        self._crashes[crash_id] = crash
        return crash

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for crash in [item for item in self._crashes.values() if item.expires_ms <= now_ms]:
            self._remove(crash)

    def _remove(self, crash: Crash) -> None:
        del self._crashes[crash.crash_id]
        for digest in crash.digests:
            remaining = self._by_digest[digest]
            remaining.remove(crash)
            if not remaining:
                del self._by_digest[digest]
