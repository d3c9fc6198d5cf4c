"""Validation of the orders of a pool against its models."""

from __future__ import annotations

from collections.abc import Iterator

from gypsumrouter.configuration.models import Pool, PoolOrders
from gypsumrouter.const import UpstreamKind
from gypsumrouter.exceptions import FieldError


def check_orders(path: str, pool: Pool) -> Iterator[FieldError]:
    """Yield the errors in the orders of a pool; `path` is the path of the orders."""
    orders = pool.orders
    if orders is None:
        return
    if pool.kind is UpstreamKind.SERVICE:
        yield FieldError(path=path, message="only engines take orders")
    if not orders.models:
        yield FieldError(path=f"{path}.models", message="the engines would hold no model")
    yield from _check_names(path, pool, orders)


def _check_names(path: str, pool: Pool, orders: PoolOrders) -> Iterator[FieldError]:
    ordered: set[str] = set()
    for place, name in _list_names(path, orders):
        if name in ordered:
            yield FieldError(path=place, message=f"{name!r} is ordered twice")
        elif name not in pool.models:
            yield FieldError(path=place, message=f"{name!r} is not one of the pool's models")
        ordered.add(name)
    for name in pool.models:
        if name not in ordered:
            message = f"the pool's model {name!r} would be held by no engine"
            yield FieldError(path=f"{path}.models", message=message)


def _list_names(path: str, orders: PoolOrders) -> Iterator[tuple[str, str]]:
    for index, model in enumerate(orders.models):
        place = f"{path}.models[{index}]"
        yield f"{place}.name", model.name
        for number, adapter in enumerate(model.adapters):
            yield f"{place}.adapters[{number}].name", adapter.name
