"""The filters that process the requests of callers."""
