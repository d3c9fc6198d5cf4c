"""Run the tool as `python -m gypsumrouter.cli`."""

from __future__ import annotations

from gypsumrouter.cli import main

if __name__ == "__main__":
    main(prog_name="gypsumrouter")
