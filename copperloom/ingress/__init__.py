"""Serves callers by host and path, and passes requests on byte for byte."""
