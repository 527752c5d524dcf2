import asyncio
import datetime

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.hazmat.primitives.serialization import NoEncryption
from cryptography.hazmat.primitives.serialization import PrivateFormat
from cryptography.x509 import CertificateBuilder
from cryptography.x509 import Name
from cryptography.x509 import random_serial_number

from wigeonmill.settings import TlsSettings
from wigeonmill.tls import make_client_context
from wigeonmill.tls import make_server_context


def write_identity(folder, name):
    """Write a self-signed certificate and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = Name.from_rfc4514_string(f'CN={name}')
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        CertificateBuilder(subject, subject, key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .sign(key, SHA256())
    )
    cert_file = folder / f'{name}.crt'
    key_file = folder / f'{name}.key'
    pem = Encoding.PEM
    cert_file.write_bytes(certificate.public_bytes(pem))
    key_file.write_bytes(
        key.private_bytes(
            pem,
            PrivateFormat.PKCS8,
            NoEncryption(),
        )
    )
    return TlsSettings(str(cert_file), str(key_file), str(cert_file))


async def echo_byte(server_context, client_context):
    """Return the byte echoed over TLS; empty if the handshake fails."""

    async def echo(reader, writer):
        writer.write(await reader.read(1))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', ssl=server_context)
    host, port = server.sockets[0].getsockname()
    try:
        reader, writer = await asyncio.open_connection(
            host, port, ssl=client_context
        )
        writer.write(b'x')
        return await reader.read(1)
    except OSError:
        return b''
    finally:
        server.close()


def test_peers_authenticate_each_other(tmp_path):
    trusted = write_identity(tmp_path, 'trusted')
    other = write_identity(tmp_path, 'other')
    server = make_server_context(trusted).unwrap()
    client = make_client_context(trusted).unwrap()
    assert asyncio.run(echo_byte(server, client)) == b'x'
    untrusted = make_client_context(other).unwrap()
    assert asyncio.run(echo_byte(server, untrusted)) == b''
    # This client trusts the server, but the server does not trust it.
    untrusted.load_verify_locations(trusted.cert_file)
    assert asyncio.run(echo_byte(server, untrusted)) == b''


def test_missing_files_are_reported():
    missing = TlsSettings('no.crt', 'no.key')
    assert 'no.crt' in make_server_context(missing).unwrap_err()
    assert 'no.crt' in make_client_context(missing).unwrap_err()
    assert make_client_context(None).unwrap() is None
