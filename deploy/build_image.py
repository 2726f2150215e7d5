"""Writes the start image of a host: ``build_image.py PATH``."""

from __future__ import annotations

from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from importlib.machinery import SourceFileLoader
import marshal
from pathlib import Path
import sys
from types import ModuleType
from typing import final

from start_image import LENGTH_BYTES
from start_image import interpreter_tag


@final
class ImportOrder:
    """Notes the names of modules in the order in which they are looked for."""

    def __init__(self) -> None:
        self.names: dict[str, None] = {}

    def find_spec(
        self, name: str, _path: Sequence[str] | None = None, _target: ModuleType | None = None
    ) -> None:
        """Note a name, and leave the module to the other finders."""
        self.names[name] = None


def write_image(*, path: Path, names: Sequence[str]) -> int:
    """Write the code of modules that have been imported from source files.

    :param path: The image; one that is there is replaced at once.
    :param names: The modules, in the order in which they will be read.
    :returns: How many modules it holds.
    """
    index: dict[str, tuple[bool, str, int, int]] = {}
    codes: list[bytes] = []
    offset = 0
    for name in names:
        spec: ModuleSpec | None = getattr(sys.modules.get(name), "__spec__", None)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        code = marshal.dumps(spec.loader.get_code(name))
        is_package = spec.submodule_search_locations is not None
        index[name] = (is_package, spec.origin or "", offset, len(code))
        codes.append(code)
        offset += len(code)
    packed_index = marshal.dumps(index)
    lengths = [length.to_bytes(LENGTH_BYTES, "little") for length in (len(packed_index), offset)]
    following = path.with_suffix(".next")
    following.write_bytes(b"".join([interpreter_tag(), *lengths, packed_index, *codes]))
    following.replace(path)
    return len(index)


def main() -> None:
    """Import a host's program and write what that took."""
    order = ImportOrder()
    already = list(sys.modules)
    sys.meta_path.insert(0, order)
    import tanagerscale.platform.__main__  # noqa: F401 - The image holds what this imports.

    write_image(path=Path(sys.argv[1]), names=[*order.names, *already])


if __name__ == "__main__":
    main()
