"""Import hook that loads the compiled code of all modules of a host from a single file.

A host imports about 550 modules; finding and reading their files takes 7,000 system calls. The
image needs a fifth of these, so a killed host restarts sooner, and hundreds of hosts that start
at the same time do not all read the same module files.

This module itself is imported from its own file and therefore keeps its imports to a minimum.
"""

from __future__ import annotations

from importlib.machinery import EXTENSION_SUFFIXES
from importlib.machinery import ModuleSpec
from importlib.util import MAGIC_NUMBER
import marshal
import os
import sys

# typing.TYPE_CHECKING is not used: importing typing takes longer than importing this module.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

LENGTH_FIELD_BYTES = 8
"""Size of each of the two length fields after the tag: length of the index and of all code."""

READ_BUFFER_BYTES = 256 * 1024
"""Size of one buffered read; holds about twenty modules, which are stored in import order."""


class ImageError(Exception):
    """Raised for an unusable image; modules are then imported from their files."""


class StartImage:
    """Meta path finder and loader for the modules in an image; others are imported from files.

    :param path: Path of the image.
    :raises ImageError: If the image was built by another interpreter version, for another kind of
        machine or without these packages, or is truncated.
    :raises OSError: If the image cannot be read.
    """

    def __init__(self, *, path: str) -> None:
        self._directories = get_directories(path)
        self._file = open(path, "rb", buffering=READ_BUFFER_BYTES)  # noqa: SIM115 - Kept open.
        tag = interpreter_tag()
        if self._file.read(len(tag)) != tag:
            raise ImageError(
                "The start image was built by another interpreter version or for another kind of "
                "machine; build it again."
            )
        index_length = self._read_length()
        code_length = self._read_length()
        self._code_offset = len(tag) + 2 * LENGTH_FIELD_BYTES + index_length
        if os.fstat(self._file.fileno()).st_size != self._code_offset + code_length:
            raise ImageError("The start image is truncated; build it again.")
        self._index = marshal.loads(self._file.read(index_length))
        self._check_directories()

    def _check_directories(self) -> None:
        """Check that the modules' files are where the image expects them."""
        for number in {entry[1] for entry in self._index.values()}:
            directory = self._directories[number]
            if directory and not os.path.isdir(directory):
                raise ImageError(
                    f"The start image needs the directory {directory}; build it again."
                )

    def _read_length(self) -> int:
        return int.from_bytes(self._file.read(LENGTH_FIELD_BYTES), "little")

    def find_spec(
        self, name: str, _path: Sequence[str] | None = None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module, or ``None`` if the module is not in the image."""
        entry = self._index.get(name)
        if entry is None:
            return None
        is_package, directory, origin, _, _ = entry
        origin = os.path.join(self._directories[directory], origin)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, _spec: ModuleSpec) -> ModuleType | None:
        """Return ``None``, so that the interpreter creates the module object."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module."""
        *_, offset, length = self._index[module.__name__]
        self._file.seek(self._code_offset + offset)
        exec(marshal.loads(self._file.read(length)), module.__dict__)


def get_directories(path: str | os.PathLike[str]) -> tuple[str, ...]:
    """Return the directories that paths in an image are relative to; the last one is for others.

    :param path: Path of the image, beside which the directory of the packages stands.
    """
    target = os.path.dirname(os.path.abspath(path))
    return (os.path.join(target, "deps"), os.path.dirname(os.__file__), "")


def interpreter_tag() -> bytes:
    """Return a tag of the interpreter's version and of the kind of machine that it runs on.

    The compiled code in an image depends on the former, extension modules on both.
    """
    return MAGIC_NUMBER + f"{sys.version} {EXTENSION_SUFFIXES[0]}".encode()
