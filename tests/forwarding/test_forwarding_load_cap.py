"""The load cap holds although routers see the requests of their peers late."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Final

from engine_placers import CAP, ENGINES, SERVICE, SLOTS, make_placer

from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.models import (
    LoadReport,
    Prompt,
    PromptPart,
    ResponseMetadata,
)
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import ManualClock

ROUTERS: Final = 24
# The bound that the service states, and the share of requests that may exceed it.
BOUND_SLACK: Final = 3.0
ALLOWED_SHARE: Final = 0.03
UPDATE_INTERVAL_MS: Final = 200
UPDATE_DELAY_MS: Final = 100
HELD_MS: Final = 1_000
HOT_TOKENS: Final = 12_000


def make_prompt(rng: random.Random) -> Prompt:
    """Return a prompt; half of them begin with one of two long parts that are cached already."""
    part = rng.randrange(2) if rng.random() < 0.5 else rng.randrange(2, 200)
    tokens = HOT_TOKENS if part < 2 else 300
    parts = (
        PromptPart(part=part, tokens=tokens),
        PromptPart(part=rng.getrandbits(48), tokens=100),
    )
    return Prompt(model="m", parts=parts, input_tokens=tokens + 100, max_output_tokens=80)


class Fleet:
    """Routers that exchange their loads late, in front of engines that hold each request a second.

    With the probability `lost` the response to a request is lost: its engine is done with it, and
    the router counts it for five seconds more.
    """

    def __init__(self, *, lost: float = 0.0, without: frozenset[Mechanism] = frozenset()) -> None:
        random.seed(5)
        self._rng = random.Random(5)
        self._clock = ManualClock(now_ms=10_000)
        self._placers = [make_placer(self._clock, without=without) for _ in range(ROUTERS)]
        self._held = {f"i-{number}": 0 for number in range(ENGINES)}
        self._events: list[tuple[int, int, str, object]] = []
        self._lost = lost
        self._numbers = itertools.count()
        self.sent = 0
        self.over = 0
        for placer in self._placers:
            for part in range(2):
                placer.note_cached(part=part, upstream=f"i-{part}")

    def play(self, *, per_s: float, duration_ms: int) -> float:
        """Send requests at a rate; return the share that reached an engine over the bound."""
        begin_ms = self._clock.now_ms()
        for router in range(ROUTERS):
            for due_ms in range(router * 8, duration_ms, UPDATE_INTERVAL_MS):
                self._add(begin_ms + due_ms, "update", router)
        at_ms = 0.0
        while at_ms < duration_ms:
            at_ms += self._rng.expovariate(per_s / 1_000)
            self._add(begin_ms + int(at_ms), "arrival", self._rng.randrange(ROUTERS))
        while self._events:
            now_ms, _, kind, subject = heapq.heappop(self._events)
            self._clock.advance(now_ms - self._clock.now_ms())
            getattr(self, f"_handle_{kind}")(subject)
        return self.over / self.sent

    def _add(self, at_ms: int, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), kind, subject))

    def _handle_update(self, router: int) -> None:
        loads = self._placers[router].loads.get_own_loads()
        self._add(self._clock.now_ms() + UPDATE_DELAY_MS, "received", (router, loads))

    def _handle_received(self, subject: tuple[int, dict[str, object]]) -> None:
        router, loads = subject
        report = PeerLoads(received_ms=self._clock.now_ms(), loads=loads)  # type: ignore[arg-type]
        for number, placer in enumerate(self._placers):
            if number != router:
                placer.loads.set_peer_loads(f"r{router}", report)

    def _handle_arrival(self, router: int) -> None:
        placer = self._placers[router]
        prompt = make_prompt(self._rng)
        placement = placer.place(service=SERVICE, prompt=prompt, excluded=())
        assert isinstance(placement, Placement)
        sent = placer.note_sent(placement, prompt)
        placer.note_prefilled(sent)
        mean = sum(self._held.values()) / ENGINES
        self.sent += 1
        self.over += self._held[sent.upstream] + 1 > CAP.factor * mean + BOUND_SLACK
        self._held[sent.upstream] += 1
        held_ms = int(self._rng.uniform(0.3, 1.7) * HELD_MS)
        self._add(self._clock.now_ms() + held_ms, "completed", (router, placement, sent))

    def _handle_completed(self, subject: tuple[int, Placement, SentRequest]) -> None:
        router, placement, sent = subject
        self._held[sent.upstream] -= 1
        if self._rng.random() < self._lost:
            self._add(self._clock.now_ms() + 5_000, "given_up", subject)
            return
        report = LoadReport(running=self._held[sent.upstream], waiting=0, slots=SLOTS)
        metadata = ResponseMetadata(
            request_id=None,
            signed=True,
            not_run=False,
            content_encoded=False,
            is_event_stream=True,
            keep_alive_ms=None,
            load=report,
        )
        self._placers[router].apply_response_metadata(placement.entry, metadata)
        self._placers[router].note_ended(sent, held_ms=HELD_MS)

    def _handle_given_up(self, subject: tuple[int, Placement, SentRequest]) -> None:
        router, _, sent = subject
        self._placers[router].note_ended(sent, held_ms=HELD_MS)


def test_cap_holds_while_all_routers_send_a_popular_prompt_to_the_same_engine() -> None:
    """Guards against a cap that each router fills up with its own request at the same time."""
    assert Fleet().play(per_s=200, duration_ms=20_000) <= ALLOWED_SHARE


def test_cap_without_the_margin_is_exceeded_by_the_same_load() -> None:
    """Shows that the load of the test above does reach the cap."""
    without = frozenset({Mechanism.CAP_MARGIN})
    assert Fleet(without=without).play(per_s=200, duration_ms=20_000) > ALLOWED_SHARE


def test_cap_holds_while_responses_are_lost() -> None:
    """Guards against a mean that includes requests which their engines have completed."""
    assert Fleet(lost=0.3).play(per_s=200, duration_ms=20_000) <= ALLOWED_SHARE
