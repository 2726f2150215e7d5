"""Helpers that build, publish and follow declarations in tests."""

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


def make_declarations(
    *, accounts: Sequence[str] = ("crews",), engines: int = 1, **engine: Any
) -> DeclarationSet:
    """Return a set with one model.

    :param accounts: Names of the accounts.
    :param engines: Number of engines.
    :param engine: Additional fields of each engine.
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
    expected_revision: int | None = None,
    is_retry: bool = False,
) -> Result[Head, ApplyError]:
    """Publish a set under the test prefix; each call has a new apply id unless one is given."""
    return await publish(
        store=store,
        prefix=PREFIX,
        declarations=declarations,
        author=author,
        apply_id=apply_id or new_id(prefix="apply"),
        clock=Clock(),
        expected_revision=Revision(expected_revision) if expected_revision is not None else None,
        is_retry=is_retry,
    )


def make_follower(*, store: Store, seed: int = 1) -> Follower:
    """Return a follower of the test prefix; the seed is that of its random number generator."""
    return Follower(store=store, prefix=PREFIX, clock=Clock(), random=Random(seed))
