"""Stand-ins of requesters, runners and the store for the cases 6 to 10."""
