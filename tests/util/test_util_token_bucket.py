"""Token bucket."""

from __future__ import annotations

from gypsumrouter.util.token_bucket import TokenBucket


def test_bucket_permits_as_many_operations_as_it_has_tokens() -> None:
    bucket = TokenBucket(capacity=3.0, tokens=2.5)
    assert [bucket.try_take() for _ in range(3)] == [True, True, False]
    bucket.add(0.5)
    assert bucket.try_take()


def test_tokens_above_the_capacity_are_lost() -> None:
    bucket = TokenBucket(capacity=2.0, tokens=9.0)
    assert bucket.tokens == 2.0
    bucket.add(1.0)
    assert bucket.tokens == 2.0
    bucket.set_capacity(1.0)
    bucket.set_capacity(5.0)
    assert bucket.tokens == 1.0
