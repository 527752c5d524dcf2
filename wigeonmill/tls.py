"""TLS contexts built from the files named in the settings."""

import ssl

from result import Err
from result import Ok
from result import Result

from wigeonmill.settings import TlsSettings


def make_server_context(
    tls: TlsSettings | None,
) -> Result[ssl.SSLContext | None, str]:
    """Return the server's TLS context, or None without TLS.

    With `ca_file` the client has to present a certificate.
    """
    if tls is None:
        return Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if tls.ca_file:
        context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, tls)


def make_client_context(
    tls: TlsSettings | None,
) -> Result[ssl.SSLContext | None, str]:
    """Return the client's TLS context, or None without TLS.

    Processes are known by address, not by host name. The host name is
    therefore not verified; the server's certificate is verified against
    `ca_file`, or against the client's own certificate if there is none.
    """
    if tls is None:
        return Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, tls)


def _load(
    context: ssl.SSLContext, tls: TlsSettings
) -> Result[ssl.SSLContext | None, str]:
    try:
        context.load_cert_chain(tls.cert_file, tls.key_file)
        if context.verify_mode is ssl.CERT_REQUIRED:
            context.load_verify_locations(tls.ca_file or tls.cert_file)
    except (OSError, ssl.SSLError) as exc:
        return Err(f'TLS files of {tls.cert_file}: {type(exc).__name__}')
    return Ok(context)
