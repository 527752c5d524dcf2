"""Settings of the `wigeonmill` command with all their defaults."""

import os
import pathlib
from typing import Annotated

import jsonschema
import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.addresses import is_address
from wigeonmill.settings import TlsSettings

SETTINGS_VARIABLE = 'WIGEONMILL_SETTINGS'
MAX_AUTHOR_CHARS = 64


class ConsoleSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where the console listens and who may use it.

    `operator_key_hash_file` contains the lower-case hex SHA-256 of the
    operators' key; `tls` is for access from other machines.
    """

    http: str = '127.0.0.1:8090'
    operator_key_hash_file: str = ''
    tls: TlsSettings | None = None


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One operator's settings; addresses are IP:port.

    `processes` are inner addresses that `status` queries in addition to the
    agents in the document.
    """

    key_value: list[str] = msgspec.field(
        default_factory=lambda: ['127.0.0.1:2379']
    )
    key_value_timeout_ms: Annotated[int, msgspec.Meta(ge=1)] = 2_000
    inner_key_file: str = ''
    inner_tls: TlsSettings | None = None
    processes: list[str] = []
    author: str = ''
    console: ConsoleSettings = msgspec.field(default_factory=ConsoleSettings)


def load_operator_settings(path: str) -> Result[OperatorSettings, list[str]]:
    """Read the settings file; without a path, return the defaults.

    Each fault is one line with the key and the correction.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        return Ok(OperatorSettings())
    try:
        raw = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except OSError as exc:
        return Err([f'{path}: {exc.strerror}'])
    except msgspec.DecodeError as exc:
        return Err([f'{path}: {exc}'])
    faults = _schema_faults(raw)
    if faults:
        return Err(faults)
    return check_settings(msgspec.convert(raw, OperatorSettings))


def check_settings(
    settings: OperatorSettings,
) -> Result[OperatorSettings, list[str]]:
    """Check the values that may also come from the command line."""
    addresses = [
        *(('key_value', address) for address in settings.key_value),
        *(('processes', address) for address in settings.processes),
        ('console.http', settings.console.http),
    ]
    faults = [
        f'{key}: {address!r} is not an IP:port address such as 10.1.2.3:2379'
        for key, address in addresses
        if not is_address(address)
    ]
    author = settings.author
    if len(author) > MAX_AUTHOR_CHARS or not author.isprintable():
        faults.append(
            f'author: write up to {MAX_AUTHOR_CHARS} printable characters'
        )
    return Err(faults) if faults else Ok(settings)


def _schema_faults(raw: object) -> list[str]:
    schema = msgspec.json.schema(OperatorSettings)
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(raw), key=lambda e: e.json_path)
    return [f'{error.json_path}: {error.message}' for error in errors]
