"""Loading of the keys and certificates of a host."""

from __future__ import annotations

from pathlib import Path
import secrets
import ssl

from tanagerscale.core import get_logger
from tanagerscale.generated.settings import HostSettings
from tanagerscale.generated.settings import TlsSection

CURSOR_KEY_BYTES = 32

_log = get_logger(part="daemon")


def make_callers_ssl_context(*, tls: TlsSection) -> ssl.SSLContext | None:
    """Return the TLS context for connections from callers.

    :param tls: ``[tls]`` section of the settings.
    :returns: ``None`` if no certificate is configured.
    :raises OSError: If a certificate or key file cannot be read.
    """
    if not tls.callers_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.callers_certificate, tls.callers_key)
    return context


def load_cursor_key(*, settings: HostSettings) -> bytes:
    """Return the key used to sign cursors.

    :param settings: Settings of the host. If they contain no key, a random key is generated and
        no other host can verify the cursors of this host.
    """
    secrets_section = settings.secrets
    if secrets_section.cursor_key_file:
        return Path(secrets_section.cursor_key_file).read_bytes().strip()
    if secrets_section.cursor_key:
        return secrets_section.cursor_key.encode()
    _log.warning("No cursor_key is configured; callers cannot resume streams at other hosts.")
    return secrets.token_bytes(CURSOR_KEY_BYTES)
