"""Messages and gRPC services between instances."""
