"""Membership of hosts and upstreams, and the messages between hosts."""

from __future__ import annotations

from tanagerscale.membership._evacuations import Evacuations
from tanagerscale.membership._gate import NoticeSource
from tanagerscale.membership._gate import UpstreamGate
from tanagerscale.membership._gate_subscriptions import subscribe_gate
from tanagerscale.membership._head_replication import NOT_PACKED
from tanagerscale.membership._head_replication import HeadFollower
from tanagerscale.membership._head_replication import HeadReplicator
from tanagerscale.membership._host_list import HostListFollower
from tanagerscale.membership._host_list import peer_addresses
from tanagerscale.membership._link import CloseReason
from tanagerscale.membership._link import Link
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._link import Transport
from tanagerscale.membership._mesh import Mesh
from tanagerscale.membership._peers import MeshCounters
from tanagerscale.membership._peers import PeerAddress
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import ReceivedMessage
from tanagerscale.membership._roster import UpstreamRoster
from tanagerscale.membership._scale import interval_multiplier
from tanagerscale.membership._websocket import peer_ssl_contexts
from tanagerscale.membership._wire import FrameError
from tanagerscale.membership._wire import FrameErrorKind
from tanagerscale.membership._wire import Message
from tanagerscale.membership._wire import decode_frame
from tanagerscale.membership._wire import encode_frame

__all__ = [
    "NOT_PACKED",
    "CloseReason",
    "Evacuations",
    "FrameError",
    "FrameErrorKind",
    "HeadFollower",
    "HeadReplicator",
    "HostListFollower",
    "Link",
    "LinkClosedError",
    "Mesh",
    "MeshCounters",
    "Message",
    "NoticeSource",
    "PeerAddress",
    "PeerInfo",
    "ReceivedMessage",
    "Transport",
    "UpstreamGate",
    "UpstreamRoster",
    "decode_frame",
    "encode_frame",
    "interval_multiplier",
    "peer_addresses",
    "peer_ssl_contexts",
    "subscribe_gate",
]
