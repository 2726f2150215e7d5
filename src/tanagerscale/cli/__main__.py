"""Entry point of ``python -m tanagerscale.cli``."""

from __future__ import annotations

from tanagerscale.cli._main import main

if __name__ == "__main__":
    main()
