"""Damaged messages: every decoder decodes or refuses them."""

from __future__ import annotations

import random

import pytest

from bench import fuzz


# Seed 1, round 3268: a packed message that breaks off before its last word ended the process.
@pytest.mark.parametrize("seed", [1, 2])
def test_every_decoder_decodes_damaged_messages_or_refuses_them(seed: int) -> None:
    played, wrong = fuzz.fuzz(seed=seed, rounds=fuzz.ROUNDS)
    assert played == fuzz.ROUNDS
    assert not wrong


def test_the_sound_messages_are_decoded() -> None:
    for target in fuzz.list_targets():
        target.decode(target.sound)


def test_damage_changes_most_messages_and_is_the_same_for_a_seed() -> None:
    sound = b'{"version": 4}'
    damaged = [fuzz.damage(sound, random.Random(number)) for number in range(100)]
    assert sum(data != sound for data in damaged) > 90
    assert damaged == [fuzz.damage(sound, random.Random(number)) for number in range(100)]


def test_an_error_that_nobody_expects_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def decode(data: bytes) -> object:
        raise KeyError(len(data))

    target = fuzz.Target(name="broken", decode=decode, sound=b"abc")
    monkeypatch.setattr(fuzz, "list_targets", lambda: [target])
    _, wrong = fuzz.fuzz(seed=1, rounds=3)
    assert len(wrong) == 3
