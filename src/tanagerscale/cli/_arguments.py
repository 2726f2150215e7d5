"""Parsing and validation of command-line arguments."""

from __future__ import annotations

import getpass
from pathlib import Path
import re
from typing import Any
from typing import Final
from urllib.parse import urlsplit

from returns.result import Failure

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.declarations import read_declarations
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.ini import check_address

MAX_AUTHOR_LENGTH: Final = 100
PREFIX_PATTERN: Final = re.compile(r"[!-~]{0,200}")
TRUE_VALUES: Final = frozenset({"true", "yes", "1"})
FALSE_VALUES: Final = frozenset({"false", "no", "0"})


def parse_author(*, author: str) -> str:
    """Return the author's name.

    :param author: Value of ``--author``; empty means the login name.
    """
    name = author or _get_login_name()
    if len(name) > MAX_AUTHOR_LENGTH or not name.isprintable():
        message = f"--author takes a printable name of at most {MAX_AUTHOR_LENGTH} characters."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return name


def parse_prefix(*, prefix: str) -> str:
    """Return the key prefix of the installation in the store.

    :param prefix: Value of ``--prefix``.
    """
    if not PREFIX_PATTERN.fullmatch(prefix):
        message = f"--prefix takes the prefix in [store] of the hosts' settings; found {prefix!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return prefix


def parse_endpoints(*, store: str) -> tuple[str, ...]:
    """Return the base URLs of the store's endpoints.

    :param store: Value of ``--store``, separated by commas.
    """
    urls = tuple(url.strip() for url in store.split(",") if url.strip())
    for url in urls:
        if not _is_http_url(url):
            message = f"--store takes URLs such as http://127.0.0.1:2379; found {url!r}."
            fail(code=ExitCode.BAD_INPUT, message=message)
    if not urls:
        message = "No store endpoint is given; pass --store URL[,URL…]."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return urls


def parse_hosts(*, hosts: str, required: bool) -> tuple[str, ...]:
    """Return the addresses at which the hosts serve callers.

    :param hosts: Value of ``--hosts``, separated by commas.
    :param required: Whether an empty list is an error.
    """
    addresses = tuple(part.strip() for part in hosts.split(",") if part.strip())
    for address in addresses:
        without_scheme = address.removeprefix("https://").removeprefix("http://")
        problem = check_address(address=without_scheme)
        if problem:
            message = f"--hosts takes {problem}, separated by commas; found {address!r}."
            fail(code=ExitCode.BAD_INPUT, message=message)
    if required and not addresses:
        message = "No host is given; pass --hosts IP:PORT[,IP:PORT…]."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return addresses


def parse_number(*, name: str, value: Any, minimum: float) -> float:
    """Return a finite number given on the command line.

    :param name: Name of the flag, for the error message.
    :param value: Value as fire parsed it.
    :param minimum: Smallest allowed value.
    """
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not minimum <= number < float("inf"):
        message = f"--{name} takes a number, at least {minimum:g}; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return number


def parse_integer(*, name: str, value: Any, minimum: int) -> int:
    """Return an integer given on the command line.

    :param name: Name of the flag, for the error message.
    :param value: Value as fire parsed it.
    :param minimum: Smallest allowed value.
    """
    number = parse_number(name=name, value=value, minimum=minimum)
    if number != int(number):
        message = f"--{name} takes an integer, at least {minimum}; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return int(number)


def parse_flag(*, name: str, value: Any) -> bool:
    """Return a boolean flag given on the command line.

    :param name: Name of the flag, for the error message.
    :param value: Value as fire parsed it.
    """
    text = str(value).lower()
    if text not in TRUE_VALUES | FALSE_VALUES:
        message = f"--{name} takes no value, true or false; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return text in TRUE_VALUES


def load_declarations(*, files: tuple[str, ...]) -> DeclarationSet:
    """Read files as one set of declarations.

    :param files: INI files, or directories that contain them.
    :raises CommandError: When no file is named or a file is invalid; it lists all errors.
    """
    if not files:
        message = "Name the files of the declarations, or their directory."
        fail(code=ExitCode.BAD_INPUT, message=message)
    result = read_declarations(paths=[Path(file) for file in files])
    if isinstance(result, Failure):
        errors = result.failure()
        count = "1 error" if len(errors) == 1 else f"{len(errors)} errors"
        fail(
            code=ExitCode.BAD_INPUT,
            message=f"Nothing is applied: {count} in the declarations.",
            details=tuple(str(error) for error in errors),
        )
    return result.unwrap()


def _get_login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        fail(code=ExitCode.BAD_INPUT, message="The login name is unknown; pass --author NAME.")


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
