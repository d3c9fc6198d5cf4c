"""Mechanisms of the forwarder that can be disabled one by one for an ablation measurement.

All are enabled unless the setting `without` names them. Disabling one may cost performance but
never changes the guarantees to callers.
"""

from __future__ import annotations

from enum import StrEnum


class Mechanism(StrEnum):
    """One mechanism; its value is the name in the settings and in the state dump."""

    # Placement.
    # An engine copies cached prompt parts from another engine.
    CACHE_TRANSFER = "copies"
    # Loads include the counts that peers report.
    PEER_LOADS = "peer_loads"
    # Prompt parts placed by peers count as cached at their upstreams.
    PEER_PLACEMENTS = "peer_placements"
    # Prompt tokens that peers report as pending are reduced by what was prefilled since.
    PREFILL_PROGRESS = "reading_on"
    # A prompt that no engine has cached goes to the first upstream of its affinity order.
    AFFINITY = "stable_order"
    # Upstreams in the router's own data centre are preferred.
    LOCALITY = "near_first"
    # Upstreams whose responses fail or are slow are penalised.
    HEALTH = "health"
    # Unreachable upstreams are excluded while another one is available.
    EXCLUDE_UNREACHABLE = "rest_when_down"
    # Requests without a prompt are spread by the router's own request counts.
    PLAIN_OWN_LOAD = "plain_spread"
    # The cache contents of an upstream are kept for a while after its entry is removed.
    CACHE_RETENTION = "lapsed_beliefs"
    # Upstreams in slow start receive no requests while a warm one is available.
    WARM_FIRST = "warm_first"
    # State at start.
    # A router that starts fetches the cache contents of the engines.
    INVENTORY = "inventory"
    # It fetches them from peers before it queries engines.
    PEER_INVENTORY = "told_inventory"
    # Request handling.
    # Requests without a prompt that would miss their deadline are rejected at once.
    DEADLINE_ADMISSION = "hopeless_refused"
    # Connections to upstreams are reused.
    KEEP_ALIVE = "kept_connections"
    # Failed attempts of idempotent requests are retried on another upstream.
    RETRIES = "second_tries"
    # An upstream that does not respond in time is replaced by another one.
    RESPONSE_TIMEOUT = "silence"
    # Requests that crash several upstreams are not sent to a further one.
    SUSPECTS = "suspects"
    # Requests carry their priority to engines.
    PRIORITIES = "priorities"
    # During a shutdown, only requests that end before the running ones are accepted.
    SHUTDOWN_ADMISSION = "leaving_admission"
    # Contention for upstreams.
    # The load and the pace that upstreams report are used.
    LOAD_REPORTS = "load_reports"
    # The cap on load allows for requests that peers have sent since their last report.
    CAP_MARGIN = "cap_margin"
    # Each engine has a prefill speed of its own.
    ENGINE_SPEED = "engine_speed"
    # Engines without memory for a request are avoided.
    ENGINE_MEMORY = "engine_memory"
    # Requests wait in the router while all upstreams are expected to be late.
    CONTENTION_QUEUE = "contention_queue"
    # Workspaces above their fair share wait or are refused first.
    FAIR_SHARES = "fair_shares"
    # Refused requests get a time to return at and keep their place until then.
    RETURN_ORDER = "return_order"
    # Waiting requests are released by urgency.
    URGENCY_ORDER = "urgency_order"
    # A prompt in high demand is spread over several engines.
    PROMPT_SPREAD = "prompt_spread"
    # Upstreams that have stopped responding are avoided before requests to them time out.
    SILENCE = "silent_upstreams"
