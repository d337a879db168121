"""Small programs that speak the platform's published protocol, for tests."""
