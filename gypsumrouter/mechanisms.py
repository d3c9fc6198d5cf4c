"""The forwarder's mechanisms that a measurement can switch off one by one.

All are on unless the settings name them under `without`. Switching one off never breaks a promise
to callers; it shows what the mechanism is worth on the load at hand.
"""

from __future__ import annotations

from enum import StrEnum


class Mechanism(StrEnum):
    """One mechanism, by the name that settings and the state dump show."""

    # Placement.
    COPIES = "copies"
    PEER_LOADS = "peer_loads"
    PEER_PLACEMENTS = "peer_placements"
    READING_ON = "reading_on"
    STABLE_ORDER = "stable_order"
    NEAR_FIRST = "near_first"
    HEALTH = "health"
    REST_WHEN_DOWN = "rest_when_down"
    PLAIN_SPREAD = "plain_spread"
    LAPSED_BELIEFS = "lapsed_beliefs"
    # Upstreams that warm up get nothing while a warm one can take it.
    WARM_FIRST = "warm_first"
    # What a router that starts learns.
    INVENTORY = "inventory"
    TOLD_INVENTORY = "told_inventory"
    # The way of one request.
    # Plain requests that cannot be answered in time are refused at once.
    HOPELESS_REFUSED = "hopeless_refused"
    KEPT_CONNECTIONS = "kept_connections"
    SECOND_TRIES = "second_tries"
    SILENCE = "silence"
    SUSPECTS = "suspects"
    PRIORITIES = "priorities"
    LEAVING_ADMISSION = "leaving_admission"
