"""TLS on all ports, with certificates that the tests create."""

import asyncio
import datetime
import ipaddress
import ssl
from pathlib import Path

import msgspec
import pytest
from aiohttp import ClientError, ClientSession, web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ebonyladder.kernel.error import ConfigurationError, PeerError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.messages import Sync
from ebonyladder.plugins.certificates import CertificatesPlugin
from ebonyladder.plugins.peer_connections import WebSocketPeerConnections
from ebonyladder.settings import TlsSettings, load_settings
from ebonyladder.tls import Certificates
from standins.address import LISTEN_ADDRESS, free_addresses
from tests.test_kernel import SETTINGS

SYNC = Sync(version=3, wait_s=0.0)


class Authority:
    """Certificate authority that issues certificates for loopback addresses."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.file = folder / f"{name}.pem"
        certificate = self._sign(self.name, self.key, is_authority=True)
        self.file.write_bytes(certificate)

    def issue(self, name: str, file: str = "vm") -> TlsSettings:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate, private = self.folder / f"{file}.pem", self.folder / f"{file}.key"
        certificate.write_bytes(self._sign(subject, key))
        private.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(
            certificate=str(certificate), key=str(private), authority=str(self.file)
        )

    def _sign(self, subject, key, *, is_authority: bool = False) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName(
                    [
                        x509.IPAddress(ipaddress.ip_address(address))
                        for address in ("127.0.0.1", LISTEN_ADDRESS)
                    ]
                ),
                critical=False,
            )
        )
        signed = builder.sign(self.key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)


def make_kernel(folder: Path, name: str, tls: TlsSettings | None) -> Kernel:
    secret = folder / "secret"
    secret.write_text("fleet")
    registry = Registry()
    registry.register(WebSocketPeerConnections)
    registry.register(CertificatesPlugin)
    settings = msgspec.structs.replace(
        SETTINGS,
        vm=name,
        peer=free_addresses(1)[0],
        fleet_secret_file=str(secret),
        peer_tls=tls,
    )
    return Kernel(settings=settings, registry=registry)


def call(folder: Path, one_tls, two_tls) -> object:
    """Return one VM's answer to a call of another VM."""

    async def run():
        one = make_kernel(folder, "vm-1", one_tls)
        two = make_kernel(folder, "vm-2", two_tls)
        await one.start()
        await two.start()
        connections = {plugin.name: plugin for plugin in one.plugins}["peer-links"]
        receiver = {plugin.name: plugin for plugin in two.plugins}["peer-links"]

        async def answer(_peer, message):
            return message

        receiver.handle(Sync, answer)
        try:
            return await connections.call_address(two.settings.peer, SYNC, timeout_s=20)
        finally:
            await one.stop()
            await two.stop()

    return asyncio.run(run())


class TestPeerConnections:
    """Guards against connections in plain text and peers of another authority."""

    def test_call_over_tls(self, tmp_path):
        tls = Authority(tmp_path).issue("vm")
        assert call(tmp_path, tls, tls) == SYNC

    def test_peers_without_tls_or_of_another_authority_are_refused(self, tmp_path):
        (tmp_path / "other").mkdir()
        tls = Authority(tmp_path).issue("vm")
        foreign = Authority(tmp_path / "other", "foreign").issue("vm")
        for other in (None, foreign):
            with pytest.raises(PeerError):
                call(tmp_path, other, tls)


class TestReload:
    """Guards against a restart to load a new certificate, and an invalid one in use."""

    @staticmethod
    def served_names(tmp_path: Path, replace) -> list[str]:
        """Return the certificate names before and after ``replace(authority)``."""

        async def name_at(port: int) -> str:
            trust = ssl.create_default_context(cafile=authority.file)
            trust.load_cert_chain(client.certificate, client.key)
            _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=trust)
            presented = writer.get_extra_info("peercert")
            writer.close()
            return dict(name[0] for name in presented["subject"])["commonName"]

        async def run() -> list[str]:
            plugin = make_kernel(tmp_path, "vm-1", None).get(Certificates)
            context = plugin.server(tls)
            server = await asyncio.start_server(
                lambda _reader, writer: writer.close(), "127.0.0.1", 0, ssl=context
            )
            port = server.sockets[0].getsockname()[1]
            async with server:
                before = await name_at(port)
                replace(authority)
                (reloadable,) = plugin.contexts
                reloadable.reload(reloadable.read_stamps())
                return [before, await name_at(port)]

        authority = Authority(tmp_path)
        tls = authority.issue("first")
        client = authority.issue("client", "client")
        return asyncio.run(run())

    def test_new_connections_get_the_changed_certificate(self, tmp_path):
        names = self.served_names(tmp_path, lambda authority: authority.issue("second"))
        assert names == ["first", "second"]

    def test_mismatched_files_leave_the_current_certificate_in_use(self, tmp_path):
        def replace(authority: Authority) -> None:
            authority.issue("second")
            (tmp_path / "vm.key").write_bytes((tmp_path / "client.key").read_bytes())

        assert self.served_names(tmp_path, replace) == ["first", "first"]

    def test_callers_without_a_certificate_are_refused(self, tmp_path):
        async def run() -> None:
            plugin = make_kernel(tmp_path, "vm-1", None).get(Certificates)
            app = web.AppRunner(web.Application())
            await app.setup()
            context = plugin.server(authority.issue("vm"))
            await web.TCPSite(app, "127.0.0.1", 0, ssl_context=context).start()
            url = f"https://127.0.0.1:{app.addresses[0][1]}/"
            trust = ssl.create_default_context(cafile=authority.file)
            try:
                async with ClientSession() as session:
                    await session.get(url, ssl=trust)
            finally:
                await app.cleanup()

        authority = Authority(tmp_path)
        with pytest.raises(ClientError):
            asyncio.run(run())


class TestSettings:
    """Guards against a daemon that starts without the files that it needs."""

    def test_missing_files_are_named(self, tmp_path):
        path = tmp_path / "vm.json"
        settings = msgspec.structs.replace(
            SETTINGS, peer_tls=TlsSettings(certificate="none.pem", key="none.key")
        )
        path.write_bytes(msgspec.json.encode(settings))
        with pytest.raises(ConfigurationError) as refusal:
            load_settings(str(path))
        paths = [problem.path for problem in refusal.value.problems]
        assert paths == ["peer_tls.certificate", "peer_tls.key"]
