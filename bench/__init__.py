"""Measurements that start processes: policies, relay, spread, soak."""
