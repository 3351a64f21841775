"""Adapter to the users' platform: wire names, formats and calls only."""
