"""How a request can end, as values that callers `match` on."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class Executed(StrEnum):
    """Whether a request that got no answer ran at an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Stable codes of every way in which a request ends without its answer."""

    # Wrong requests: never run.
    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_INVALID = "idempotency_key_invalid"
    KEY_REUSED = "idempotency_key_reused"
    REFUSED_BY_RULE = "refused_by_rule"
    # Load: never run, worth a later try.
    WORKSPACE_LIMIT = "workspace_limit"
    OVER_CAP = "over_cap"
    QUEUE_FULL = "queue_full"
    UPSTREAMS_BACKING_OFF = "upstreams_rest"
    TARGET_UNATTAINABLE = "target_hopeless"
    RETRY_BUDGET = "retry_budget_spent"
    # Membership: never run, worth a try elsewhere.
    LEAVING = "leaving"
    NO_INSTANCE = "no_instance"
    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"
    NOT_READY = "not_ready"
    UNREACHABLE = "unreachable"
    WRONG_UPSTREAM = "wrong_upstream"
    MODEL_NOT_LOADED = "model_not_held"
    # At most once.
    NOT_KEY_OWNER = "not_home"
    KEY_OWNER_UNCONFIRMED = "home_unconfirmed"
    KEY_OWNER_TOO_RECENT = "home_too_young"
    CALL_RECORDS_FULL = "memory_full"
    KEY_EXPIRED = "idempotency_key_expired"
    EARLIER_RUN_UNKNOWN = "earlier_run_unknown"
    # Requests that crash their upstream.
    SUSPECT = "suspect"
    SUSPECT_ISOLATED = "suspect_isolated"
    # The outcome is unknown.
    LINK_LOST = "link_lost"
    SIDE_RESTARTED = "side_restarted"
    ANSWER_EVICTED = "answer_evicted"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_TIMEOUT = "upstream_silent"
    UPSTREAM_PROTOCOL = "upstream_protocol"
    CORRUPTED = "corrupted"
    DEADLINE = "deadline_exceeded"
    CANCELLED = "cancelled"
    STOPPED = "stopped"


class Refused(Struct, frozen=True, kw_only=True):
    """The request was not run, and whoever says so makes sure that it never will be.

    `retry_after_ms` is None where trying again does not help. `elsewhere` says that another
    instance may take it now.
    """

    reason: Reason
    message: str = ""
    retry_after_ms: int | None = None
    elsewhere: bool = False


class Failed(Struct, frozen=True, kw_only=True):
    """The request ended without a whole answer, and it may have run."""

    reason: Reason
    message: str = ""
    retry_after_ms: int | None = None


Failure = Refused | Failed


def get_executed(failure: Failure) -> Executed:
    """Return what a caller is told about whether the request ran."""
    match failure:
        case Refused():
            return Executed.NOT_RUN
        case Failed():
            return Executed.UNKNOWN
