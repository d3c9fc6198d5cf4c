"""The strikes that are remembered, and what follows from them for a digest."""

from __future__ import annotations

from itertools import combinations

from gypsumrouter.link.models import SuspectAnnouncement
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.suspicion.const import (
    MAX_STRIKE_DIGESTS,
    MAX_STRIKES,
    PROOF_MS,
    STRIKE_MS,
)
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.util.clock import Clock


class Strike:
    """One death of an upstream: the digests that ran then, and those cleared since."""

    __slots__ = ("alone", "cleared", "digests", "expires_ms", "number")

    def __init__(self, *, number: int, expires_ms: int) -> None:
        self.number = number
        self.expires_ms = expires_ms
        self.alone = False
        self.digests: set[int] = set()
        self.cleared: set[int] = set()

    def knows(self, digest: int) -> bool:
        """Return whether the death was already told of this digest."""
        return digest in self.digests or digest in self.cleared


class StrikeMemory:
    """Bounded memory of strikes.

    A digest is proven to crash when it is the only one that two deaths have in common; a death
    in which it ran alone has no other. A strike that a proven digest explains does not count
    against its neighbours.
    """

    __slots__ = ("_by_digest", "_clock", "_strikes")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._strikes: dict[int, Strike] = {}
        self._by_digest: dict[int, list[Strike]] = {}

    @property
    def strikes(self) -> int:
        """Return the number of deaths that are remembered."""
        return len(self._strikes)

    @property
    def digests(self) -> int:
        """Return the number of digests with a strike."""
        return len(self._by_digest)

    def add(self, news: SuspectAnnouncement) -> bool:
        """Take in one strike of one digest; returns whether it was new."""
        self._expire()
        strike = self._obtain(news.strike)
        full = len(strike.digests) >= MAX_STRIKE_DIGESTS
        if strike.knows(news.digest) or full:
            return False
        strike.alone = strike.alone or news.alone
        strike.digests.add(news.digest)
        self._by_digest.setdefault(news.digest, []).append(strike)
        self._keep_proof(news.digest)
        return True

    def clear(self, digest: int) -> None:
        """Take the strikes of a digest back: it ran to its end alone."""
        for strike in self._by_digest.pop(digest, ()):
            strike.digests.discard(digest)
            strike.cleared.add(digest)

    def judge(self, digest: int) -> Verdict:
        """Return what may be done with a request of this digest."""
        if digest not in self._by_digest:
            return Clear()
        self._expire()
        strikes = self._by_digest.get(digest, [])
        if self._find_proof(digest):
            message = "requests with this content have crashed the upstreams that ran them"
            return Refused(reason=Reason.SUSPECT, message=message)
        if all(self._is_explained(strike) for strike in strikes):
            return Clear()
        return Suspect()

    def list_news(self, digest: int | None = None) -> tuple[SuspectAnnouncement, ...]:
        """Return the strikes of a digest, or of all, as news for another process."""
        self._expire()
        strikes = self._strikes.values() if digest is None else self._by_digest.get(digest, ())
        return tuple(
            SuspectAnnouncement(digest=item, strike=strike.number, alone=strike.alone)
            for strike in strikes
            for item in (strike.digests if digest is None else (digest,))
        )

    def count_proven(self) -> int:
        """Return the number of digests that are refused."""
        return sum(1 for digest in self._by_digest if self._find_proof(digest))

    def _find_proof(self, digest: int) -> tuple[Strike, Strike] | None:
        for pair in combinations(self._by_digest.get(digest, ()), 2):
            if pair[0].digests & pair[1].digests == {digest}:
                return pair
        return None

    def _is_explained(self, strike: Strike) -> bool:
        return any(self._find_proof(digest) for digest in strike.digests)

    def _keep_proof(self, digest: int) -> None:
        proof = self._find_proof(digest)
        if proof is None:
            return
        for strike in proof:
            strike.expires_ms = self._clock.now_ms() + PROOF_MS

    def _obtain(self, number: int) -> Strike:
        strike = self._strikes.get(number)
        if strike is not None:
            return strike
        while len(self._strikes) >= MAX_STRIKES:
            self._drop(min(self._strikes.values(), key=lambda item: item.expires_ms))
        strike = Strike(number=number, expires_ms=self._clock.now_ms() + STRIKE_MS)
        self._strikes[number] = strike
        return strike

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for strike in [item for item in self._strikes.values() if item.expires_ms <= now_ms]:
            self._drop(strike)

    def _drop(self, strike: Strike) -> None:
        del self._strikes[strike.number]
        for digest in strike.digests:
            rest = self._by_digest[digest]
            rest.remove(strike)
            if not rest:
                del self._by_digest[digest]
