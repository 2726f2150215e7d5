"""The compiled code of all modules that a host imports, in one file.

A host imports some 550 modules, whose files take 7,000 calls to the system to find and to read. One
file takes a fifth of these. A host that was killed is back sooner by that, and hundreds of hosts
that start together don't read the same files at the same moment.

This module itself is imported from its file, so it imports next to nothing.
"""

from __future__ import annotations

from importlib.machinery import ModuleSpec
from importlib.util import MAGIC_NUMBER
import marshal
import os
import sys

# The usual constant stands in a module that takes longer to import than this one.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

LENGTH_BYTES = 8
"""Bytes of each of the two numbers after the tag: the lengths of the index and of all code."""

READ_BYTES = 256 * 1024
"""What is read at once. Modules stand in the order in which they are imported, twenty in so many
bytes."""


class ImageError(Exception):
    """An image that can't be used; modules are then imported from their files."""


class StartImage:
    """Finds and imports modules in an image; others come from their files.

    :param path: The image.
    :raises ImageError: It was made by another version of the interpreter, or is not whole.
    :raises OSError: It can't be read.
    """

    def __init__(self, *, path: str) -> None:
        self._file = open(path, "rb", buffering=READ_BYTES)  # noqa: SIM115 - It stays open.
        tag = interpreter_tag()
        if self._file.read(len(tag)) != tag:
            raise ImageError("It is not an image of this interpreter; build it again.")
        index_length = self._read_length()
        codes_length = self._read_length()
        self._codes_at = len(tag) + 2 * LENGTH_BYTES + index_length
        if os.fstat(self._file.fileno()).st_size != self._codes_at + codes_length:
            raise ImageError("The image is not whole; build it again.")
        self._index = marshal.loads(self._file.read(index_length))

    def _read_length(self) -> int:
        return int.from_bytes(self._file.read(LENGTH_BYTES), "little")

    def find_spec(
        self, name: str, _path: Sequence[str] | None = None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return how a module is imported, or ``None`` when it is not in the image."""
        entry = self._index.get(name)
        if entry is None:
            return None
        is_package, origin, _, _ = entry
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, _spec: ModuleSpec) -> ModuleType | None:
        """Leave it to the interpreter to make the module."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's code."""
        _, _, offset, length = self._index[module.__name__]
        self._file.seek(self._codes_at + offset)
        exec(marshal.loads(self._file.read(length)), module.__dict__)


def interpreter_tag() -> bytes:
    """Return what tells whose compiled code an image holds."""
    return MAGIC_NUMBER + sys.version.encode()
