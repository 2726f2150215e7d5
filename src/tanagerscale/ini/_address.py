"""Validation of network addresses."""

from __future__ import annotations

import ipaddress
import re
from typing import Final

MAX_PORT = 65535
MAX_PORT_DIGITS = 5

_PRINTABLE: Final = re.compile(r"[!-~]*")
"""The zone of an IPv6 address may be any text, and addresses are sent in header fields."""


def check_address(*, address: str, allow_port_zero: bool = False) -> str:
    """Check that an address consists of an IP address and a port.

    :param address: Address to check; IPv6 addresses are enclosed in brackets.
    :param allow_port_zero: Whether port 0, which binds to any free port, is allowed.
    :returns: Description of valid addresses if the address is invalid, else an empty string.
    """
    lowest = 0 if allow_port_zero else 1
    allowed = f"an IP address and a port from {lowest} to {MAX_PORT}, such as 127.0.0.1:8080"
    host, _, port = address.rpartition(":")
    if not _PRINTABLE.fullmatch(address):
        return allowed
    is_ipv6 = host.startswith("[") and host.endswith("]")
    try:
        if is_ipv6:
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return allowed
    # Long texts of digits can't be converted to a number.
    is_number = len(port) <= MAX_PORT_DIGITS and port.isascii() and port.isdigit()
    is_port = is_number and lowest <= int(port) <= MAX_PORT
    return "" if is_port else allowed
