"""Start a host, from its start image if a usable one exists."""

from __future__ import annotations

import gc
import os
import signal
import sys

from start_image import ImageError
from start_image import StartImage

IMAGE_PATH = os.path.join(os.path.dirname(__file__), "..", "target", "host.image")


def _install_image() -> None:
    try:
        sys.meta_path.insert(0, StartImage(path=IMAGE_PATH))
    except (ImageError, OSError) as error:
        print(f"Modules are imported from their files: {error}", file=sys.stderr)


def main() -> None:
    """Import the main function of the host and run it."""
    # Their default actions end the process; the host handles them once it has been imported.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
    _install_image()
    # Imported objects are never freed, so collecting cycles among them is wasted work.
    gc.disable()
    from tanagerscale.platform.__main__ import main as run

    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
