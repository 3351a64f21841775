"""Admission of requests: who runs, waits or is rejected."""
