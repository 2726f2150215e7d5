"""Frames between hosts: a tag and a message, as CBOR."""

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
from returns.result import Success

from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Attached
from tanagerscale.generated.messages import Coordinators
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
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.messages import Verdict
from tanagerscale.generated.messages import WarmupAnswer
from tanagerscale.generated.messages import WarmupAsk

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
    | WarmupAnswer
    | WarmupAsk
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
"""Anything one host tells another."""

_TYPES: dict[str, type[Message]] = {kind.__name__: kind for kind in get_args(Message)}

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Room for a few of the store's values, which hold up to a megabyte each."""

_MAX_DEPTH = 8
_FRAME_LENGTH = 2


@unique
class FrameErrorKind(Enum):
    """Why a frame could not be read."""

    MALFORMED = "malformed"
    """The bytes break the protocol; the connection is of no use any more."""
    UNKNOWN_TAG = "unknown-tag"
    """A message this version does not know; it is skipped."""


class FrameError(Struct, frozen=True, kw_only=True):
    """A frame that could not be read.

    :param kind: Whether it may be skipped.
    :param detail: One sentence that names the remedy.
    """

    kind: FrameErrorKind
    detail: str


def encode_frame(message: Message) -> bytes:
    """Return a message's bytes on the wire."""
    return cbor2.dumps([type(message).__name__, msgspec.to_builtins(message)])


def decode_frame(data: bytes) -> Result[Message, FrameError]:
    """Read a frame that came from a peer.

    :param data: The bytes as received; they may be anything.
    :returns: The message, or why there is none.
    """
    try:
        frame = cbor2.loads(
            data,
            max_depth=_MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    # The decoder runs converters of its own for CBOR's semantic tags, and each may raise
    # what it likes on hostile input.
    except Exception as error:
        return Failure(_malformed(f"The frame is no CBOR ({type(error).__name__})"))
    if not isinstance(frame, list) or len(frame) != _FRAME_LENGTH or not isinstance(frame[0], str):
        return Failure(_malformed("The frame is not a pair of a tag and a map"))
    tag, body = frame
    kind = _TYPES.get(tag)
    if kind is None:
        detail = "The peer speaks a newer version; update this host to understand its messages."
        return Failure(FrameError(kind=FrameErrorKind.UNKNOWN_TAG, detail=detail))
    try:
        return Success(msgspec.convert(body, type=kind))
    except (msgspec.ValidationError, RecursionError) as error:
        return Failure(_malformed(f"The {kind.__name__} is not as the schema says ({error})"))


def _malformed(cause: str) -> FrameError:
    detail = f"{cause}; make sure that only hosts of this installation reach the peers' address."
    return FrameError(kind=FrameErrorKind.MALFORMED, detail=detail)
