"""Decoders must decode mutated messages or raise an expected error."""

from __future__ import annotations

import random

import pytest

from bench import fuzz


# Seed 1, round 3268: a packed message truncated before its last word crashed the process.
@pytest.mark.parametrize("seed", [1, 2])
def test_mutated_messages_raise_only_expected_errors(seed: int) -> None:
    played, failures = fuzz.fuzz(seed=seed, rounds=fuzz.ROUNDS)
    assert played == fuzz.ROUNDS
    assert not failures


def test_valid_messages_are_decoded() -> None:
    for target in fuzz.list_targets():
        target.decode(target.valid_message)


def test_mutation_is_deterministic_and_changes_most_messages() -> None:
    valid_message = b'{"version": 4}'
    mutated = [fuzz.mutate(valid_message, random.Random(number)) for number in range(100)]
    assert sum(data != valid_message for data in mutated) > 90
    assert mutated == [fuzz.mutate(valid_message, random.Random(number)) for number in range(100)]


def test_unexpected_error_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def decode(data: bytes) -> object:
        raise KeyError(len(data))

    target = fuzz.Target(name="broken", decode=decode, valid_message=b"abc")
    monkeypatch.setattr(fuzz, "list_targets", lambda: [target])
    _, failures = fuzz.fuzz(seed=1, rounds=3)
    assert len(failures) == 3
