"""Whether this process is the home of a key, and no other one can have run it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrouter.configuration.models import AtMostOnce, OpaqueKeys
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address
from gypsumrouter.idempotency.const import MAX_TRANSIT_MS, SKEWS
from gypsumrouter.idempotency.homes import Tenure
from gypsumrouter.idempotency.keys import Key
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform


class HomeConfirmation:
    """The checks of docs/decisions/0001: lease, tenure, and the age of a key against both.

    A refusal that says `elsewhere` speaks of the request alone. Any other one says that the call
    as a whole was not run before by anyone.
    """

    __slots__ = ("_app", "_floor_ms", "_opaque_floor_ms", "_policy", "_settings", "_tenure")

    def __init__(
        self, *, app: Application, settings: Platform, policy: AtMostOnce, tenure: Tenure
    ) -> None:
        self._app = app
        self._settings = settings
        self._policy = policy
        self._tenure = tenure
        self._floor_ms: int | None = None
        self._opaque_floor_ms = 0

    @property
    def listening_since_ms(self) -> int | None:
        """Return the wall time since when this process listens."""
        return self._floor_ms

    @property
    def opaque_cover_ms(self) -> int:
        """Return how long after the first sending a request with an opaque key may arrive."""
        return self._policy.window_ms + MAX_TRANSIT_MS

    def note_listening(self, address: Address) -> None:
        """Say that the listener is bound; calls of an earlier process here were begun before."""
        self._floor_ms = self._app.clock.wall_ms()
        self._tenure.set_address(address)

    def set_policy(self, policy: AtMostOnce) -> None:
        """Change the window; a longer one does not cover what was sent before."""
        if policy.window_ms > self._policy.window_ms:
            self._opaque_floor_ms = self._app.clock.wall_ms()
        self._policy = policy

    def check(self, *, workspace: str, key: Key, forgotten_ms: int) -> Failure | None:
        """Return None if no other process can have run this key, nor may run it now.

        `forgotten_ms` is the creation time up to which this process has forgotten its calls.
        """
        if self._app.stopping.is_set():
            return Refused(reason=Reason.LEAVING, elsewhere=True)
        as_of_ms = self._tenure.as_of_ms
        if as_of_ms is None or self._floor_ms is None:
            return self._make_unconfirmed()
        since_ms = self._tenure.find_since_ms(workspace=workspace, key=key.text)
        if since_ms is None:
            return self._make_not_home()
        bound_ms = self._get_bound_ms(since_ms, self._floor_ms)
        if key.created_ms is None:
            return self._check_lease(as_of_ms) or self._check_opaque(bound_ms)
        failure = self._check_age(key.created_ms, bound_ms, forgotten_ms)
        return failure or self._check_lease(as_of_ms, key.created_ms) or self._check_ahead(key)

    def check_transit(self, key: Key, received_wall_ms: int | None) -> Failure | None:
        """Stop a request with an opaque key that was held up for too long on its way."""
        if key.created_ms is not None or received_wall_ms is None:
            return None
        if self._app.clock.wall_ms() - received_wall_ms <= MAX_TRANSIT_MS:
            return None
        return Failed(reason=Reason.KEY_EXPIRED, message="the request was on its way for too long")

    def _check_age(self, created_ms: int, bound_ms: int, forgotten_ms: int) -> Failure | None:
        expired_ms = self._app.clock.wall_ms() - self._policy.window_ms
        if created_ms <= max(expired_ms, forgotten_ms):
            message = f"the key is older than {self._policy.window_ms} ms"
            return Failed(reason=Reason.KEY_EXPIRED, message=message)
        if created_ms <= bound_ms:
            message = "an earlier instance may have run this call"
            return Failed(reason=Reason.EARLIER_RUN_UNKNOWN, message=message)
        return None

    def _check_lease(self, as_of_ms: int, created_ms: int | None = None) -> Failure | None:
        age_ms = self._app.clock.wall_ms() - as_of_ms
        if -self._settings.clock_skew_ms <= age_ms < self._settings.list_lease_ms:
            return None
        # A later home takes only keys above the bound of its own, later tenure.
        never_run = created_ms is not None and created_ms <= self._add_lease(as_of_ms)
        return self._make_unconfirmed(never_run=never_run)

    def _check_ahead(self, key: Key) -> Failure | None:
        created_ms = key.created_ms or 0
        if created_ms <= self._app.clock.wall_ms() + self._settings.clock_skew_ms:
            return None
        message = "the creation time of the key lies ahead"
        return Refused(reason=Reason.KEY_INVALID, message=message)

    def _check_opaque(self, bound_ms: int) -> Failure | None:
        if self._policy.opaque_keys is OpaqueKeys.REFUSE:
            message = "the key must carry its creation time: send a UUIDv7 or a ULID"
            return Refused(reason=Reason.KEY_INVALID, message=message)
        confirmed_ms = max(bound_ms, self._opaque_floor_ms) + self.opaque_cover_ms
        young_ms = confirmed_ms - self._app.clock.wall_ms()
        if young_ms < 0:
            return None
        return Failed(
            reason=Reason.KEY_OWNER_TOO_RECENT,
            message="an earlier instance may have run this call; a UUIDv7 as key waits less",
            retry_after_ms=young_ms + 1,
        )

    def _get_bound_ms(self, since_ms: int, floor_ms: int) -> int:
        """Return the highest creation time of the keys that an earlier process can have run."""
        return max(self._add_lease(since_ms), floor_ms + self._get_margin_ms())

    def _add_lease(self, as_of_ms: int) -> int:
        return as_of_ms + self._settings.list_lease_ms + self._get_margin_ms()

    def _get_margin_ms(self) -> int:
        return SKEWS * self._settings.clock_skew_ms

    def _make_not_home(self) -> Refused:
        retry_after_ms = self._settings.list_poll_ms
        return Refused(reason=Reason.NOT_KEY_OWNER, retry_after_ms=retry_after_ms, elsewhere=True)

    def _make_unconfirmed(self, *, never_run: bool = False) -> Failure:
        kind = Refused if never_run else Failed
        return kind(
            reason=Reason.KEY_OWNER_UNCONFIRMED,
            message="the instance list is too old to confirm the home of this call",
            retry_after_ms=self._settings.list_poll_ms,
        )
