"""Messages between entries."""
