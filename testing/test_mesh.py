"""Connections between hosts over loopback WebSockets: handshake, frames and certificates."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from ipaddress import ip_address
from pathlib import Path
from random import Random
import socket
import ssl
from typing import TypeAlias

import cbor2
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
import pytest_asyncio
from returns.result import Failure
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.exceptions import WebSocketException

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import Hello
from tanagerscale.generated.messages import Progress
from tanagerscale.generated.settings import TlsSection
from tanagerscale.membership import CloseReason
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import decode_frame
from tanagerscale.membership import encode_frame
from tanagerscale.membership import peer_ssl_contexts
from tanagerscale.membership._websocket import DEAD_PEER_TIMEOUT_S
from tanagerscale.membership._websocket import WebSocketLink
from tanagerscale.membership._wire import MAX_FRAME_BYTES
from testing._random_cases import random_case_settings

TEST_TIMEOUT_S = 30

Contexts: TypeAlias = tuple[ssl.SSLContext, ssl.SSLContext] | None
MakeMesh: TypeAlias = Callable[[str, Contexts], Awaitable[tuple[Mesh, str]]]


@pytest_asyncio.fixture
async def make_mesh() -> AsyncIterator[MakeMesh]:
    """Factory of started meshes that are stopped after the test."""
    started = []

    async def make(name: str, contexts: Contexts = None) -> tuple[Mesh, str]:
        server_ssl, client_ssl = contexts or (None, None)
        mesh = Mesh(
            host=HostId(name),
            failure_domain=FailureDomainId("z1"),
            incarnation=1,
            listen="127.0.0.1:0",
            clock=Clock(),
            rng=Random(name),
            server_ssl=server_ssl,
            client_ssl=client_ssl,
        )
        started.append(mesh)
        return mesh, await mesh.start()

    yield make
    for mesh in started:
        await mesh.stop()


async def _wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _connect_and_greet(address: str, *, hello: Hello | None = None) -> ClientConnection:
    connection = await connect(f"ws://{address}", proxy=None)
    await connection.send(encode_frame(hello or Hello(version=1, host="raw", incarnation=1)))
    answer = decode_frame(bytes(await connection.recv(decode=False))).unwrap()
    assert isinstance(answer, Hello)
    return connection


async def _receive_forever(connection: ClientConnection) -> None:
    while True:
        await connection.recv()


async def _get_close_code(connection: ClientConnection) -> int:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        with pytest.raises(ConnectionClosed) as raised:
            await _receive_forever(connection)
    frame = raised.value.rcvd
    assert frame is not None
    assert frame.reason.endswith(".")
    return frame.code


async def test_connected_peer_receives_messages_in_order(make_mesh: MakeMesh) -> None:
    a, a_address = await make_mesh("a", None)
    b, b_address = await make_mesh("b", None)
    received: list[ReceivedMessage] = []
    b.messages.subscribe(received.append)
    a.set_peers([PeerAddress(address=b_address), PeerAddress(address=a_address)])
    await _wait_until(lambda: a.live.value and b.live.value)
    for revision in range(50):
        message = HeadAnnouncement(revision=revision, digest="x")
        assert a.send(host=HostId("b"), message=message)
    announced: list[int] = []

    def collect() -> bool:
        announced[:] = [
            each.message.revision for each in received if isinstance(each.message, HeadAnnouncement)
        ]
        return len(announced) == 50

    await _wait_until(collect)
    assert announced == list(range(50))
    assert not a.send(host=HostId("nobody"), message=HeadAnnouncement(revision=1, digest="x"))


async def test_dead_peer_detection_is_configured_on_both_ends(make_mesh: MakeMesh) -> None:
    a, _ = await make_mesh("a", None)
    b, b_address = await make_mesh("b", None)
    a.set_peers([PeerAddress(address=b_address)])
    await _wait_until(lambda: a.live.value and b.live.value)
    for mesh in (a, b):
        (session,) = mesh._sessions.values()
        link = session._link
        assert isinstance(link, WebSocketLink)
        connected = link._connection.transport.get_extra_info("socket")
        assert connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        idle_s = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval_s = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        assert idle_s + interval_s * probes <= DEAD_PEER_TIMEOUT_S
        # Unacknowledged data suppresses keep-alive probes, so it has its own timeout.
        user_timeout_ms = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert 0 < user_timeout_ms <= DEAD_PEER_TIMEOUT_S * 1000


async def test_peer_with_unsupported_version_is_rejected_and_others_stay_connected(
    make_mesh: MakeMesh,
) -> None:
    a, address = await make_mesh("a", None)
    good_peer = await _connect_and_greet(address)
    hello = Hello(version=99, oldest_version=98, host="future", incarnation=1)
    rejected_peer = await _connect_and_greet(address, hello=hello)
    assert await _get_close_code(rejected_peer) == CloseReason.VERSION
    assert a.counters.refused_versions == 1
    assert [peer.host for peer in a.live.value] == ["raw"]
    await good_peer.close()


async def test_newer_peer_is_accepted_when_it_supports_our_version(make_mesh: MakeMesh) -> None:
    a, address = await make_mesh("a", None)
    newer = await _connect_and_greet(
        address, hello=Hello(version=99, oldest_version=1, host="newer", incarnation=1)
    )
    await newer.send(cbor2.dumps(["MessageOfTheFuture", {"field": 1}]))
    await _wait_until(lambda: a.counters.unknown_tags == 1)
    assert [peer.host for peer in a.live.value] == ["newer"]
    await newer.close()


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        (b"\xff\xff", CloseReason.MALFORMED),
        (cbor2.dumps(["Heartbeat", {"revision": "high"}]), CloseReason.MALFORMED),
        (b"\x82\x69Heartbeat\x81" * 40, CloseReason.MALFORMED),
        (b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff", CloseReason.MALFORMED),
        (b"x" * (MAX_FRAME_BYTES + 1), CloseReason.TOO_LARGE),
    ],
)
async def test_connection_closes_with_reason_when_frame_is_invalid(
    make_mesh: MakeMesh, frame: bytes, reason: CloseReason
) -> None:
    a, address = await make_mesh("a", None)
    good_peer = await _connect_and_greet(address)
    hello = Hello(version=1, host="hostile", incarnation=1)
    bad_peer = await _connect_and_greet(address, hello=hello)
    await bad_peer.send(frame)
    # The WebSocket library rejects a frame above the limit with its own close reason.
    if reason is not CloseReason.TOO_LARGE:
        assert await _get_close_code(bad_peer) == reason
    await _wait_until(lambda: [peer.host for peer in a.live.value] == ["raw"])
    await good_peer.close()


async def test_connection_closes_when_first_frame_is_not_a_hello(make_mesh: MakeMesh) -> None:
    a, address = await make_mesh("a", None)
    connection = await connect(f"ws://{address}", proxy=None)
    await connection.send(encode_frame(HeadAnnouncement(revision=9, digest="x")))
    assert await _get_close_code(connection) == CloseReason.MALFORMED
    assert a.live.value == ()


ASK = Ask(cell="c", serial=1, generation="g", model="m", account="a", priority=0, prompt_tokens=5)


@given(st.binary(max_size=200))
@random_case_settings(examples=300)
def test_decoding_arbitrary_bytes_returns_message_or_frame_error(data: bytes) -> None:
    result = decode_frame(data)
    if isinstance(result, Failure):
        assert result.failure().detail.endswith(".")


@given(st.data())
@random_case_settings(examples=300)
def test_decoding_corrupted_frames_returns_message_or_frame_error(data: st.DataObject) -> None:
    messages: list[Message] = [ASK, Progress(cell="c", serials=[1, 2], tokens=[3, 4])]
    message = data.draw(st.sampled_from(messages))
    frame = bytearray(encode_frame(message))
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(frame) - 1))
        frame[position] = data.draw(st.integers(0, 255))
    result = decode_frame(bytes(frame))
    if not isinstance(result, Failure):
        assert msgspec.to_builtins(result.unwrap()) is not None


async def test_connection_is_rejected_without_certificate_of_the_installation(
    make_mesh: MakeMesh, tmp_path: Path
) -> None:
    own_authority = CertificateAuthority(directory=tmp_path, name="ours")
    foreign_authority = CertificateAuthority(directory=tmp_path, name="foreign")
    a, address = await make_mesh("a", peer_ssl_contexts(tls=own_authority.issue("a")))
    b, _ = await make_mesh("b", peer_ssl_contexts(tls=own_authority.issue("b")))
    foreign_mesh, _ = await make_mesh(
        "mallory", peer_ssl_contexts(tls=foreign_authority.issue("mallory"))
    )
    unverified_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    unverified_context.check_hostname = False
    unverified_context.verify_mode = ssl.CERT_NONE
    for client in (unverified_context, None):
        with pytest.raises((WebSocketException, OSError, EOFError)):
            await _connect_and_exchange(address, client)
    foreign_mesh.set_peers([PeerAddress(address=address)])
    b.set_peers([PeerAddress(address=address)])
    await _wait_until(lambda: a.live.value and foreign_mesh.has_tried_all)
    assert [peer.host for peer in a.live.value] == ["b"]
    assert foreign_mesh.live.value == ()


async def _connect_and_exchange(address: str, client: ssl.SSLContext | None) -> None:
    scheme = "ws" if client is None else "wss"
    async with connect(f"{scheme}://{address}", ssl=client, proxy=None) as connection:
        await connection.send(encode_frame(Hello(version=1, host="x", incarnation=1)))
        await connection.recv()


class CertificateAuthority:
    """Issues certificates for tests.

    :param directory: Directory for the certificate and key files.
    :param name: Common name of the authority.
    """

    def __init__(self, *, directory: Path, name: str) -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._path = directory / f"{name}-ca.pem"
        certificate = self._certificate(subject=name, key=self._key, is_authority=True)
        self._path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, host: str) -> TlsSection:
        """Issue a certificate for a host and return the TLS settings that use it."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._certificate(subject=host, key=key, is_authority=False)
        certificate_path = self._directory / f"{host}.pem"
        key_path = self._directory / f"{host}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSection(
            peers_certificate=str(certificate_path),
            peers_key=str(key_path),
            peers_ca=str(self._path),
        )

    def _certificate(
        self, *, subject: str, key: ec.EllipticCurvePrivateKey, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        day = datetime.timedelta(days=1)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(subject))
            .issuer_name(_name(self._name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - day)
            .not_valid_after(now + day)
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
                critical=False,
            )
        )
        return builder.sign(self._key, hashes.SHA256())


def _name(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common)])
