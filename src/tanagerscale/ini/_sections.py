"""Parses INI files into sections and records the line of each section and key."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.ini._errors import InputError

MAX_FILE_BYTES = 64 * 1024 * 1024
# Disables the default section, whose keys configparser adds to all other sections.
NO_DEFAULT_SECTION = "\0"


@final
class IniSection(Struct, frozen=True, kw_only=True):
    """A section of an INI file.

    :param file: File that contains the section.
    :param line: Line number of the section header, starting at 1.
    :param title: Text between the brackets of the header.
    :param values: Unconverted values by key.
    :param lines: Line numbers by key.
    """

    file: Path
    line: int
    title: str
    values: dict[str, str]
    lines: dict[str, int]

    def error(
        self, *, key: str = "", found: str = "", allowed: str, suggestion: str = ""
    ) -> InputError:
        """Return an error in this section.

        :param key: Key that the error concerns; empty to report the line of the header.
        :param found: The invalid value, if it may be shown.
        :param allowed: Description of valid values.
        :param suggestion: Closest known name, if there is one.
        """
        return InputError(
            file=self.file,
            line=self.lines.get(key, self.line),
            section=self.title,
            key=key,
            found=found,
            allowed=allowed,
            suggestion=suggestion,
        )


class _LineIndex(Struct, kw_only=True):
    """Line numbers of sections and keys, which configparser does not provide."""

    sections: dict[str, int] = field(default_factory=dict)
    keys: dict[str, dict[str, int]] = field(default_factory=dict)
    errors: list[InputError] = field(default_factory=list)
    unsectioned_lines: list[int] = field(default_factory=list)


def read_sections(*, path: Path) -> tuple[list[IniSection], list[InputError]]:
    """Read an INI file.

    :param path: Path of the file.
    :returns: The sections and all syntax errors of the file.
    """
    text, error = _read_text(path=path)
    if error is not None:
        return [], [error]
    index = _index_lines(path=path, text=text)
    parser = configparser.RawConfigParser(
        strict=False,
        empty_lines_in_values=False,
        inline_comment_prefixes=("#",),
        default_section=NO_DEFAULT_SECTION,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    # configparser stops at a line before the first section; blank it to check the rest as well.
    lines = text.splitlines()
    for number in index.unsectioned_lines:
        lines[number - 1] = ""
    errors = index.errors + _parse(parser=parser, path=path, text="\n".join(lines))
    sections = [
        IniSection(
            file=path,
            line=index.sections.get(title, 0),
            title=title,
            values=dict(parser.items(title)),
            lines=index.keys.get(title, {}),
        )
        for title in parser.sections()
    ]
    return sections, errors


def _read_text(*, path: Path) -> tuple[str, InputError | None]:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return "", InputError(file=path, allowed=f"a file of at most {MAX_FILE_BYTES} bytes")
        return path.read_bytes().decode("utf-8-sig"), None
    except UnicodeDecodeError as error:
        allowed = f"UTF-8 text; the byte at offset {error.start} is not valid"
        return "", InputError(file=path, allowed=allowed)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return "", InputError(file=path, found=reason, allowed="a readable file")


def _parse(*, parser: configparser.RawConfigParser, path: Path, text: str) -> list[InputError]:
    try:
        parser.read_string(text, source=str(path))
    except configparser.ParsingError as error:
        lines = text.splitlines()
        return [
            InputError(
                file=path,
                line=number,
                found=lines[number - 1].strip() if number <= len(lines) else "",
                allowed="a section header in brackets, or a key, '=' and a value",
            )
            for number, _ in error.errors
        ]
    except (configparser.Error, AttributeError) as error:
        # configparser raises AttributeError for some malformed continuation lines.
        return [InputError(file=path, found=str(error), allowed="a well-formed INI file")]
    return []


def _index_lines(*, path: Path, text: str) -> _LineIndex:
    index = _LineIndex()
    title = ""
    in_value = False
    for number, line in enumerate(text.splitlines(), start=1):
        content = line.strip()
        if not content or content[0] in "#;":
            in_value = False
            continue
        if in_value and line[0].isspace():
            continue
        header = configparser.RawConfigParser.SECTCRE.match(content)
        if header is not None:
            title = header.group("header")
            in_value = False
            _add_section(index=index, path=path, title=title, line=number)
            continue
        option = configparser.RawConfigParser.OPTCRE.match(content)
        if not title:
            index.unsectioned_lines.append(number)
            index.errors.append(_build_unsectioned_error(path=path, line=number, found=content))
        elif option is not None:
            key = option.group("option").rstrip()
            in_value = True
            _add_key(index=index, path=path, title=title, key=key, line=number)
    return index


def _build_unsectioned_error(*, path: Path, line: int, found: str) -> InputError:
    allowed = "a section header such as [objective] before the first key"
    return InputError(file=path, line=line, found=found, allowed=allowed)


def _add_section(*, index: _LineIndex, path: Path, title: str, line: int) -> None:
    first = index.sections.setdefault(title, line)
    index.keys.setdefault(title, {})
    if first != line:
        allowed = f"each section only once; it is already defined on line {first}"
        index.errors.append(InputError(file=path, line=line, section=title, allowed=allowed))


def _add_key(*, index: _LineIndex, path: Path, title: str, key: str, line: int) -> None:
    first = index.keys[title].setdefault(key, line)
    if first != line:
        allowed = f"each key only once; it is already set on line {first}"
        index.errors.append(
            InputError(file=path, line=line, section=title, key=key, allowed=allowed)
        )
