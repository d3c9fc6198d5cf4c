"""Orders to the local engine of a side: which models, adapter versions and role it must have."""

from __future__ import annotations

from gypsumrouter.orders.orders import DUMP_SECTION, Orders

__all__ = ["DUMP_SECTION", "Orders"]
