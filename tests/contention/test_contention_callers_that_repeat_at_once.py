"""A burst in which a third of the callers repeats refused requests at once, without a network.

Routers of three data centres share a plain service; see `return_replay`.
"""

from __future__ import annotations

import pytest
from return_replay import GroupTally, replay

from bench import plain_replay

ROUTERS = 9
CALM_PRESSURE = 0.7


@pytest.fixture(autouse=True)
def _routers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plain_replay, "ROUTERS", ROUTERS)


def get_share(count: int, group: GroupTally) -> float:
    return count / group.requests


@pytest.mark.parametrize("pressure", [1.3, 1.7])
def test_patient_callers_are_served_better_and_those_that_repeat_gain_less(
    pressure: float,
) -> None:
    """With random delays, repeating at once pays: 78 in 100 are in time, but 62 of the patient."""
    patient_before, repeating_before = replay(ordered=False, pressure=pressure, calm=CALM_PRESSURE)
    patient, repeating = replay(ordered=True, pressure=pressure, calm=CALM_PRESSURE)
    in_time_before = get_share(patient_before.in_time, patient_before)
    in_time = get_share(patient.in_time, patient)
    repeating_in_time_before = get_share(repeating_before.in_time, repeating_before)
    repeating_in_time = get_share(repeating.in_time, repeating)
    assert in_time > in_time_before + 0.03
    assert repeating_in_time < repeating_in_time_before + 0.005
    gain_before = repeating_in_time_before - in_time_before
    assert repeating_in_time - in_time < 0.8 * gain_before
    # Callers return while the target can still be met, and so before the burst is over: slightly
    # more are refused a second time, and far fewer are served late.
    refused_again_before = get_share(patient_before.refused_again, patient_before)
    assert get_share(patient.refused_again, patient) < refused_again_before + 0.035
    late_before = patient_before.before_deadline - patient_before.in_time
    late = patient.before_deadline - patient.in_time
    assert get_share(late, patient) < 0.6 * get_share(late_before, patient_before)
    served_in_time_before = patient_before.in_time + repeating_before.in_time
    served_in_time = patient.in_time + repeating.in_time
    requests_before = patient_before.requests + repeating_before.requests
    requests = patient.requests + repeating.requests
    assert served_in_time / requests > served_in_time_before / requests_before


def test_below_capacity_the_order_changes_nothing() -> None:
    before = replay(ordered=False, pressure=0.8, calm=CALM_PRESSURE)
    after = replay(ordered=True, pressure=0.8, calm=CALM_PRESSURE)
    for group_before, group in zip(before, after, strict=True):
        in_time_before = get_share(group_before.in_time, group_before)
        assert get_share(group.in_time, group) > in_time_before - 0.01
