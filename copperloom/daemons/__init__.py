"""The entry daemon."""
