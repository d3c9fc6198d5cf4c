"""Normalisation of call paths, so that different spellings of a path match the same rules."""

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

    The query, the fragment and empty segments are removed.
    """
    if _PLAIN.fullmatch(path) is not None:
        return path
    return _resolve_dots(collapse_path(path))


def collapse_path(path: str) -> str:
    """Return the path decoded, without empty segments and in lower case; dot segments are kept."""
    path_only = path.partition("?")[0].partition("#")[0]
    decoded = unquote(path_only).replace("\\", "/")
    collapsed = _SLASHES.sub("/", f"/{decoded}")
    return unicodedata.normalize("NFKC", collapsed).casefold()


def is_ambiguous(path: str) -> bool:
    """Return whether servers may resolve the decoded path to different resources.

    This is the case for paths with double encoding, path parameters, backslashes, control
    characters or bytes that are not valid UTF-8.
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
