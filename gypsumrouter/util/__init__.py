"""Pure functions and small types that know nothing of the application."""
