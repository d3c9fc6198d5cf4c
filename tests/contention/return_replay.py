"""Simulation of patient callers beside callers that repeat refused requests at once."""

from __future__ import annotations

import random
from typing import Final

from msgspec import Struct

from bench import plain_replay
from bench.plain_replay import SERVICE, Arrival, Completed, Event, PlainReplay
from gypsumrouter.contention import FleetPosition, Return, ReturnSchedule
from gypsumrouter.forwarding.const import RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS, RETRY_AFTER_RATIO
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.return_order import count_needed_permits, get_longest_ms

# Plain requests of the first deployment of the design page.
WORK_MS: Final = 90.0
TARGET_MS: Final = 408
DEADLINE_MS: Final = 1_530
ROUTERS_PER_DATA_CENTRE: Final = 3
# Routers' answer and the next request on a path of 3 ms.
ROUND_TRIP_MS: Final = 6
# A third of the callers repeats at once, 3 more times; the others retry once.
IMPATIENT_SHARE: Final = 3
IMPATIENT_RETRIES: Final = 3


class GroupTally(Struct, kw_only=True):
    """Outcomes of the requests of one group of callers; `refused_again` after a return."""

    requests: int = 0
    in_time: int = 0
    before_deadline: int = 0
    refused: int = 0
    returned: int = 0
    refused_again: int = 0

    def add(self, other: GroupTally) -> None:
        """Add the counts of another tally."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Call(Struct, kw_only=True):
    """A request of a caller over all of its attempts."""

    digest: int
    patient: bool
    requested_ms: float
    tries: int = 0


class Attempt(Arrival, frozen=True, kw_only=True):
    """An attempt of a call after its first reaches a router."""

    call: Call


class ReturnReplay(PlainReplay):
    """Routers in front of a plain service during a burst, with or without the return order."""

    def __init__(
        self, *, ordered: bool, seed: int, burst_ms: tuple[int, int], calm_share: float
    ) -> None:
        super().__init__(work_ms=WORK_MS, upstreams=3, without=frozenset(), seed=seed)
        self._ordered = ordered
        self._burst_ms = burst_ms
        self._calm_share = calm_share
        self._schedules = [self._make_schedule(rank) for rank in range(plain_replay.ROUTERS)]
        self._calls = 0
        # Draws of their own keep the arrivals equal with and without the order.
        self._choices = random.Random(seed + 1)
        self.groups = {True: GroupTally(), False: GroupTally()}
        self.kinds = dict.fromkeys(Return, 0)

    def _make_schedule(self, rank: int) -> ReturnSchedule:
        position = FleetPosition(rank=rank, routers=plain_replay.ROUTERS)
        return ReturnSchedule(limit=4_096, get_position=lambda: position)

    def _handle(self, at_ms: float, event: Event) -> None:
        if isinstance(event, Completed):
            self._schedules[event.router].note_release(SERVICE, self._clock.now_ms())
        super()._handle(at_ms, event)

    def _handle_arrival(self, at_ms: float, arrival: Arrival) -> None:
        if isinstance(arrival, Attempt):
            self._attempt(at_ms, arrival.router, arrival.call)
            return
        in_burst = self._burst_ms[0] <= at_ms < self._burst_ms[1]
        if not in_burst and self._choices.random() >= self._calm_share:
            return
        self._calls += 1
        patient = self._calls % IMPATIENT_SHARE != 0
        self.groups[patient].requests += 1
        call = Call(digest=self._calls, patient=patient, requested_ms=at_ms)
        self._attempt(at_ms, arrival.router, call)

    def _attempt(self, at_ms: float, router: int, call: Call) -> None:
        now_ms = self._clock.now_ms()
        left_ms = DEADLINE_MS - int(at_ms - call.requested_ms)
        placer = self._placers[router]
        placed = placer.place(
            service=SERVICE,
            prompt=None,
            excluded=(),
            # A router counts the target from the arrival of this attempt: it does not know when
            # the caller first sent the request.
            limit_ms=min(left_ms, TARGET_MS),
            needed_permits=self._claim(router, call, now_ms),
        )
        room_in_ms = 0
        if isinstance(placed, PlacementRefusal):
            room_in_ms = placed.not_before_ms
        else:
            end_ms = self._upstreams[placed.entry.upstream].serve(at_ms)
            if end_ms is not None:
                placer.note_sent(placed, None)
                done = Completed(router=router, placed=placed, elapsed_ms=end_ms - at_ms)
                self._schedule(end_ms, done)
                self._count_served(end_ms - call.requested_ms, call)
                return
        self._refuse(at_ms, router, call, room_in_ms, left_ms)

    def _claim(self, router: int, call: Call, now_ms: int) -> int:
        """Return the permits that the request needs."""
        if not self._ordered:
            return 1
        schedule = self._schedules[router]
        kind = schedule.claim(digest=call.digest, workspace="w", now_ms=now_ms)
        self.kinds[kind] += 1
        return count_needed_permits(kind, has_due=schedule.has_due(SERVICE, now_ms))

    def _count_served(self, elapsed_ms: float, call: Call) -> None:
        group = self.groups[call.patient]
        group.in_time += elapsed_ms <= TARGET_MS
        group.before_deadline += elapsed_ms <= DEADLINE_MS

    def _refuse(self, at_ms: float, router: int, call: Call, room_in_ms: int, left_ms: int) -> None:
        group = self.groups[call.patient]
        group.refused_again += call.tries > 0
        delay_ms = self._get_delay_ms(router, call, room_in_ms, left_ms)
        call.tries += 1
        if call.tries > (1 if call.patient else IMPATIENT_RETRIES):
            group.refused += 1
            return
        group.returned += 1
        wait_ms = ROUND_TRIP_MS + (delay_ms if call.patient else 0)
        router = self._choices.randrange(plain_replay.ROUTERS)
        again = Attempt(router=router, requested_ms=call.requested_ms, tries=1, call=call)
        self._schedule(at_ms + wait_ms, again)

    def _get_delay_ms(self, router: int, call: Call, room_in_ms: int, left_ms: int) -> int:
        if self._ordered:
            return self._schedules[router].reserve(
                service=SERVICE,
                digest=call.digest,
                workspace="w",
                room_in_ms=room_in_ms,
                now_ms=self._clock.now_ms(),
                longest_ms=get_longest_ms(
                    plain=True,
                    room_in_ms=room_in_ms,
                    remaining_ms=left_ms,
                    target_left_ms=TARGET_MS,
                ),
            )
        longest_ms = int(left_ms * RETRY_AFTER_RATIO)
        latest_ms = max(1, min(room_in_ms + RETRY_AFTER_MAX_MS, longest_ms))
        soonest_ms = min(room_in_ms + RETRY_AFTER_MIN_MS, latest_ms)
        return self._choices.randint(soonest_ms, latest_ms)


def replay(*, ordered: bool, pressure: float, calm: float) -> tuple[GroupTally, GroupTally]:
    """Return the outcomes of patient and of impatient callers, summed over several seeds.

    For 3 of 9 s the load is `pressure` times the capacity, otherwise `calm` times.
    """
    patient, impatient = GroupTally(), GroupTally()
    for seed in range(1, 5):
        run = ReturnReplay(
            ordered=ordered, seed=seed, burst_ms=(3_000, 6_000), calm_share=calm / pressure
        )
        run.play(pressure=pressure, duration_ms=9_000)
        patient.add(run.groups[True])
        impatient.add(run.groups[False])
    return patient, impatient
