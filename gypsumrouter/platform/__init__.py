"""Adapter to the users' platform: its header names, document formats and API calls, no policy."""

from __future__ import annotations

from gypsumrouter.platform.answers import PlatformDialect
from gypsumrouter.platform.configuration import decode_configuration
from gypsumrouter.platform.engines import async_list_cached_parts, async_read_start
from gypsumrouter.platform.entries import decode_entry, read_evacuated_data_centre, read_upstream_id
from gypsumrouter.platform.requests import read_request
from gypsumrouter.platform.store import StoreClient

__all__ = [
    "PlatformDialect",
    "StoreClient",
    "async_list_cached_parts",
    "async_read_start",
    "decode_configuration",
    "decode_entry",
    "read_evacuated_data_centre",
    "read_request",
    "read_upstream_id",
]
