"""The chain of filters that every request passes."""
