"""Starts a host, from its start image if there is one."""

from __future__ import annotations

import gc
import os
import sys

from start_image import ImageError
from start_image import StartImage

IMAGE = os.path.join(os.path.dirname(__file__), "..", "target", "host.image")


def _use_image() -> None:
    try:
        sys.meta_path.insert(0, StartImage(path=IMAGE))
    except (ImageError, OSError) as error:
        print(f"Modules are imported from their files: {error}", file=sys.stderr)


def main() -> None:
    """Import the host's program and run it."""
    _use_image()
    # All that is imported stays, so looking through it for cycles is of no use.
    gc.disable()
    from tanagerscale.platform.__main__ import main as run

    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
