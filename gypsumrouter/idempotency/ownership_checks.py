"""Checks that this process owns a key and that no other process can have run its call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrouter.configuration.models import AtMostOnce, OpaqueKeys
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address
from gypsumrouter.idempotency.const import MAX_TRANSIT_MS, SKEW_FACTOR
from gypsumrouter.idempotency.keys import Key
from gypsumrouter.idempotency.ownership import OwnershipHistory
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

if TYPE_CHECKING:
    from gypsumrouter.settings import Platform


class OwnershipChecks:
    """Checks of the list lease, of the time since this process owns a key, and of the key's age.

    The design is described in docs/decisions/0001. A `Refused` with `elsewhere` only means that
    this process did not run the request. Any other `Refused` means that no process has run the
    call. A `Failed` leaves open whether it ran.
    """

    __slots__ = (
        "_app",
        "_listening_since_ms",
        "_ownership",
        "_policy",
        "_settings",
        "_window_extended_ms",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: Platform,
        policy: AtMostOnce,
        ownership: OwnershipHistory,
    ) -> None:
        self._app = app
        self._settings = settings
        self._policy = policy
        self._ownership = ownership
        self._listening_since_ms: int | None = None
        self._window_extended_ms = 0

    @property
    def listening_since_ms(self) -> int | None:
        """Return the wall time at which this process began to listen."""
        return self._listening_since_ms

    @property
    def opaque_lifetime_ms(self) -> int:
        """Return how long after its first attempt a call with an opaque key may still arrive."""
        return self._policy.window_ms + MAX_TRANSIT_MS

    def set_listen_address(self, address: Address) -> None:
        """Set the listen address; an earlier process at this address began its calls before now."""
        self._listening_since_ms = self._app.clock.wall_ms()
        self._ownership.set_address(address)

    def set_policy(self, policy: AtMostOnce) -> None:
        """Change the time window; a longer one only applies to calls sent from now on."""
        if policy.window_ms > self._policy.window_ms:
            self._window_extended_ms = self._app.clock.wall_ms()
        self._policy = policy

    def check(self, *, workspace: str, key: Key, expired_until_ms: int) -> Failure | None:
        """Return None if no other process can have run the key's call or may run it now.

        `expired_until_ms` is the highest creation time of the calls whose records have expired.
        """
        if self._app.stopping.is_set():
            return Refused(reason=Reason.LEAVING, elsewhere=True)
        as_of_ms = self._ownership.as_of_ms
        if as_of_ms is None or self._listening_since_ms is None:
            return self._make_unconfirmed()
        owned_since_ms = self._ownership.find_owned_since_ms(workspace=workspace, key=key.text)
        if owned_since_ms is None:
            return self._make_not_owner()
        earlier_runs_until_ms = self._get_earlier_runs_until_ms(
            owned_since_ms, self._listening_since_ms
        )
        if key.created_ms is None:
            return self._check_lease(as_of_ms) or self._check_opaque(earlier_runs_until_ms)
        failure = self._check_age(key.created_ms, earlier_runs_until_ms, expired_until_ms)
        return (
            failure or self._check_lease(as_of_ms, key.created_ms) or self._check_not_in_future(key)
        )

    def check_transit(self, key: Key, received_wall_ms: int | None) -> Failure | None:
        """Reject a request with an opaque key that took longer than `MAX_TRANSIT_MS` to arrive."""
        if key.created_ms is not None or received_wall_ms is None:
            return None
        if self._app.clock.wall_ms() - received_wall_ms <= MAX_TRANSIT_MS:
            return None
        return Failed(reason=Reason.KEY_EXPIRED, message="the request was on its way for too long")

    def _check_age(
        self, created_ms: int, earlier_runs_until_ms: int, expired_until_ms: int
    ) -> Failure | None:
        window_start_ms = self._app.clock.wall_ms() - self._policy.window_ms
        if created_ms <= max(window_start_ms, expired_until_ms):
            message = f"the key is older than {self._policy.window_ms} ms"
            return Failed(reason=Reason.KEY_EXPIRED, message=message)
        if created_ms <= earlier_runs_until_ms:
            message = "an earlier instance may have run this call"
            return Failed(reason=Reason.EARLIER_RUN_UNKNOWN, message=message)
        return None

    def _check_lease(self, as_of_ms: int, created_ms: int | None = None) -> Failure | None:
        age_ms = self._app.clock.wall_ms() - as_of_ms
        if -self._settings.clock_skew_ms <= age_ms < self._settings.list_lease_ms:
            return None
        # A later owner rejects keys created before its ownership began plus lease and clock skew.
        never_run = created_ms is not None and created_ms <= self._get_lease_end_ms(as_of_ms)
        return self._make_unconfirmed(never_run=never_run)

    def _check_not_in_future(self, key: Key) -> Failure | None:
        created_ms = key.created_ms or 0
        if created_ms <= self._app.clock.wall_ms() + self._settings.clock_skew_ms:
            return None
        message = "the creation time of the key lies ahead"
        return Refused(reason=Reason.KEY_INVALID, message=message)

    def _check_opaque(self, earlier_runs_until_ms: int) -> Failure | None:
        if self._policy.opaque_keys is OpaqueKeys.REFUSE:
            message = "the key must carry its creation time: send a UUIDv7 or a ULID"
            return Refused(reason=Reason.KEY_INVALID, message=message)
        safe_from_ms = (
            max(earlier_runs_until_ms, self._window_extended_ms) + self.opaque_lifetime_ms
        )
        wait_ms = safe_from_ms - self._app.clock.wall_ms()
        if wait_ms < 0:
            return None
        return Failed(
            reason=Reason.KEY_OWNER_TOO_RECENT,
            message="an earlier instance may have run this call; a UUIDv7 as key waits less",
            retry_after_ms=wait_ms + 1,
        )

    def _get_earlier_runs_until_ms(self, owned_since_ms: int, listening_since_ms: int) -> int:
        """Return the highest creation time of keys that an earlier process may have run."""
        return max(
            self._get_lease_end_ms(owned_since_ms), listening_since_ms + self._get_skew_margin_ms()
        )

    def _get_lease_end_ms(self, as_of_ms: int) -> int:
        return as_of_ms + self._settings.list_lease_ms + self._get_skew_margin_ms()

    def _get_skew_margin_ms(self) -> int:
        return SKEW_FACTOR * self._settings.clock_skew_ms

    def _make_not_owner(self) -> Refused:
        retry_after_ms = self._settings.list_poll_ms
        return Refused(reason=Reason.NOT_KEY_OWNER, retry_after_ms=retry_after_ms, elsewhere=True)

    def _make_unconfirmed(self, *, never_run: bool = False) -> Failure:
        kind = Refused if never_run else Failed
        return kind(
            reason=Reason.KEY_OWNER_UNCONFIRMED,
            message="the instance list is too old to confirm the home of this call",
            retry_after_ms=self._settings.list_poll_ms,
        )
