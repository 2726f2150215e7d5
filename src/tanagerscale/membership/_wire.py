"""Encoding of the frames between hosts: a pair of a tag and a message, in CBOR."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import TypeAlias
from typing import get_args

import cbor2
import msgspec
from msgspec import Struct
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import attempt_decoding
from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Attached
from tanagerscale.generated.messages import Coordinators
from tanagerscale.generated.messages import DelegatesAnswer
from tanagerscale.generated.messages import DelegatesAsk
from tanagerscale.generated.messages import EjectedUpstream
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import HeadRequest
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import Hello
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListRequest
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import Ping
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceWithdrawal
from tanagerscale.generated.messages import Pong
from tanagerscale.generated.messages import Progress
from tanagerscale.generated.messages import RateAnswer
from tanagerscale.generated.messages import RateAsk
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.messages import UpstreamLimit
from tanagerscale.generated.messages import Verdict

Message: TypeAlias = (
    Hello
    | Heartbeat
    | HeadAnnouncement
    | HeadRequest
    | Attached
    | HeadContent
    | UpstreamLeaving
    | Coordinators
    | HostRuns
    | ListContent
    | ListRequest
    | MoveDone
    | MoveOrder
    | Ping
    | PlaceAnswer
    | PlaceAsk
    | PlaceWithdrawal
    | Pong
    | RepeatAnswer
    | RepeatAsk
    | RateAnswer
    | RateAsk
    | DelegatesAnswer
    | DelegatesAsk
    | UpstreamLimit
    | EjectedUpstream
    | AnswerTallies
    | Suspect
    | Verdict
    | Ask
    | Grant
    | Progress
    | Running
    | RunningRequest
    | Finished
)
"""Any message that one host sends to another."""

_TYPES_BY_TAG: dict[str, type[Message]] = {kind.__name__: kind for kind in get_args(Message)}

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Must hold several values of the store, which are up to one megabyte each."""

_MAX_DEPTH = 8
_FRAME_ITEMS = 2


@unique
class FrameErrorKind(Enum):
    """Why a frame could not be decoded."""

    MALFORMED = "malformed"
    """The bytes violate the protocol; the connection must be closed."""
    UNKNOWN_TAG = "unknown-tag"
    """The message type is unknown to this version; the frame is skipped."""


class FrameError(Struct, frozen=True, kw_only=True):
    """Describes a frame that could not be decoded.

    :param kind: Kind of error, which determines whether the frame may be skipped.
    :param detail: One sentence that states the fault and the remedy.
    """

    kind: FrameErrorKind
    detail: str


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame."""
    return cbor2.dumps([type(message).__name__, msgspec.to_builtins(message)])


def decode_frame(data: bytes) -> Result[Message, FrameError]:
    """Decode a frame received from a peer.

    :param data: The received bytes; they are untrusted.
    :returns: The message, or the decoding error.
    """
    loaded = attempt_decoding(
        lambda: cbor2.loads(
            data,
            max_depth=_MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    )
    if isinstance(loaded, Failure):
        return Failure(_build_malformed_error(f"The frame is no CBOR ({loaded.failure()})"))
    frame = loaded.unwrap()
    if not isinstance(frame, list) or len(frame) != _FRAME_ITEMS or not isinstance(frame[0], str):
        return Failure(_build_malformed_error("The frame is not a pair of a tag and a map"))
    tag, body = frame
    kind = _TYPES_BY_TAG.get(tag)
    if kind is None:
        detail = "The peer speaks a newer version; update this host to understand its messages."
        return Failure(FrameError(kind=FrameErrorKind.UNKNOWN_TAG, detail=detail))
    converted = attempt_decoding(lambda: msgspec.convert(body, type=kind))
    return converted.alt(
        lambda cause: _build_malformed_error(
            f"The {kind.__name__} is not as the schema says ({cause})"
        )
    )


def _build_malformed_error(cause: str) -> FrameError:
    detail = f"{cause}; make sure that only hosts of this installation reach the peers' address."
    return FrameError(kind=FrameErrorKind.MALFORMED, detail=detail)
