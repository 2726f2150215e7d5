"""TLS for callers and mutual TLS between hosts, with real processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import datetime
import ipaddress
from pathlib import Path
import ssl

import aiohttp
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
import msgspec
import pytest

from standins.cluster_files import write_settings
from standins.launcher import ANY_PORT
from standins.launcher import CURSOR_KEY
from standins.launcher import FAILURE_DOMAINS
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.processes import ManagedProcess
from standins.store import Fault
from standins.store import FaultMode
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.settings import HostListSection
from tanagerscale.generated.settings import HostSection
from tanagerscale.generated.settings import HostSettings
from tanagerscale.generated.settings import SecretsSection
from tanagerscale.generated.settings import StoreSection
from tanagerscale.generated.settings import TlsSection
from testing._callers import ask
from testing._callers import expected_text
from testing.conftest import StartCluster

PROMPT = "check [[tokens=5]]"
VALID_FROM = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)
VALID_UNTIL = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyPair:
    """Files of a certificate and its private key."""

    certificate: Path
    key: Path


class CertificateAuthority:
    """Certificate authority that signs certificates for the loopback address."""

    def __init__(self, *, directory: Path, name: str) -> None:
        self._directory = directory
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        builder = self._builder(self._name, self._key.public_key())
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        builder = builder.add_extension(constraints, critical=True)
        self.certificate = directory / f"{name}.pem"
        self._write(self.certificate, builder)

    def issue(self, name: str) -> KeyPair:
        """Create a certificate and its private key and write both to files."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = self._builder(subject, key.public_key()).add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        pair = KeyPair(
            certificate=self._directory / f"{name}.pem", key=self._directory / f"{name}.key"
        )
        self._write(pair.certificate, builder)
        pair.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return pair

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(VALID_FROM)
            .not_valid_after(VALID_UNTIL)
        )

    def _write(self, path: Path, builder: x509.CertificateBuilder) -> None:
        certificate = builder.sign(self._key, hashes.SHA256())
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


async def _start_host(
    cluster: Cluster, name: str, *, authority: CertificateAuthority, seeds: list[str]
) -> ManagedProcess:
    callers = authority.issue(f"{name}-callers")
    peers = authority.issue(f"{name}-peers")
    settings = HostSettings(
        host=HostSection(
            id=name, failure_domain=FAILURE_DOMAINS[0], callers=ANY_PORT, peers=ANY_PORT
        ),
        store=StoreSection(endpoints=[cluster.store.url]),
        host_list=HostListSection(seeds=seeds),
        tls=TlsSection(
            callers_certificate=str(callers.certificate),
            callers_key=str(callers.key),
            peers_certificate=str(peers.certificate),
            peers_key=str(peers.key),
            peers_ca=str(authority.certificate),
        ),
        secrets=SecretsSection(cursor_key=CURSOR_KEY),
    )
    path = cluster.directory / f"{name}.ini"
    write_settings(path=path, settings=settings)
    return await cluster.launcher.start(
        name=name, module="tanagerscale.daemon", arguments=["--settings", str(path)]
    )


async def _status(session: aiohttp.ClientSession, host: ManagedProcess) -> HostStatus:
    async with session.get(f"https://{host.address_of('callers')}/v1/status") as response:
        return msgspec.json.decode(await response.read(), type=HostStatus)


async def _connect_as_peer(host: ManagedProcess, *, pair: KeyPair | None) -> None:
    """Connect to the peer address of a host, with or without a client certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if pair is not None:
        context.load_cert_chain(pair.certificate, pair.key)
    async with (
        aiohttp.ClientSession() as session,
        session.ws_connect(f"wss://{host.address_of('peers')}/", ssl=context),
    ):
        return


async def test_hosts_with_certificates_form_a_mesh_and_reject_other_peers(
    start_cluster: StartCluster, tmp_path: Path
) -> None:
    cluster = await start_cluster(ClusterPlan(hosts=0, engines=1, services=0))
    our_authority = CertificateAuthority(directory=tmp_path, name="ours")
    foreign_authority = CertificateAuthority(directory=tmp_path, name="foreign")
    first = await _start_host(cluster, "host-1", authority=our_authority, seeds=[])
    applied = await cluster.apply()
    assert applied.returncode == 0, applied.output + applied.errors
    client_context = ssl.create_default_context(cafile=str(our_authority.certificate))
    connector = aiohttp.TCPConnector(ssl=client_context)
    async with aiohttp.ClientSession(connector=connector) as session:
        while not (await _status(session, first)).ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        # The store is down, so the second host can only get the declarations from its peer.
        await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
        seeds = [first.address_of("peers")]
        second = await _start_host(cluster, "host-2", authority=our_authority, seeds=seeds)
        while not (await _status(session, second)).ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        url = f"https://{second.address_of('callers')}"
        answer = await ask(session=session, url=url, prompt=PROMPT)
        assert answer.text == expected_text(prompt=PROMPT)

        await _connect_as_peer(first, pair=our_authority.issue("visitor"))
        for pair in (None, foreign_authority.issue("intruder")):
            with pytest.raises((aiohttp.ClientError, OSError)):
                await _connect_as_peer(first, pair=pair)
        assert (await _status(session, first)).live_hosts == ["host-2"]
    async with aiohttp.ClientSession() as untrusting_session:
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await _status(untrusting_session, first)
