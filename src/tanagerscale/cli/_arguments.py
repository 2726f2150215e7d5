"""Arguments of commands, checked."""

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
TRUE_WORDS: Final = frozenset({"true", "yes", "1"})
FALSE_WORDS: Final = frozenset({"false", "no", "0"})


def check_author(*, author: str) -> str:
    """Return the author's name; the login's when none is given."""
    name = author or _login_name()
    if len(name) > MAX_AUTHOR_LENGTH or not name.isprintable():
        message = f"--author takes a printable name of at most {MAX_AUTHOR_LENGTH} characters."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return name


def check_prefix(*, prefix: str) -> str:
    """Return what the store's keys start with."""
    if not PREFIX_PATTERN.fullmatch(prefix):
        message = f"--prefix takes what [store] prefix of the hosts says; found {prefix!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return prefix


def check_store(*, store: str) -> tuple[str, ...]:
    """Return the store's endpoints."""
    urls = tuple(url.strip() for url in store.split(",") if url.strip())
    for url in urls:
        if not _is_http_url(url):
            message = f"--store takes URLs such as http://127.0.0.1:2379; found {url!r}."
            fail(code=ExitCode.BAD_INPUT, message=message)
    if not urls:
        message = "Say where the store is, with --store URL[,URL…]."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return urls


def check_hosts(*, hosts: str, required: bool) -> tuple[str, ...]:
    """Return the hosts' callers' addresses."""
    addresses = tuple(part.strip() for part in hosts.split(",") if part.strip())
    for address in addresses:
        bare = address.removeprefix("https://").removeprefix("http://")
        problem = check_address(address=bare)
        if problem:
            message = f"--hosts takes {problem}, separated by commas; found {address!r}."
            fail(code=ExitCode.BAD_INPUT, message=message)
    if required and not addresses:
        message = "Say which hosts to ask, with --hosts IP:PORT[,IP:PORT…]."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return addresses


def check_number(*, name: str, value: Any, least: float) -> float:
    """Return a number given on the command line."""
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not least <= number < float("inf"):
        message = f"--{name} takes a number, at least {least:g}; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return number


def check_count(*, name: str, value: Any, least: int) -> int:
    """Return a whole number given on the command line."""
    number = check_number(name=name, value=value, least=least)
    if number != int(number):
        message = f"--{name} takes a whole number, at least {least}; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return int(number)


def check_flag(*, name: str, value: Any) -> bool:
    """Return a flag given on the command line."""
    word = str(value).lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        message = f"--{name} stands alone or takes true or false; found {value!r}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return word in TRUE_WORDS


def load_declarations(*, files: tuple[str, ...]) -> DeclarationSet:
    """Read files as one set, or end with everything that is wrong with them."""
    if not files:
        message = "Name the files of the declarations, or their directory."
        fail(code=ExitCode.BAD_INPUT, message=message)
    result = read_declarations(paths=[Path(file) for file in files])
    if isinstance(result, Failure):
        errors = result.failure()
        count = "1 mistake" if len(errors) == 1 else f"{len(errors)} mistakes"
        fail(
            code=ExitCode.BAD_INPUT,
            message=f"Nothing is applied: {count} in the declarations.",
            details=tuple(str(error) for error in errors),
        )
    return result.unwrap()


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        fail(code=ExitCode.BAD_INPUT, message="Say who applies, with --author NAME.")


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
