"""Entry point of ``python -m tanagerscale.daemon``."""

from __future__ import annotations

from tanagerscale.daemon import main

if __name__ == "__main__":
    main()
