"""Orders to the engine beside a side: which models, adapters and versions it holds, which role."""

from __future__ import annotations

from gypsumrouter.orders.orders import DUMP_SECTION, Orders

__all__ = ["DUMP_SECTION", "Orders"]
