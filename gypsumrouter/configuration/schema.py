"""JSON schema of the configuration document."""

from __future__ import annotations

import json
from typing import Final

import msgspec

from gypsumrouter.configuration.models import Configuration

SCHEMA_FILE: Final = "schema.json"
_DIALECT: Final = "https://json-schema.org/draft/2020-12/schema"


def build_schema() -> str:
    """Return the schema as JSON; the committed schema file must be equal to it."""
    schema = {
        "$schema": _DIALECT,
        **msgspec.json.schema(Configuration),
    }
    return json.dumps(schema, indent=2, sort_keys=True) + "\n"
