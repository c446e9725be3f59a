"""Runs the command line: `python -m yewhook`."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command; `serve` is run without the command-line library of the others, for its memory."""
    if sys.argv[1:2] == ["serve"]:
        from .serve import serve

        serve(sys.argv[2:])
    else:
        from .cli import app

        app()


if __name__ == "__main__":
    main()
