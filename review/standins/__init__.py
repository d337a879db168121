"""Small stand-ins of the platform, runners and requesters for the cases."""
