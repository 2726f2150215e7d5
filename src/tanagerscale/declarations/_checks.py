"""Validation across the sections of a set: names, references and addresses."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import Any
from typing import final

from msgspec import Struct

from tanagerscale.accounts import check_hash
from tanagerscale.generated.declarations import Adapter
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Service
from tanagerscale.ini import check_address
from tanagerscale.ini import find_closest

METHOD_AND_PATH_PATTERN = re.compile(r"[A-Z]+ /\S*")
MAX_NAME_LENGTH = 128
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/@:-]*")


@final
class SectionError(Struct, frozen=True, kw_only=True):
    """A validation error in one section.

    :param title: Title of the section.
    :param key: Key with the invalid value; empty if the error concerns the whole section.
    :param found: The invalid value; empty if there is none or it may be a secret.
    :param allowed: Description of valid values.
    :param suggestion: Closest known name; empty if no name is similar.
    """

    title: str
    key: str = ""
    found: str = ""
    allowed: str
    suggestion: str = ""


@final
class ParsedSections(Struct, frozen=True, kw_only=True):
    """Sections that were converted to their types, and the names of all sections.

    :param values: Typed sections by kind and name, without those that failed conversion.
    :param names: All names by kind, including those of sections that failed conversion.
    :param complete: Whether no error has been found so far.
    """

    values: Mapping[str, Mapping[str, Any]]
    names: Mapping[str, frozenset[str]]
    complete: bool

    def get_sections(self, kind: str) -> Mapping[str, Any]:
        """Return the typed sections of a kind, by name."""
        return self.values.get(kind, {})

    def get_names(self, kind: str) -> frozenset[str]:
        """Return all section names of a kind."""
        return self.names.get(kind, frozenset())


def check_name(*, name: str) -> str:
    """Return a description of valid names if a section's name is invalid, else an empty string."""
    if NAME_PATTERN.fullmatch(name) and len(name) <= MAX_NAME_LENGTH:
        return ""
    return (
        "a name of letters, digits and . _ / @ : - that starts with a letter or digit and has "
        f"at most {MAX_NAME_LENGTH} characters"
    )


def validate_sections(*, parsed: ParsedSections) -> list[SectionError]:
    """Return all errors found when the sections of a set are checked against each other."""
    return [
        *_check_models(parsed),
        *_check_adapters(parsed),
        *_check_accounts(parsed),
        *_check_engines(parsed),
        *_check_services(parsed),
        *_check_addresses(parsed),
    ]


def _check_models(parsed: ParsedSections) -> Iterator[SectionError]:
    served_models = {
        name for engine in parsed.get_sections("engine").values() for name in engine.models
    }
    for name, model in parsed.get_sections("model").items():
        yield from _check_model(name=name, model=model)
        if parsed.complete and name not in served_models:
            allowed = "a model listed in the key models of at least one [engine …]"
            yield SectionError(title=f"model {name}", allowed=allowed)


def _check_model(*, name: str, model: Model) -> Iterator[SectionError]:
    if model.max_output_tokens > model.context_tokens:
        yield SectionError(
            title=f"model {name}",
            key="max_output_tokens",
            found=str(model.max_output_tokens),
            allowed=f"at most context_tokens, which is {model.context_tokens}",
        )


def _check_adapters(parsed: ParsedSections) -> Iterator[SectionError]:
    models = parsed.get_names("model")
    for name, adapter in parsed.get_sections("adapter").items():
        title = f"adapter {name}"
        yield from _check_references(title=title, key="model", names=[adapter.model], known=models)
        if name in models:
            yield SectionError(
                title=title,
                allowed="a name that no model has, because callers request adapters by name",
            )


def _check_accounts(parsed: ParsedSections) -> Iterator[SectionError]:
    owners: dict[str, str] = {}
    for name, account in parsed.get_sections("account").items():
        yield from _check_account(name=name, account=account, parsed=parsed)
        owner = owners.setdefault(account.key_hash, name)
        if owner != name:
            allowed = f"a unique hash; account {owner} has the same hash"
            yield SectionError(title=f"account {name}", key="key_hash", allowed=allowed)


def _check_account(
    *, name: str, account: ClientAccount, parsed: ParsedSections
) -> Iterator[SectionError]:
    title = f"account {name}"
    problem = check_hash(key_hash=account.key_hash)
    if problem:
        # The value may be the key itself, so it is left out of the error.
        yield SectionError(title=title, key="key_hash", allowed=problem)
    models, services = parsed.get_names("model"), parsed.get_names("service")
    yield from _check_references(title=title, key="models", names=account.models, known=models)
    yield from _check_references(
        title=title, key="services", names=account.services, known=services
    )


def _check_engines(parsed: ParsedSections) -> Iterator[SectionError]:
    adapters: Mapping[str, Adapter] = parsed.get_sections("adapter")
    engine: Engine
    for name, engine in parsed.get_sections("engine").items():
        title = f"engine {name}"
        known = parsed.get_names("model")
        yield from _check_references(title=title, key="models", names=engine.models, known=known)
        known = parsed.get_names("adapter")
        yield from _check_references(
            title=title, key="adapters", names=engine.adapters, known=known
        )
        for adapter in engine.adapters:
            base = adapters[adapter].model if adapter in adapters else ""
            if base in parsed.get_names("model") and base not in engine.models:
                allowed = f"adapters of the engine's models; this adapter belongs to {base}"
                yield SectionError(title=title, key="adapters", found=adapter, allowed=allowed)


def _check_services(parsed: ParsedSections) -> Iterator[SectionError]:
    service: Service
    for name, service in parsed.get_sections("service").items():
        for call in service.not_idempotent:
            if not METHOD_AND_PATH_PATTERN.fullmatch(call):
                yield SectionError(
                    title=f"service {name}",
                    key="not_idempotent",
                    found=call,
                    allowed="an upper-case method and a path pattern, such as POST /bookings/*",
                )


def _check_addresses(parsed: ParsedSections) -> Iterator[SectionError]:
    owners: dict[str, str] = {}
    for title, key, address in _iter_addresses(parsed):
        problem = check_address(address=address)
        if problem:
            yield SectionError(title=title, key=key, found=address, allowed=problem)
            continue
        if address in owners:
            allowed = f"a unique address; [{owners[address]}] has the same address"
            yield SectionError(title=title, key=key, found=address, allowed=allowed)
        owners.setdefault(address, title)


def _iter_addresses(parsed: ParsedSections) -> Iterator[tuple[str, str, str]]:
    for name, engine in parsed.get_sections("engine").items():
        yield f"engine {name}", "address", engine.address
    for name, service in parsed.get_sections("service").items():
        for entry in service.addresses:
            yield f"service {name}", "addresses", entry.partition("@")[0]


def _check_references(
    *, title: str, key: str, names: Sequence[str], known: frozenset[str]
) -> Iterator[SectionError]:
    for name in names:
        if name not in known:
            yield SectionError(
                title=title,
                key=key,
                found=name,
                allowed="a name that is declared in a section",
                suggestion=find_closest(name=name, known_names=known),
            )
