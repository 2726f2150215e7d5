"""Structured logging: short messages with fields, under the name of a component."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

from tanagerscale.generated.settings import LogFormat
from tanagerscale.generated.settings import LogSection


def get_logger(*, part: str) -> logbook.Logger:
    """Return the logger of one component.

    :param part: Name of the component, included in each line, such as ``"dispatch"``.
    """
    return logbook.Logger(part)


def set_up_logging(*, settings: LogSection) -> None:
    """Install a handler that writes log records to standard error.

    :param settings: The ``[log]`` section, which sets the level and the format.
    """
    level = logbook.lookup_level(settings.level.value.upper())
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = _format_json if settings.format is LogFormat.JSON else _format_text
    handler.push_application()


def _format_json(record: Any, _handler: Any) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
        **record.kwargs,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def _format_text(record: Any, _handler: Any) -> str:
    fields = "".join(f" {name}={value}" for name, value in record.kwargs.items())
    time = record.time.isoformat(timespec="milliseconds")
    return f"{time} {record.level_name.lower()} {record.channel}: {record.message}{fields}"
