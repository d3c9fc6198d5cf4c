"""Placeholder docstring, replaced when the aggregate lands."""
