"""Paths of calls in one normal form, so that spelling does not hide what a call reaches."""

from __future__ import annotations

import re
import unicodedata
from typing import Final
from urllib.parse import unquote

_PLAIN: Final = re.compile(r"(/[a-z0-9_~-]+)*/?")
_AMBIGUOUS: Final = re.compile(r"[%;\\\x00-\x1f\x7f\ufffd]")
_SLASHES: Final = re.compile(r"/{2,}")


def normalise_path(path: str) -> str:
    """Return the path decoded, with dot segments resolved, and in lower case.

    Query and fragment are left away, and so are empty segments.
    """
    if _PLAIN.fullmatch(path) is not None:
        return path
    return _resolve_dots(collapse_path(path))


def collapse_path(path: str) -> str:
    """Return the path decoded, without empty segments and in lower case; dots stay."""
    path_only = path.partition("?")[0].partition("#")[0]
    decoded = unquote(path_only).replace("\\", "/")
    collapsed = _SLASHES.sub("/", f"/{decoded}")
    return unicodedata.normalize("NFKC", collapsed).casefold()


def is_ambiguous(path: str) -> bool:
    """Return whether servers differ in what this path names, once it is decoded.

    That holds for what is still encoded after one decoding, for path parameters, back slashes,
    control characters and bytes that are no valid UTF-8.
    """
    if _PLAIN.fullmatch(path) is not None:
        return False
    path_only = path.partition("?")[0].partition("#")[0]
    return _AMBIGUOUS.search(unquote(path_only)) is not None


def _resolve_dots(path: str) -> str:
    segments: list[str] = []
    parts = path.split("/")[1:]
    for part in parts:
        if part == "..":
            if segments:
                segments.pop()
        elif part not in ("", "."):
            segments.append(part)
    resolved = "/" + "/".join(segments)
    has_trailing_slash = parts[-1] in ("", ".", "..")
    return f"{resolved}/" if has_trailing_slash and segments else resolved
