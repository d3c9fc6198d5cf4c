"""Distributed router between HTTP callers and model engines or plain services."""
