"""Build the start image of a host: ``build_image.py PATH``."""

from __future__ import annotations

from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from importlib.machinery import SourceFileLoader
import marshal
from pathlib import Path
import sys
from types import ModuleType
from typing import final

from start_image import LENGTH_FIELD_BYTES
from start_image import interpreter_tag


@final
class ImportRecorder:
    """Meta path finder that records the names of modules in import order."""

    def __init__(self) -> None:
        self.names: dict[str, None] = {}

    def find_spec(
        self, name: str, _path: Sequence[str] | None = None, _target: ModuleType | None = None
    ) -> None:
        """Record a name and return ``None``, so that the other finders import the module."""
        self.names[name] = None


def write_image(*, path: Path, names: Sequence[str]) -> int:
    """Write an image with the code of those modules that were imported from source files.

    :param path: Path of the image; an existing image is replaced atomically.
    :param names: Names of the modules, in the order in which a host imports them.
    :returns: Number of modules in the image.
    """
    index: dict[str, tuple[bool, str, int, int]] = {}
    code_blobs: list[bytes] = []
    offset = 0
    for name in names:
        spec: ModuleSpec | None = getattr(sys.modules.get(name), "__spec__", None)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        code_bytes = marshal.dumps(spec.loader.get_code(name))
        is_package = spec.submodule_search_locations is not None
        index[name] = (is_package, spec.origin or "", offset, len(code_bytes))
        code_blobs.append(code_bytes)
        offset += len(code_bytes)
    packed_index = marshal.dumps(index)
    lengths = [
        length.to_bytes(LENGTH_FIELD_BYTES, "little") for length in (len(packed_index), offset)
    ]
    temporary_path = path.with_suffix(".next")
    temporary_path.write_bytes(b"".join([interpreter_tag(), *lengths, packed_index, *code_blobs]))
    temporary_path.replace(path)
    return len(index)


def main() -> None:
    """Import the main module of a host and write an image of all imported modules."""
    recorder = ImportRecorder()
    preloaded = list(sys.modules)
    sys.meta_path.insert(0, recorder)
    import tanagerscale.platform.__main__  # noqa: F401 - Its imports are recorded.

    write_image(path=Path(sys.argv[1]), names=[*recorder.names, *preloaded])


if __name__ == "__main__":
    main()
