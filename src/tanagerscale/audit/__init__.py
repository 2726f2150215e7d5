"""Audit trail of applied revisions: author, time, base revision and changes."""

from __future__ import annotations

from tanagerscale.audit._trail import audit_key
from tanagerscale.audit._trail import decode_audit
from tanagerscale.audit._trail import encode_audit
from tanagerscale.audit._trail import find_audit
from tanagerscale.audit._trail import read_audit

__all__ = ["audit_key", "decode_audit", "encode_audit", "find_audit", "read_audit"]
