"""Checks of addresses."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535


def address_problem(*, address: str, port_zero: bool = False) -> str:
    """Say what is wrong with an address.

    :param address: IP number and port; an IPv6 number stands in brackets.
    :param port_zero: Whether port 0, which takes a free one, is allowed.
    :returns: What is allowed, or the empty string when nothing is wrong.
    """
    lowest = 0 if port_zero else 1
    allowed = f"an IP number and a port from {lowest} to {MAX_PORT}, as in 127.0.0.1:8080"
    host, _, port = address.rpartition(":")
    is_ipv6 = host.startswith("[") and host.endswith("]")
    try:
        if is_ipv6:
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return allowed
    is_port = port.isascii() and port.isdigit() and lowest <= int(port) <= MAX_PORT
    return "" if is_port else allowed
