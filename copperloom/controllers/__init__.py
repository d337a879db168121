"""Control loops that adjust the observed state to the configuration."""
