"""What several aggregates share and that knows the application."""
