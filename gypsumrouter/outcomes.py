"""Failure outcomes of a request, as values for `match` statements."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class Executed(StrEnum):
    """Whether a failed request was executed by an upstream; sent to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Stable codes of the reasons for which a request fails; sent to the caller."""

    # Invalid requests: not run.
    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_INVALID = "idempotency_key_invalid"
    KEY_REUSED = "idempotency_key_reused"
    REFUSED_BY_RULE = "refused_by_rule"
    # Load: not run; a later retry may succeed.
    WORKSPACE_LIMIT = "workspace_limit"
    OVER_CAP = "over_cap"
    QUEUE_FULL = "queue_full"
    # Every eligible upstream is in a back-off period.
    UPSTREAMS_BACKING_OFF = "upstreams_rest"
    # The request would miss its deadline while waiting.
    TARGET_UNATTAINABLE = "target_hopeless"
    RETRY_BUDGET = "retry_budget_spent"
    # Membership: not run; another instance may accept the request.
    LEAVING = "leaving"
    NO_INSTANCE = "no_instance"
    # All remaining upstreams are in evacuated data centres.
    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"
    NOT_READY = "not_ready"
    UNREACHABLE = "unreachable"
    WRONG_UPSTREAM = "wrong_upstream"
    MODEL_NOT_LOADED = "model_not_held"
    # Streams that go on: not run, as it is not known at which version the stream began, or as no
    # upstream has that version any more. The caller can only begin anew.
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    # Calls that must run at most once.
    NOT_KEY_OWNER = "not_home"
    # The owner's instance list is too old to confirm that it owns the idempotency key.
    KEY_OWNER_UNCONFIRMED = "home_unconfirmed"
    # The key may have been used at an earlier owner.
    KEY_OWNER_TOO_RECENT = "home_too_young"
    CALL_RECORDS_FULL = "memory_full"
    KEY_EXPIRED = "idempotency_key_expired"
    EARLIER_RUN_UNKNOWN = "earlier_run_unknown"
    # Requests that crash their upstream.
    SUSPECT = "suspect"
    SUSPECT_ISOLATED = "suspect_isolated"
    # Other requests with the same part of a prompt crashed theirs; it may become harmless.
    CRASHES_UPSTREAMS = "crashes_upstreams"
    # Failures after which the request may have run.
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
    """The request was rejected: it has not run and will not run.

    `retry_after_ms` is None if a retry would not help. `elsewhere` is set if another instance may
    accept the request now.
    """

    reason: Reason
    message: str = ""
    retry_after_ms: int | None = None
    elsewhere: bool = False


class Failed(Struct, frozen=True, kw_only=True):
    """The request failed without a complete answer and may have run."""

    reason: Reason
    message: str = ""
    retry_after_ms: int | None = None


Failure = Refused | Failed


def get_executed(failure: Failure) -> Executed:
    """Return the execution status that is reported to the caller."""
    match failure:
        case Refused():
            return Executed.NOT_RUN
        case Failed():
            return Executed.UNKNOWN
