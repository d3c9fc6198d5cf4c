"""General-purpose helpers without dependencies on the application."""
