"""Hosts of the product, started with the command of the deploy file and its template."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import re
import signal
import socket
import tomllib
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
READY_TIMEOUT_S = 40.0

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "acknowledgeMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configurationMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeWhenPartitioned": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoveryS": 12,
    "passMs": 120,
    "againS": 4.4,
}
"""Bounds of the sheet of rondes-tr."""


def free_port(ips: list[str]) -> int:
    """Return a port that is free on all given addresses, below those of outgoing connections."""
    for port in range(20_000 + os.getpid() % 9_000, 32_000):
        if _is_free(port, ips):
            return port
    raise OSError("no port is free")


def _is_free(port: int, ips: list[str]) -> bool:
    for ip in ips:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Host:
    """One machine with the process of the role ``host``.

    :param number: Number of the machine.
    :param ip: Its address.
    :param zone: Its zone.
    :param ports: Ports for callers, readiness, control, and the first internal one.
    :param fields: Fields of the settings that all machines share.
    :param directory: Directory for the settings file and the logs.
    """

    def __init__(
        self,
        *,
        number: int,
        ip: str,
        zone: str,
        ports: tuple[int, int, int, int],
        fields: dict[str, Any],
        directory: Path,
    ) -> None:
        self.name = f"front-{zone}-{number}"
        front, ready, control, internal = ports
        self.front = f"{ip}:{front}"
        self.ready_address = f"{ip}:{ready}"
        self.control = f"{ip}:{control}"
        self.exits: list[int] = []
        self.starts = 0
        self._fields = fields | {
            "nodeName": self.name,
            "ip": ip,
            "zone": zone,
            "listen": {"front": self.front, "ready": self.ready_address, "control": self.control},
            "internalPorts": [internal, internal + 15],
        }
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings file and start the process."""
        role = DEPLOY["roles"]["host"]
        path = self._directory / f"{self.name}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), self._fields))
        self.starts += 1
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | role.get("env", {})
        environment |= {
            "TANAGERSCALE_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._directory / f"{self.name}-{self.starts}.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(), stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        assert self._process is not None
        code = await self._process.wait()
        self.exits.append(code)
        return code

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def end(self) -> None:
        """End the process, in whichever state it is."""
        if self._process is not None and self._process.returncode is None:
            self.signal(signal.SIGCONT)
            await self.kill()

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready, as the platform does."""
        ip, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


def make_hosts(
    *, subnet: str, zones: list[str], store: str, directory: Path, per_zone: int = 2
) -> list[Host]:
    """Return the machines of a small deployment like rondes-tr.

    :param subnet: First three bytes of the loopback addresses.
    :param zones: Names of the zones.
    :param store: Address of the platform's store.
    :param directory: Directory for settings and logs.
    :param per_zone: Machines in each zone.
    """
    ips = [f"{subnet}.{number}" for number in range(10, 10 + len(zones) * per_zone)]
    first = free_port(ips)
    ports = (first, *(free_port_after(ips, first, step) for step in (1, 2, 3)))
    places = [(ip, zones[index // per_zone]) for index, ip in enumerate(ips)]
    fields = {
        "role": "host",
        "machineClass": "front",
        "serves": ["front", "control"],
        "region": "region",
        "zones": {zone: "region" for zone in zones},
        "seeds": [f"{ips[index * per_zone]}:{ports[2]}" for index in range(len(zones))],
        "bootstrap": True,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 150,
            "fileDescriptors": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "heartbeatMs": 1200,
        "bounds": BOUNDS,
        "platform": {"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000},
    }
    return [
        Host(number=number, ip=ip, zone=zone, ports=ports, fields=fields, directory=directory)
        for number, (ip, zone) in enumerate(places, 1)
    ]


def free_port_after(ips: list[str], first: int, step: int) -> int:
    """Return a free port near another one."""
    port = first + 20 * step
    while not _is_free(port, ips):
        port += 1
    return port


_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the page on deploying says."""
    tokens = []
    end = 0
    for match in _TAG.finditer(template):
        tokens += [("text", template[end : match.start()]), (match[1] or "value", match[2])]
        end = match.end()
    tokens.append(("text", template[end:]))
    return _render(tokens, [fields])


def _render(tokens: list[tuple[str, str]], scopes: list[Any], place: Any = None) -> str:
    out = []
    index = 0
    while index < len(tokens):
        kind, text = tokens[index]
        index += 1
        if kind == "text":
            out.append(text)
        elif kind == "value":
            out.append(_value(text, scopes, place))
        else:
            close = next(i for i in range(index, len(tokens)) if tokens[i] == ("/", text))
            inner = tokens[index:close]
            index = close + 1
            out.append(_section(kind, text, inner, scopes))
    return "".join(out)


def _section(kind: str, name: str, inner: list[tuple[str, str]], scopes: list[Any]) -> str:
    value = _look_up(name, scopes)
    if kind == "^":
        return "" if value else _render(inner, scopes)
    if isinstance(value, (dict, list)):
        pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        return "".join(
            _render(inner, [*scopes, entry], (key, number == len(pairs) - 1))
            for number, (key, entry) in enumerate(pairs)
        )
    return _render(inner, [*scopes, value]) if value not in (None, False) else ""


def _value(name: str, scopes: list[Any], place: Any) -> str:
    if name == "@":
        return str(place[0])
    if name == ",":
        return "" if place[1] else ","
    value = scopes[-1] if name == "." else _look_up(name, scopes)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(one) for one in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def _look_up(name: str, scopes: list[Any]) -> Any:
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None
