"""The keys and certificates of a host."""

from __future__ import annotations

from pathlib import Path
import secrets
import ssl

from tanagerscale.core import get_logger
from tanagerscale.generated.settings import HostSettings
from tanagerscale.generated.settings import TlsSection

CURSOR_KEY_BYTES = 32

_log = get_logger(part="daemon")


def callers_ssl_context(*, tls: TlsSection) -> ssl.SSLContext | None:
    """Return the context for callers' connections, or ``None`` without a certificate.

    :param tls: The ``[tls]`` section.
    :raises OSError: When a file can't be read.
    """
    if not tls.callers_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.callers_certificate, tls.callers_key)
    return context


def cursor_key(*, settings: HostSettings) -> bytes:
    """Return the key that signs cursors.

    :param settings: The host's settings. Without a key in them a random one is made, and then
        no other host can read this host's cursors.
    """
    secrets_section = settings.secrets
    if secrets_section.cursor_key_file:
        return Path(secrets_section.cursor_key_file).read_bytes().strip()
    if secrets_section.cursor_key:
        return secrets_section.cursor_key.encode()
    _log.warning("No cursor_key is set; callers can't continue at other hosts.")
    return secrets.token_bytes(CURSOR_KEY_BYTES)
