"""Checks of a set of declarations as a whole: names, references, addresses."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import Any
from typing import final

from msgspec import Struct

from tanagerscale.accounts import hash_problem
from tanagerscale.generated.declarations import Adapter
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Service
from tanagerscale.ini import address_problem
from tanagerscale.ini import nearest

CALL_PATTERN = re.compile(r"[A-Z]+ /\S*")
MAX_NAME_LENGTH = 128
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/@:-]*")


@final
class Mistake(Struct, frozen=True, kw_only=True):
    """Something wrong with one section.

    :param title: The section's title.
    :param key: The key at fault, or the empty string.
    :param found: What stands there.
    :param allowed: What may stand there.
    :param suggestion: The nearest known name, or the empty string.
    """

    title: str
    key: str = ""
    found: str = ""
    allowed: str
    suggestion: str = ""


@final
class Candidates(Struct, frozen=True, kw_only=True):
    """Sections to check; some others may have been refused already.

    :param values: Typed sections by kind and name.
    :param names: All names by kind, those of refused sections included.
    :param complete: Whether no section has been refused.
    """

    values: Mapping[str, Mapping[str, Any]]
    names: Mapping[str, frozenset[str]]
    complete: bool

    def of(self, kind: str) -> Mapping[str, Any]:
        """Return the typed sections of one kind, by name."""
        return self.values.get(kind, {})

    def named(self, kind: str) -> frozenset[str]:
        """Return the names of one kind."""
        return self.names.get(kind, frozenset())


def name_problem(*, name: str) -> str:
    """Say what is wrong with the name of a section; empty when nothing is."""
    if NAME_PATTERN.fullmatch(name) and len(name) <= MAX_NAME_LENGTH:
        return ""
    return (
        "a name after the kind, of letters, digits and . _ / @ : -, beginning with a letter or "
        f"digit, at most {MAX_NAME_LENGTH} characters"
    )


def find_mistakes(*, candidates: Candidates) -> list[Mistake]:
    """Return everything that is wrong between the sections of a set."""
    return [
        *_check_models(candidates),
        *_check_adapters(candidates),
        *_check_accounts(candidates),
        *_check_engines(candidates),
        *_check_services(candidates),
        *_check_addresses(candidates),
    ]


def _check_models(candidates: Candidates) -> Iterator[Mistake]:
    held = {name for engine in candidates.of("engine").values() for name in engine.models}
    for name, model in candidates.of("model").items():
        yield from _check_model(name=name, model=model)
        if candidates.complete and name not in held:
            allowed = "a model that at least one [engine …] holds in its key models"
            yield Mistake(title=f"model {name}", allowed=allowed)


def _check_model(*, name: str, model: Model) -> Iterator[Mistake]:
    if model.max_output_tokens > model.context_tokens:
        yield Mistake(
            title=f"model {name}",
            key="max_output_tokens",
            found=str(model.max_output_tokens),
            allowed=f"at most context_tokens, which is {model.context_tokens}",
        )


def _check_adapters(candidates: Candidates) -> Iterator[Mistake]:
    models = candidates.named("model")
    for name, adapter in candidates.of("adapter").items():
        title = f"adapter {name}"
        yield from _unknown(title=title, key="model", names=[adapter.model], known=models)
        if name in models:
            yield Mistake(title=title, allowed="a name that no model has, since callers ask by it")


def _check_accounts(candidates: Candidates) -> Iterator[Mistake]:
    owners: dict[str, str] = {}
    for name, account in candidates.of("account").items():
        yield from _check_account(name=name, account=account, candidates=candidates)
        owner = owners.setdefault(account.key_hash, name)
        if owner != name:
            allowed = f"a hash of its own; account {owner} has the same"
            yield Mistake(title=f"account {name}", key="key_hash", allowed=allowed)


def _check_account(
    *, name: str, account: ClientAccount, candidates: Candidates
) -> Iterator[Mistake]:
    title = f"account {name}"
    problem = hash_problem(key_hash=account.key_hash)
    if problem:
        # What stands there may be the key itself, so it isn't shown.
        yield Mistake(title=title, key="key_hash", allowed=problem)
    models, services = candidates.named("model"), candidates.named("service")
    yield from _unknown(title=title, key="models", names=account.models, known=models)
    yield from _unknown(title=title, key="services", names=account.services, known=services)


def _check_engines(candidates: Candidates) -> Iterator[Mistake]:
    adapters: Mapping[str, Adapter] = candidates.of("adapter")
    engine: Engine
    for name, engine in candidates.of("engine").items():
        title = f"engine {name}"
        known = candidates.named("model")
        yield from _unknown(title=title, key="models", names=engine.models, known=known)
        known = candidates.named("adapter")
        yield from _unknown(title=title, key="adapters", names=engine.adapters, known=known)
        for adapter in engine.adapters:
            base = adapters[adapter].model if adapter in adapters else ""
            if base in candidates.named("model") and base not in engine.models:
                allowed = f"adapters of the engine's models; this one belongs to {base}"
                yield Mistake(title=title, key="adapters", found=adapter, allowed=allowed)


def _check_services(candidates: Candidates) -> Iterator[Mistake]:
    service: Service
    for name, service in candidates.of("service").items():
        for call in service.not_idempotent:
            if not CALL_PATTERN.fullmatch(call):
                yield Mistake(
                    title=f"service {name}",
                    key="not_idempotent",
                    found=call,
                    allowed="a method in capitals and a path pattern, as in POST /bookings/*",
                )


def _check_addresses(candidates: Candidates) -> Iterator[Mistake]:
    owners: dict[str, str] = {}
    for title, key, address in _all_addresses(candidates):
        problem = address_problem(address=address)
        if problem:
            yield Mistake(title=title, key=key, found=address, allowed=problem)
            continue
        if address in owners:
            allowed = f"an address of its own; [{owners[address]}] has the same"
            yield Mistake(title=title, key=key, found=address, allowed=allowed)
        owners.setdefault(address, title)


def _all_addresses(candidates: Candidates) -> Iterator[tuple[str, str, str]]:
    for name, engine in candidates.of("engine").items():
        yield f"engine {name}", "address", engine.address
    for name, service in candidates.of("service").items():
        for entry in service.addresses:
            yield f"service {name}", "addresses", entry.partition("@")[0]


def _unknown(
    *, title: str, key: str, names: Sequence[str], known: frozenset[str]
) -> Iterator[Mistake]:
    for name in names:
        if name not in known:
            yield Mistake(
                title=title,
                key=key,
                found=name,
                allowed="a name that has a section of its own",
                suggestion=nearest(name=name, known=known),
            )
