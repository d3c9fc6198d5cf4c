"""Validation of the orders of a pool."""

from __future__ import annotations

from typing import Any

import pytest
from configuration_fakes import encode, make_document

from gypsumrouter.configuration import check_configuration
from gypsumrouter.exceptions import ConfigurationInvalid

PATH = "$.pools[0].orders"


def make_pool(orders: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return {"name": "p", "kind": "engine", "models": ["chat", "school"], "orders": orders} | changes


def check(pool: dict[str, Any]) -> None:
    check_configuration(encode(make_document(1, workspaces=0) | {"pools": [pool], "rules": []}))


def make_orders(*names: str, adapters: tuple[str, ...] = (), **changes: Any) -> dict[str, Any]:
    models: list[dict[str, Any]] = [{"name": name} for name in names]
    if adapters:
        models[0]["adapters"] = [{"name": name} for name in adapters]
    return {"models": models, "store_loads_per_s": 0.5} | changes


def test_orders_for_all_models_of_the_pool_are_accepted() -> None:
    check(make_pool(make_orders("chat", "school")))
    check(make_pool(make_orders("chat", adapters=("school",))))


@pytest.mark.parametrize(
    ("pool", "path"),
    [
        (make_pool(make_orders("chat")), f"{PATH}.models"),
        (make_pool(make_orders("chat", "school", "other")), f"{PATH}.models[2].name"),
        (make_pool(make_orders("chat", "school", "chat")), f"{PATH}.models[2].name"),
        (
            make_pool(make_orders("chat", "school", adapters=("chat",))),
            f"{PATH}.models[0].adapters[0].name",
        ),
        (make_pool(make_orders(), models=[]), f"{PATH}.models"),
        (
            make_pool(make_orders("chat", "school", store_loads_per_s=0)),
            f"{PATH}.store_loads_per_s",
        ),
        (make_pool(make_orders("chat", "school", change_share=1.5)), f"{PATH}.change_share"),
        (
            make_pool(make_orders("chat", "school", models_per_engine=0)),
            f"{PATH}.models_per_engine",
        ),
    ],
)
def test_invalid_orders_are_reported_with_their_path(pool: dict[str, Any], path: str) -> None:
    with pytest.raises(ConfigurationInvalid) as caught:
        check(pool)
    assert [error.path for error in caught.value.errors] == [path]


def test_orders_of_a_service_pool_are_rejected() -> None:
    with pytest.raises(ConfigurationInvalid) as caught:
        check(make_pool(make_orders("chat"), kind="service", models=["chat"]))
    assert PATH in [error.path for error in caught.value.errors]
