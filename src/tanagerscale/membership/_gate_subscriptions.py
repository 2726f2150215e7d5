"""Subscribes the gate to the sources of leaving notices."""

from __future__ import annotations

from reactivex import Observable
from reactivex.abc import DisposableBase
from reactivex.disposable import CompositeDisposable

from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.membership._gate import UpstreamGate
from tanagerscale.membership._mesh import Mesh
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import ReceivedMessage


def subscribe_gate(
    *, gate: UpstreamGate, mesh: Mesh, entries: Observable[tuple[ListedEntry, ...]]
) -> DisposableBase:
    """Feed the gate from the host list and the peers, and send each new peer its leaving notices.

    New notices of the gate itself reach the peers through the ``broadcast`` function that it was
    created with, which should be the mesh's ``broadcast``.

    :param gate: Tracks which upstreams accept new requests.
    :param mesh: Connections to the peers.
    :param entries: The host list.
    :returns: Subscription; dispose of it to disconnect the gate.
    """

    def on_received(received: ReceivedMessage) -> None:
        if isinstance(received.message, UpstreamLeaving):
            gate.on_peer(received.message)

    def on_joined(peer: PeerInfo) -> None:
        for message in gate.leaving_messages():
            mesh.send(host=peer.host, message=message)

    return CompositeDisposable(
        entries.subscribe(gate.on_host_list),
        mesh.messages.subscribe(on_received),
        mesh.joined.subscribe(on_joined),
    )
