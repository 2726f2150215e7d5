"""Start a host, from its start image if a usable one exists."""

# ruff: noqa: E402, I002
# Until these signals are blocked their default actions end the process, so this comes before all
# imports that read files; _signal is compiled into the interpreter.
import _signal  # type: ignore[import-not-found]

_signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGUSR1))

import gc
import os
import sys

from start_image import StartImage
from start_image import interpreter_tag

TARGET_PATH = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "target")
IMAGE_PATH = os.path.join(TARGET_PATH, "host.image")
STAMP_PATH = os.path.join(TARGET_PATH, "deps", ".built")
"""File in which the build records the interpreter that the packages were installed for."""

STANDARD_ERROR = 2
EXIT_ERROR = 1


def _report(text: str) -> None:
    try:
        os.write(STANDARD_ERROR, f"{text}\n".encode(errors="backslashreplace"))
    except OSError:
        # Nobody reads it, which doesn't keep the host from starting.
        return


def _install_image() -> None:
    try:
        sys.meta_path.insert(0, StartImage(path=IMAGE_PATH))
    # A damaged image may raise any error as it is decoded.
    except Exception as error:
        _report(f"Modules are imported from their files: {error}")


def _describe_product() -> str:
    """Return why the built product may not be usable, for the log."""
    try:
        with open(STAMP_PATH, "rb") as stamp:
            tag = stamp.readline().strip()
    except OSError as error:
        return f"the packages have no stamp ({error}); run sh deploy/build.sh"
    if tag != interpreter_tag().hex().encode():
        return (
            "the packages were built by another interpreter or for another kind of machine; "
            "run sh deploy/build.sh"
        )
    return "the packages were built for this interpreter"


def main() -> None:
    """Import the main function of the host and run it."""
    _install_image()
    # Imported objects are never freed, so collecting cycles among them is wasted work.
    gc.disable()
    try:
        from tanagerscale.platform.__main__ import main as run
    except Exception as error:
        _report(f"The process ends by {error!r}; {_describe_product()}. Exit code {EXIT_ERROR}.")
        raise
    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
