"""What a side checks of a request before anything else."""

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


class Checks:
    """Decide whether this side may take a request at all."""

    __slots__ = ("_client", "_policy", "_settings", "_store", "_version")

    def __init__(
        self, *, settings: Upstream, store: ConfigurationStore, client: UpstreamClient
    ) -> None:
        self._settings = settings
        self._store = store
        self._client = client
        self._policy = Policy(configuration=store.current)
        self._version = store.current.version

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._policy = Policy(configuration=configuration)
        self._version = configuration.version

    @property
    def ready(self) -> bool:
        """Return whether new work can run here."""
        return self._find_not_ready() is None

    def find_refusal(self, request: Open) -> Refused | None:
        """Return why a request of this pool can't run here, None if it can."""
        return (
            self._find_not_ready()
            or self._find_missing_model(request)
            or self._find_missing_key(request)
        )

    def find_wrong_upstream(self, request: Open) -> Refused | None:
        """Return a refusal if the request is for another pool."""
        if request.pool == self._settings.pool and request.kind is self._settings.kind:
            return None
        return Refused(
            reason=Reason.WRONG_UPSTREAM,
            message=f"this is an upstream of pool {self._settings.pool}",
            elsewhere=True,
        )

    def _find_not_ready(self) -> Refused | None:
        if self._version == 0:
            return _refuse_not_ready("no configuration is in force yet")
        if self._policy.get_pool(self._settings.pool) is None:
            return _refuse_not_ready("the pool is not in the configuration")
        if not self._client.up:
            return _refuse_not_ready("the upstream does not answer")
        return None

    def _find_missing_model(self, request: Open) -> Refused | None:
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

    def _find_missing_key(self, request: Open) -> Refused | None:
        """Return a refusal where a router doesn't know yet that a call must not be repeated."""
        if request.idempotency_key:
            return None
        if not self._policy.must_not_repeat(
            pool=request.pool, method=request.method, path=request.path
        ):
            return None
        return Refused(reason=Reason.KEY_REQUIRED, message="this call needs an idempotency key")


def _refuse_not_ready(message: str) -> Refused:
    return Refused(
        reason=Reason.NOT_READY,
        message=message,
        retry_after_ms=RETRY_AFTER_MS,
        elsewhere=True,
    )
