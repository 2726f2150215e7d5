"""Reads a set of declarations from INI files."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.declarations._checks import ParsedSections
from tanagerscale.declarations._checks import check_name
from tanagerscale.declarations._checks import validate_sections
from tanagerscale.declarations._sections import SectionKind
from tanagerscale.declarations._sections import get_section_kinds
from tanagerscale.declarations._sections import parse_title
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import convert_section
from tanagerscale.ini import find_closest
from tanagerscale.ini import read_sections

INI_PATTERN = "*.ini"


def read_declarations(*, paths: Sequence[Path]) -> Result[DeclarationSet, tuple[InputError, ...]]:
    """Read and validate files as one set of declarations.

    :param paths: INI files, or directories from which all ``*.ini`` files are read.
    :returns: The set, or all errors sorted by file and line.
    """
    files, errors = _find_files(paths=paths)
    sections: dict[str, IniSection] = {}
    for file in files:
        found, new_errors = read_sections(path=file)
        errors.extend(new_errors)
        for section in found:
            errors.extend(_add_section(section=section, sections=sections))
    values, new_errors = _convert_sections(sections=sections)
    errors.extend(new_errors)
    parsed = ParsedSections(
        values={keyword: dict(named) for keyword, named in values.items()},
        names=_collect_names(sections=sections),
        complete=not errors,
    )
    for section_error in validate_sections(parsed=parsed):
        section = sections[section_error.title]
        errors.append(
            section.error(
                key=section_error.key,
                found=section_error.found,
                allowed=section_error.allowed,
                suggestion=section_error.suggestion,
            )
        )
    errors.extend(_find_missing_sections(paths=paths, sections=sections))
    if errors:
        return Failure(tuple(sorted(errors, key=lambda error: (str(error.file), error.line))))
    return Success(_build_declaration_set(values=values))


def _find_files(*, paths: Sequence[Path]) -> tuple[list[Path], list[InputError]]:
    files: list[Path] = []
    errors = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        inside = sorted(path.glob(INI_PATTERN))
        files.extend(inside)
        if not inside:
            allowed = f"a directory that contains {INI_PATTERN} files"
            errors.append(InputError(file=path, allowed=allowed))
    return list(dict.fromkeys(files)), errors


def _add_section(*, section: IniSection, sections: dict[str, IniSection]) -> list[InputError]:
    kind, name = parse_title(title=section.title)
    if kind is None:
        words = [kind.keyword for kind in get_section_kinds().values()]
        header_forms = [
            f"[{k.keyword} NAME]" if k.named else f"[{k.keyword}]"
            for k in get_section_kinds().values()
        ]
        suggestion = find_closest(name=section.title.partition(" ")[0], known_names=words)
        return [section.error(allowed=f"one of {', '.join(header_forms)}", suggestion=suggestion)]
    problem = check_name(name=name) if kind.named else _check_unnamed(kind=kind, name=name)
    if problem:
        return [section.error(allowed=problem)]
    title = f"{kind.keyword} {name}".rstrip()
    first = sections.setdefault(title, section)
    if first is not section:
        allowed = f"each section only once; it is already defined at {first.file}:{first.line}"
        return [section.error(allowed=allowed)]
    return []


def _check_unnamed(*, kind: SectionKind, name: str) -> str:
    return f"[{kind.keyword}] without a name" if name else ""


def _convert_sections(
    *, sections: dict[str, IniSection]
) -> tuple[dict[str, dict[str, Any]], list[InputError]]:
    values: dict[str, dict[str, Any]] = defaultdict(dict)
    errors: list[InputError] = []
    for title, section in sections.items():
        kind, name = parse_title(title=title)
        if kind is None:
            continue
        preset = {"name": name} if kind.named else {}
        fields, new_errors = convert_section(section=section, struct=kind.struct, preset=preset)
        errors.extend(new_errors)
        if not new_errors:
            values[kind.keyword][name] = kind.struct(**fields)
    return values, errors


def _collect_names(*, sections: dict[str, IniSection]) -> dict[str, frozenset[str]]:
    names: dict[str, set[str]] = defaultdict(set)
    for title in sections:
        keyword, _, name = title.partition(" ")
        names[keyword].add(name)
    return {keyword: frozenset(named) for keyword, named in names.items()}


def _find_missing_sections(
    *, paths: Sequence[Path], sections: dict[str, IniSection]
) -> list[InputError]:
    present = {title.partition(" ")[0] for title in sections}
    file = paths[0] if paths else Path()
    return [
        InputError(
            file=file, allowed=f"the set needs a section [{kind.keyword}{' …' * kind.named}]"
        )
        for kind in get_section_kinds().values()
        if kind.required and kind.keyword not in present
    ]


def _build_declaration_set(*, values: dict[str, dict[str, Any]]) -> DeclarationSet:
    fields: dict[str, Any] = {}
    for kind in get_section_kinds().values():
        named = values.get(kind.keyword, {})
        if kind.named:
            fields[kind.field] = [named[name] for name in sorted(named)]
        else:
            fields[kind.field] = named[""]
    return msgspec.convert(fields, DeclarationSet)
