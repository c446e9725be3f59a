"""Runs the command line: `python -m yewhook`."""

from .cli import app

app()
