"""Reading declarations from INI files, as one set."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.declarations._checks import Candidates
from tanagerscale.declarations._checks import find_mistakes
from tanagerscale.declarations._checks import name_problem
from tanagerscale.declarations._sections import SectionKind
from tanagerscale.declarations._sections import section_kinds
from tanagerscale.declarations._sections import split_title
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import convert_section
from tanagerscale.ini import nearest
from tanagerscale.ini import read_sections

INI_PATTERN = "*.ini"


def read_declarations(*, paths: Sequence[Path]) -> Result[DeclarationSet, tuple[InputError, ...]]:
    """Read files as one set of declarations.

    :param paths: INI files, or directories all of whose ``*.ini`` files are read.
    :returns: The set, or everything that is wrong with it.
    """
    files, errors = _find_files(paths=paths)
    sections: dict[str, IniSection] = {}
    for file in files:
        found, mistakes = read_sections(path=file)
        errors.extend(mistakes)
        for section in found:
            errors.extend(_add(section=section, sections=sections))
    values, mistakes = _convert(sections=sections)
    errors.extend(mistakes)
    candidates = Candidates(
        values={word: dict(named) for word, named in values.items()},
        names=_names(sections=sections),
        complete=not errors,
    )
    for mistake in find_mistakes(candidates=candidates):
        section = sections[mistake.title]
        errors.append(
            section.error(
                key=mistake.key,
                found=mistake.found,
                allowed=mistake.allowed,
                suggestion=mistake.suggestion,
            )
        )
    errors.extend(_missing(paths=paths, sections=sections))
    if errors:
        return Failure(tuple(sorted(errors, key=lambda error: (str(error.file), error.line))))
    return Success(_assemble(values=values))


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
            allowed = f"a directory that holds {INI_PATTERN} files"
            errors.append(InputError(file=path, allowed=allowed))
    return list(dict.fromkeys(files)), errors


def _add(*, section: IniSection, sections: dict[str, IniSection]) -> list[InputError]:
    kind, name = split_title(title=section.title)
    if kind is None:
        words = [kind.word for kind in section_kinds().values()]
        forms = [f"[{k.word} NAME]" if k.named else f"[{k.word}]" for k in section_kinds().values()]
        suggestion = nearest(name=section.title.partition(" ")[0], known=words)
        return [section.error(allowed=f"one of {', '.join(forms)}", suggestion=suggestion)]
    problem = name_problem(name=name) if kind.named else _unnamed_problem(kind=kind, name=name)
    if problem:
        return [section.error(allowed=problem)]
    title = f"{kind.word} {name}".rstrip()
    first = sections.setdefault(title, section)
    if first is not section:
        allowed = f"each section once; it stands in {first.file}:{first.line} already"
        return [section.error(allowed=allowed)]
    return []


def _unnamed_problem(*, kind: SectionKind, name: str) -> str:
    return f"[{kind.word}], without a name" if name else ""


def _convert(
    *, sections: dict[str, IniSection]
) -> tuple[dict[str, dict[str, Any]], list[InputError]]:
    values: dict[str, dict[str, Any]] = defaultdict(dict)
    errors: list[InputError] = []
    for title, section in sections.items():
        kind, name = split_title(title=title)
        if kind is None:
            continue
        given = {"name": name} if kind.named else {}
        fields, mistakes = convert_section(section=section, struct=kind.struct, given=given)
        errors.extend(mistakes)
        if not mistakes:
            values[kind.word][name] = kind.struct(**fields)
    return values, errors


def _names(*, sections: dict[str, IniSection]) -> dict[str, frozenset[str]]:
    names: dict[str, set[str]] = defaultdict(set)
    for title in sections:
        word, _, name = title.partition(" ")
        names[word].add(name)
    return {word: frozenset(named) for word, named in names.items()}


def _missing(*, paths: Sequence[Path], sections: dict[str, IniSection]) -> list[InputError]:
    present = {title.partition(" ")[0] for title in sections}
    file = paths[0] if paths else Path()
    return [
        InputError(file=file, allowed=f"the set needs a section [{kind.word}{' …' * kind.named}]")
        for kind in section_kinds().values()
        if kind.required and kind.word not in present
    ]


def _assemble(*, values: dict[str, dict[str, Any]]) -> DeclarationSet:
    fields: dict[str, Any] = {}
    for kind in section_kinds().values():
        named = values.get(kind.word, {})
        if kind.named:
            fields[kind.field] = [named[name] for name in sorted(named)]
        else:
            fields[kind.field] = named[""]
    return msgspec.convert(fields, DeclarationSet)
