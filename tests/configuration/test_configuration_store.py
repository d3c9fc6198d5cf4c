"""The store accepts only valid and newer configurations, and reports the rejected one."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from configuration_fakes import encode, make_document
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.configuration import (
    Accepted,
    Configuration,
    ConfigurationStore,
    Rejected,
    Stale,
    check_configuration,
    run_sliced,
)
from gypsumrouter.configuration.check import check_in_slices
from gypsumrouter.configuration.parts import join_parts, split_into_parts
from gypsumrouter.core import Application


def get_bodies(store: ConfigurationStore) -> dict[int, bytes]:
    return {digest: part.body for digest, part in store.parts.parts.items()}


async def test_higher_version_comes_into_force_and_notifies_listeners(
    store: ConfigurationStore,
) -> None:
    notified: list[Configuration] = []
    store.on_change(notified.append)
    assert store.current == Configuration(version=0)
    assert await store.async_offer(encode(make_document(4))) == Accepted(version=4, changed=True)
    assert store.ready.is_set()
    assert notified == [store.current]
    assert await store.async_offer(encode(make_document(4))) == Accepted(version=4, changed=False)
    assert len(notified) == 1


async def test_stale_version_is_ignored_even_if_invalid(
    store: ConfigurationStore,
) -> None:
    await store.async_offer(encode(make_document(4)))
    assert await store.async_offer(encode(make_document(3))) == Stale(version=3, in_force=4)
    invalid = encode(make_document(3, default_class=None))
    assert await store.async_offer(invalid) == Stale(version=3, in_force=4)
    assert store.current.version == 4
    assert store.rejection is None


async def test_rejected_version_keeps_the_accepted_one_and_is_dumped(
    app: Application, store: ConfigurationStore
) -> None:
    await store.async_offer(encode(make_document(4)))
    outcome = await store.async_offer(encode(make_document(5, default_class="nobody")))
    assert isinstance(outcome, Rejected)
    assert store.current.version == 4
    section: Any = app.dump()["configuration"]
    assert section["in_force"]["version"] == 4
    assert section["rejected"]["version"] == 5
    assert section["rejected"]["errors"][0]["path"] == "$.default_class"
    await store.async_offer(encode(make_document(6)))
    section = app.dump()["configuration"]
    assert section["rejected"] is None


async def test_same_version_with_different_content_is_rejected(
    store: ConfigurationStore,
) -> None:
    await store.async_offer(encode(make_document(4)))
    before = store.current
    outcome = await store.async_offer(encode(make_document(4, workspaces=9)))
    assert isinstance(outcome, Rejected)
    assert outcome.errors[0].path == "$.version"
    assert store.current is before


async def test_failing_listener_does_not_block_the_others(
    store: ConfigurationStore,
) -> None:
    notified: list[int] = []

    def fail(configuration: Configuration) -> None:
        raise ValueError

    store.on_change(fail)
    remove = store.on_change(lambda configuration: notified.append(configuration.version))
    await store.async_offer(encode(make_document(1)))
    remove()
    await store.async_offer(encode(make_document(2)))
    assert notified == [1]


async def test_other_tasks_run_while_a_large_document_is_checked(
    store: ConfigurationStore,
) -> None:
    offer = asyncio.ensure_future(store.async_offer(encode(make_document(1, workspaces=5_000))))
    yields = 0
    while not offer.done():
        await asyncio.sleep(0)
        yields += 1
    assert yields > 50
    assert store.current.version == 1


async def test_parts_result_in_the_same_configuration_as_the_document(
    app: Application, store: ConfigurationStore
) -> None:
    await store.async_offer(encode(make_document(1, workspaces=400)))
    other = ConfigurationStore(app=Application(**_build_application_arguments(app)))
    outcome = await other.async_offer_parts(
        version=1, manifest=store.parts.manifest, bodies=get_bodies(store)
    )
    assert outcome == Accepted(version=1, changed=True)
    assert other.current == store.current
    assert other.parts == store.parts


async def test_changed_workspace_changes_one_part(store: ConfigurationStore) -> None:
    document = make_document(1, workspaces=4_000)
    await store.async_offer(encode(document))
    before = set(store.parts.manifest)
    document["version"] = 2
    document["workspaces"][1234]["share"] = 2.0
    await store.async_offer(encode(document))
    new = set(store.parts.manifest) - before
    assert len(new) == 1
    assert sum(len(store.parts.parts[digest].body) for digest in new) < 2_048


async def test_corrupt_or_missing_parts_are_not_accepted(
    app: Application, store: ConfigurationStore
) -> None:
    await store.async_offer(encode(make_document(1)))
    other = ConfigurationStore(app=Application(**_build_application_arguments(app)))
    manifest = store.parts.manifest
    bodies = get_bodies(store)
    first, second = manifest[:2]
    mismatched = {**bodies, first: bodies[second]}
    assert await other.async_offer_parts(version=1, manifest=manifest, bodies=mismatched) is None
    truncated = {**bodies, first: bodies[first][:-3]}
    assert await other.async_offer_parts(version=1, manifest=manifest, bodies=truncated) is None
    del bodies[first]
    assert await other.async_offer_parts(version=1, manifest=manifest, bodies=bodies) is None
    assert other.current.version == 0


async def test_parts_of_an_invalid_document_are_rejected_with_its_errors(
    app: Application, store: ConfigurationStore
) -> None:
    await store.async_offer(encode(make_document(1)))
    other = ConfigurationStore(app=Application(**_build_application_arguments(app)))
    manifest = tuple(
        digest
        for digest in store.parts.manifest
        if store.parts.parts[digest].section != "default_class"
    )
    outcome = await other.async_offer_parts(version=1, manifest=manifest, bodies=get_bodies(store))
    assert isinstance(outcome, Rejected)
    assert [error.path for error in outcome.errors] == ["$.default_class"]


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    names=st.lists(st.from_regex(r"[a-z0-9][a-z0-9._-]{0,20}", fullmatch=True), unique=True),
    reason=st.text(min_size=1).filter(lambda text: text.isprintable()),
)
def test_document_round_trips_through_parts(names: list[str], reason: str) -> None:
    document = make_document(7, workspaces=0)
    document["workspaces"] = [{"name": name, "share": n + 0.5} for n, name in enumerate(names)]
    document["rules"] = [{"name": "r", "then": {"refuse": reason}}]
    checked = run_sliced(check_in_slices(encode(document)))
    parts = run_sliced(split_into_parts(checked))
    bodies = {digest: part.body for digest, part in parts.parts.items()}
    joined = run_sliced(join_parts(7, parts.manifest, bodies))
    assert joined is not None
    again = run_sliced(check_in_slices(joined))
    assert again.configuration == checked.configuration == check_configuration(encode(document))
    assert run_sliced(split_into_parts(again)) == parts


def _build_application_arguments(app: Application) -> dict[str, Any]:
    return {
        "name": "router-2",
        "role": app.role,
        "data_centre": app.data_centre,
        "region": app.region,
        "clock": app.clock,
    }


@pytest.mark.parametrize("size", [0, 1, 300])
async def test_digest_does_not_depend_on_the_order_of_fields_and_workspaces(
    app: Application, store: ConfigurationStore, size: int
) -> None:
    document = make_document(1, workspaces=size)
    await store.async_offer(encode(document))
    document["workspaces"].reverse()
    reordered = encode(dict(reversed(document.items())))
    assert await store.async_offer(reordered) == Accepted(version=1, changed=False)
