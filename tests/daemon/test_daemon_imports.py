"""Limits the modules that a forwarder imports, as imports take most of its start-up time."""

from __future__ import annotations

import json
import subprocess
import sys

MAX_MODULES = 640
# Libraries that compile validators when they are imported.
FORBIDDEN = ("pydantic", "pydantic_core")

LIST_LOADED = """
import dataclasses, json, sys
import gypsumrouter.daemon, gypsumrouter.bootstrap_forwarder
own = [m for name, m in sys.modules.items() if name.partition(".")[0] == "gypsumrouter"]
classes = {v for m in own for v in vars(m).values() if isinstance(v, type)}
generated = sorted(
    c.__qualname__ for c in classes
    if dataclasses.is_dataclass(c) and c.__module__.startswith("gypsumrouter")
)
print(json.dumps({"modules": sorted(sys.modules), "generated": generated}))
"""


def test_forwarder_imports_only_what_it_uses() -> None:
    printed = subprocess.run(
        [sys.executable, "-c", LIST_LOADED], capture_output=True, check=True, text=True
    ).stdout
    loaded = json.loads(printed)
    assert len(loaded["modules"]) <= MAX_MODULES
    assert not set(FORBIDDEN) & set(loaded["modules"])
    # Standard-library dataclasses compile generated code when they are imported.
    assert loaded["generated"] == []
