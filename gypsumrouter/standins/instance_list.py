"""Stand-in of the platform's instance list: a sequence of revisions, served with a lag."""

from __future__ import annotations

from collections import deque
from typing import Any, Final

from aiohttp import web
from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.instances import Address, Instance
from gypsumrouter.standins.faults import OutageKind
from gypsumrouter.standins.json_responses import (
    async_read_json_object,
    get_query_int,
    make_error_response,
    make_json_response,
)
from gypsumrouter.standins.platform_service import PlatformService
from gypsumrouter.util.clock import Clock

HEADER_AS_OF: Final = "X-As-Of-Ms"
DEFAULT_POLL_MS: Final = 30_000
MAX_STATES: Final = 1_024


class ListState(Struct, frozen=True, kw_only=True):
    """One revision of the list in an epoch, current since the wall time `since_ms`."""

    epoch: int = 0
    revision: int
    since_ms: int
    instances: tuple[Instance, ...]


class InstanceListService(PlatformService):
    """Serves the instance list as of `lag_ms` ago; it is changed from Python or over HTTP.

    `reads` counts the calls that were not rejected because of an outage.
    """

    __slots__ = (
        "_instances",
        "_stale_at_ms",
        "_stale_share",
        "_states",
        "lag_ms",
        "reads",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        lag_ms: int = 0,
        seed: int = 0,
    ) -> None:
        super().__init__(clock=clock, host=host, port=port, seed=seed)
        self._instances: dict[str, Instance] = {}
        self._states: deque[ListState] = deque(maxlen=MAX_STATES)
        self._states.append(ListState(revision=0, since_ms=clock.wall_ms(), instances=()))
        self._stale_at_ms: int | None = None
        self._stale_share = 1.0
        self.lag_ms = lag_ms
        self.reads = 0

    @property
    def revision(self) -> int:
        """Return the newest revision, which may not be served yet because of the lag."""
        return self._states[-1].revision

    def get(self, name: str) -> Instance | None:
        """Return an instance of the newest revision."""
        return self._instances.get(name)

    def set(self, *instances: Instance) -> None:
        """Add or replace instances in one revision."""
        for instance in instances:
            self._instances[instance.name] = instance
        self._add_state()

    def remove(self, *names: str) -> None:
        """Remove instances in one revision."""
        for name in names:
            self._instances.pop(name, None)
        self._add_state()

    def mark_leaving(self, name: str) -> None:
        """Set the state of an instance to leaving; unknown names are ignored."""
        instance = self._instances.get(name)
        if instance is None:
            return
        self._instances[name] = replace(instance, state=InstanceState.LEAVING)
        self._add_state()

    def set_lag(self, lag_ms: int) -> None:
        """Serve the list as of `lag_ms` ago from now on."""
        self.lag_ms = lag_ms
        self._changes.notify()

    def serve_stale(self, at_ms: int | None, *, share: float = 1.0) -> None:
        """Serve a share of all calls from the revision at a wall time; None ends it."""
        self._stale_at_ms = at_ms
        self._stale_share = share
        self._changes.notify()

    def restore(self, *, revision: int) -> None:
        """Return to a revision as from a backup, in a new epoch; later revisions are lost."""
        backup = next(state for state in self._states if state.revision == revision)
        epoch, since_ms = self._states[-1].epoch + 1, self._clock.wall_ms()
        self._states.clear()
        self._states.append(replace(backup, epoch=epoch, since_ms=since_ms))
        self._instances = {instance.name: instance for instance in backup.instances}
        self._changes.notify()

    def _add_state(self) -> None:
        instances = tuple(sorted(self._instances.values(), key=lambda instance: instance.name))
        if instances == self._states[-1].instances:
            return
        since_ms = max(self._clock.wall_ms(), self._states[-1].since_ms)
        state = ListState(
            epoch=self._states[-1].epoch,
            revision=self.revision + 1,
            since_ms=since_ms,
            instances=instances,
        )
        self._states.append(state)
        self._changes.notify()

    def _choose_state_time(self) -> int:
        """Return the wall time whose revision the next response contains."""
        stale = self._stale_at_ms
        if stale is not None and self._random.random() < self._stale_share:
            return stale
        return self._clock.wall_ms() - self.lag_ms

    def _find_state_at(self, at_ms: int) -> ListState:
        for state in reversed(self._states):
            if state.since_ms <= at_ms:
                return state
        return self._states[0]

    def _find_next(self, *, after: int, newest: ListState) -> ListState:
        """Return the oldest revision after `after`, at most the newest visible one."""
        for state in self._states:
            if after < state.revision <= newest.revision:
                return state
        return newest

    def _get_as_of(self, state: ListState, at_ms: int) -> int:
        """Return the last time up to `at_ms` at which a revision was current."""
        for later in self._states:
            if later.revision == state.revision + 1:
                return max(state.since_ms, min(at_ms, later.since_ms - 1))
        return at_ms

    def _add_routes(self, app: web.Application) -> None:
        app.router.add_get("/v1/instances", self._async_get)
        app.router.add_put("/standin/instances/{name}", self._async_put)
        app.router.add_delete("/standin/instances/{name}", self._async_delete)
        app.router.add_post("/standin/instances/{name}/leave", self._async_mark_leaving)
        app.router.add_post("/standin/lag", self._async_set_lag)

    async def _async_get(self, request: web.Request) -> web.StreamResponse:
        if self._outage.kind is OutageKind.ERROR:
            return make_error_response(status=503, code="outage")
        self.reads += 1
        if "after" not in request.query:
            at_ms = self._choose_state_time()
            return self._make_response(self._find_state_at(at_ms), at_ms)
        return await self._async_poll(
            after=get_query_int(request, "after", 0),
            epoch=get_query_int(request, "epoch", 0),
            timeout_ms=get_query_int(request, "timeout_ms", DEFAULT_POLL_MS),
        )

    async def _async_poll(self, *, after: int, epoch: int, timeout_ms: int) -> web.StreamResponse:
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            if self._outage.kind is OutageKind.ERROR:
                return make_error_response(status=503, code="outage")
            await self._gate.async_wait_open()
            at_ms = self._choose_state_time()
            newest = self._find_state_at(at_ms)
            if newest.epoch != epoch:
                return self._make_response(newest, at_ms)
            if newest.revision > after:
                return self._make_response(self._find_next(after=after, newest=newest), at_ms)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return web.Response(status=204, headers={HEADER_AS_OF: str(at_ms)})
            await self._changes.async_wait(
                min(remaining_ms, self._get_visibility_delay(newest, at_ms))
            )

    def _get_visibility_delay(self, newest: ListState, at_ms: int) -> int:
        """Return the milliseconds until the revision after `newest` becomes visible."""
        for state in self._states:
            if state.revision == newest.revision + 1 and state.since_ms > at_ms:
                return state.since_ms - at_ms
        return DEFAULT_POLL_MS

    def _make_response(self, state: ListState, at_ms: int) -> web.Response:
        return make_json_response(
            {
                "epoch": state.epoch,
                "revision": state.revision,
                "as_of_ms": self._get_as_of(state, at_ms),
                "instances": [_format_instance(instance) for instance in state.instances],
            }
        )

    async def _async_put(self, request: web.Request) -> web.Response:
        payload = await async_read_json_object(request)
        self.set(_parse_instance(request.match_info["name"], payload))
        return make_json_response({"revision": self.revision})

    async def _async_delete(self, request: web.Request) -> web.Response:
        self.remove(request.match_info["name"])
        return make_json_response({"revision": self.revision})

    async def _async_mark_leaving(self, request: web.Request) -> web.Response:
        self.mark_leaving(request.match_info["name"])
        return make_json_response({"revision": self.revision})

    async def _async_set_lag(self, request: web.Request) -> web.Response:
        payload = await async_read_json_object(request)
        self.set_lag(int(payload.get("ms", 0)))
        return make_json_response({})


def _format_instance(instance: Instance) -> dict[str, object]:
    return {
        "name": instance.name,
        "role": instance.role,
        "host": instance.address.host,
        "port": instance.address.port,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "pool": instance.pool,
        "weight": instance.weight,
        "state": instance.state,
    }


def _parse_instance(name: str, payload: dict[str, Any]) -> Instance:
    try:
        return Instance(
            name=name,
            role=Role(payload["role"]),
            address=Address(host=str(payload["host"]), port=int(payload["port"])),
            data_centre=str(payload["data_centre"]),
            region=str(payload["region"]),
            pool=str(payload.get("pool", "")),
            weight=float(payload.get("weight", 1.0)),
            state=InstanceState(payload.get("state", InstanceState.LIVE)),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise web.HTTPBadRequest(text=f"wrong instance: {error}") from None
