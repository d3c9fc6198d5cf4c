"""Decisions of the forwarder while upstreams lack capacity for all requests."""
