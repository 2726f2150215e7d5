"""Joins the gate to the sources of its news."""

from __future__ import annotations

from reactivex import Observable
from reactivex.abc import DisposableBase
from reactivex.disposable import CompositeDisposable

from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.membership._gate import UpstreamGate
from tanagerscale.membership._mesh import Mesh
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import Received


def spread_leaving(
    *, gate: UpstreamGate, mesh: Mesh, entries: Observable[tuple[ListedEntry, ...]]
) -> DisposableBase:
    """Feed the gate from the host list and the peers, and tell each new peer what it knows.

    The gate's own news reach the peers by the ``spread`` it was made with, which should be
    the mesh's ``broadcast``.

    :param gate: Which upstreams take new work.
    :param mesh: The other hosts.
    :param entries: The host list.
    :returns: What ends it.
    """

    def on_received(received: Received) -> None:
        if isinstance(received.message, UpstreamLeaving):
            gate.on_peer(received.message)

    def on_joined(peer: PeerInfo) -> None:
        for message in gate.leaving_messages():
            mesh.send(host=peer.host, message=message)

    return CompositeDisposable(
        entries.subscribe(gate.on_list),
        mesh.messages.subscribe(on_received),
        mesh.joined.subscribe(on_joined),
    )
