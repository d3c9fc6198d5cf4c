"""Matches calls that must run at most once, whatever the spelling of their path."""

from __future__ import annotations

from typing import Final

from gypsumrouter.configuration import (
    AtMostOnce,
    collapse_path,
    is_ambiguous,
    normalise_path,
    normalise_prefix,
)

ANY_METHOD: Final = "*"


class AtMostOnceMatcher:
    """The at-most-once patterns of one pool; an ambiguous path counts as a match."""

    __slots__ = ("_prefixes_by_method",)

    def __init__(self, *, rules: AtMostOnce) -> None:
        self._prefixes_by_method: dict[str, tuple[str, ...]] = {}
        for call in rules.calls:
            prefixes = self._prefixes_by_method.get(call.method, ())
            self._prefixes_by_method[call.method] = (*prefixes, normalise_prefix(call.path_prefix))

    def matches(self, *, method: str, path: str) -> bool:
        """Return whether a call must run at most once."""
        prefixes = self._prefixes_by_method.get(ANY_METHOD, ()) + self._prefixes_by_method.get(
            method.upper(), ()
        )
        if not prefixes:
            return False
        if is_ambiguous(path):
            return True
        normal_forms = {normalise_path(path), collapse_path(path)}
        return any(normal_form.startswith(prefixes) for normal_form in normal_forms)
