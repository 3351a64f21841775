"""Lets the console command run as `python -m linnetwind`."""

from linnetwind.cli import app

app()
