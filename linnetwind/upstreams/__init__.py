"""Upstreams: registration, health, rate limits and choice."""
