"""Clients of the platform's services and codecs of its formats."""
