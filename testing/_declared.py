"""Declarations that tests publish."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

from returns.result import Result

from tanagerscale.core import Clock
from tanagerscale.core import Revision
from tanagerscale.core import new_id
from tanagerscale.declarations import ApplyError
from tanagerscale.declarations import Follower
from tanagerscale.declarations import publish
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.records import Head
from tanagerscale.store import Store

PREFIX = "/test"
KEY_HASH = "$argon2id$v=19$m=8192,t=2,p=1$c2FsdHNhbHRzYWx0$aGFzaGhhc2hoYXNoaGFzaGhhc2hoYXNo"


def declare(
    *, accounts: Sequence[str] = ("crews",), engines: int = 1, **engine: Any
) -> DeclarationSet:
    """Return a small set.

    :param accounts: Names of its accounts.
    :param engines: How many engines it has.
    :param engine: Further fields of each engine.
    """
    return DeclarationSet(
        objective=Objective(),
        models=[Model(name="plan", version="1")],
        accounts=[ClientAccount(name=name, key_hash=f"{KEY_HASH}{name}") for name in accounts],
        engines=[
            Engine(
                name=f"e{number}",
                address=f"127.0.0.1:{9000 + number}",
                failure_domain="a",
                models=["plan"],
                **engine,
            )
            for number in range(1, engines + 1)
        ],
    )


async def apply(
    *,
    store: Store,
    declarations: DeclarationSet,
    author: str = "ana",
    apply_id: str = "",
    expected: int | None = None,
    repeated: bool = False,
) -> Result[Head, ApplyError]:
    """Publish a set with a fixed prefix; each call is an apply of its own unless it has an id."""
    return await publish(
        store=store,
        prefix=PREFIX,
        declarations=declarations,
        author=author,
        apply_id=apply_id or new_id(prefix="apply"),
        clock=Clock(),
        expected=Revision(expected) if expected is not None else None,
        repeated=repeated,
    )


def follow(*, store: Store, seed: int = 1) -> Follower:
    """Return a follower of the fixed prefix."""
    return Follower(store=store, prefix=PREFIX, clock=Clock(), random=Random(seed))
