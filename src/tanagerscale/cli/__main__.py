"""Lets ``python -m tanagerscale.cli`` run the command line."""

from __future__ import annotations

from tanagerscale.cli._main import main

if __name__ == "__main__":
    main()
