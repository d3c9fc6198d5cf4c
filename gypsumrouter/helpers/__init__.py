"""Helpers that are shared by several packages and depend on the application."""
