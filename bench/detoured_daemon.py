"""Runs the daemon of the current folder, with its links led through proxies.

Run as a script, so that the daemon may be that of another checkout. The variable
`GYPSUMROUTER_DETOURS` holds a JSON object: the address to dial in place of that of each router.
"""

from __future__ import annotations

import importlib
import json
import os
import runpy
import sys
from typing import Any

ENV_DETOURS = "GYPSUMROUTER_DETOURS"


def main() -> None:
    """Run the daemon; the address of each link is replaced where it is parsed."""
    sys.path[0] = os.getcwd()
    mesh: Any = importlib.import_module("gypsumrouter.peers.mesh")
    detours: dict[str, str] = json.loads(os.environ[ENV_DETOURS])
    parse = mesh.parse_address
    mesh.parse_address = lambda text: parse(detours.get(text, text))
    runpy.run_module("gypsumrouter.daemon", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
