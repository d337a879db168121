"""Routes callers' requests by host and path, and relays them byte for byte."""
