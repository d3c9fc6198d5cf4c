"""Checks that a request must pass before it is queued for the upstream."""

from __future__ import annotations

from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import UpstreamKind
from gypsumrouter.exchange.const import RETRY_AFTER_MS
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.policy import Policy
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream import UpstreamClient


class RequestChecks:
    """Check readiness, target pool, model and idempotency key of incoming requests."""

    __slots__ = ("_client", "_policy", "_settings", "_version")

    def __init__(
        self, *, settings: Upstream, store: ConfigurationStore, client: UpstreamClient
    ) -> None:
        self._settings = settings
        self._client = client
        self._policy = Policy(configuration=store.current)
        self._version = store.current.version

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._policy = Policy(configuration=configuration)
        self._version = configuration.version

    @property
    def ready(self) -> bool:
        """Return whether new requests can be accepted."""
        return self._check_ready() is None

    def check_request(self, request: Open) -> Refused | None:
        """Return a refusal if a request for this pool cannot run here, else None."""
        return self._check_ready() or self._check_model(request) or self._check_key(request)

    def check_target(self, request: Open) -> Refused | None:
        """Return a refusal if the request is for another pool or kind of upstream."""
        if request.pool == self._settings.pool and request.kind is self._settings.kind:
            return None
        return Refused(
            reason=Reason.WRONG_UPSTREAM,
            message=f"this is an upstream of pool {self._settings.pool}",
            elsewhere=True,
        )

    def _check_ready(self) -> Refused | None:
        if self._version == 0:
            return _make_not_ready("no configuration is in force yet")
        if self._policy.get_pool(self._settings.pool) is None:
            return _make_not_ready("the pool is not in the configuration")
        if not self._client.up:
            return _make_not_ready("the upstream does not answer")
        return None

    def _check_model(self, request: Open) -> Refused | None:
        if self._settings.kind is not UpstreamKind.ENGINE or not request.model:
            return None
        if request.model in self._client.models:
            return None
        return Refused(
            reason=Reason.MODEL_NOT_LOADED,
            message=f"model {request.model} is not held here",
            retry_after_ms=RETRY_AFTER_MS,
            elsewhere=True,
        )

    def _check_key(self, request: Open) -> Refused | None:
        """Return a refusal if an at-most-once call has no idempotency key.

        Routers require the key too, but may still use an older configuration.
        """
        if request.idempotency_key:
            return None
        if not self._policy.must_not_repeat(
            pool=request.pool, method=request.method, path=request.path
        ):
            return None
        return Refused(reason=Reason.KEY_REQUIRED, message="this call needs an idempotency key")


def _make_not_ready(message: str) -> Refused:
    return Refused(
        reason=Reason.NOT_READY,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
        elsewhere=True,
    )
