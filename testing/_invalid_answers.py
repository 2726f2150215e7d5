"""Answers whose heads can't be those of answers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from tanagerscale.platform._headers import REQUEST_ID
from testing._cut_answers import LAST_CHUNK
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest


@dataclass(frozen=True, kw_only=True)
class InvalidAnswer:
    """An answer whose head can't be one.

    :param status: The three digits of its status.
    :param fields: Header fields that frame its body.
    :param parts: Body, and what is done after it.
    """

    status: str
    fields: Sequence[tuple[str, str]] = ()
    parts: Sequence[Part] = (b"",)

    def encode(self, request: PeerRequest, *fields: tuple[str, str]) -> Sequence[Part]:
        """Return what is sent.

        :param request: The request that is answered.
        :param fields: Further header fields.
        """
        echoed = ((REQUEST_ID, request.id),) if request.id else ()
        lines = [f"{name}: {value}" for name, value in (*echoed, *fields, *self.fields)]
        head = "\r\n".join([f"HTTP/1.1 {self.status} Status", *lines, "", ""]).encode()
        first, *rest = self.parts
        assert isinstance(first, bytes)
        return [head + first, *rest]


def _make_answers() -> dict[str, InvalidAnswer]:
    """Return the answers by names for them; a connection is kept open unless its end is due."""
    answers: dict[str, InvalidAnswer] = {}
    for status in ("000", "099", "600", "999", "100", "199"):
        for size in (2, 0):
            answers[f"{status}-length-{size}"] = InvalidAnswer(
                status=status, fields=[("Content-Length", str(size))], parts=[b"{}"[:size]]
            )
        if status.startswith("1"):
            answers[f"{status}-chunked"] = InvalidAnswer(
                status=status,
                fields=[("Transfer-Encoding", "chunked")],
                parts=[b"2\r\n{}\r\n" + LAST_CHUNK],
            )
        else:
            answers[f"{status}-closed"] = InvalidAnswer(status=status, parts=[b"{}", b""])
    return answers


INVALID_ANSWERS = _make_answers()
each_invalid_answer = pytest.mark.parametrize(
    "answer", list(INVALID_ANSWERS.values()), ids=list(INVALID_ANSWERS)
)
