"""The daemon's settings with all their defaults, and their validation."""

from pathlib import Path
from typing import Annotated
from typing import Literal

import jsonschema
import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.addresses import is_address
from wigeonmill.settings_fault import SettingsFault

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1)]


class TlsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Files of one TLS identity.

    With `ca_file` the peer has to present a certificate issued by that CA.
    """

    cert_file: str
    key_file: str
    ca_file: str = ''


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the entry role: HTTP address for callers and limits.

    `candidates` is the number of agents that are asked for an offer. Times are
    in milliseconds.
    """

    http: str = '127.0.0.1:8080'
    candidates: Annotated[int, msgspec.Meta(ge=1, le=8)] = 3
    offer_timeout_ms: Milliseconds = 250
    leave_grace_ms: Annotated[int, msgspec.Meta(ge=0)] = 1_500
    max_open_requests: Annotated[int, msgspec.Meta(ge=1)] = 4096
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 32768
    body_timeout_ms: Milliseconds = 20_000
    idle_timeout_ms: Milliseconds = 75_000
    tls: TlsSettings | None = None


class AgentSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the agent role: its target and how long answers are kept.

    `detached_run_ms` is how long a run continues after its entry is gone.
    `block_bytes` is the initial estimate of a cache block's size in the store.
    """

    target: str = ''
    detached_run_ms: Milliseconds = 15_000
    answer_kept_ms: Milliseconds = 60_000
    health_interval_ms: Milliseconds = 250
    block_bytes: Annotated[int, msgspec.Meta(ge=1)] = 131_072


class EmbeddedSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the embedded role, which runs a document in one process."""

    document: str = 'examples/isoko.json'
    engine_speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one wigeonmill process.

    Addresses are IP:port. `inner_advertised` is the address at which peers
    reach `inner`, if the two differ. `peers` are the inner addresses used to
    join, and to fetch a configuration while the key-value service is down.
    """

    process: str
    roles: list[Literal['entry', 'agent', 'embedded']]
    failure_domain: str = ''
    region: str = ''
    inner: str = '127.0.0.1:7100'
    inner_advertised: str = ''
    inner_key_file: str = ''
    inner_tls: TlsSettings | None = None
    key_value: list[str] = msgspec.field(
        default_factory=lambda: ['127.0.0.1:2379']
    )
    key_value_timeout_ms: Milliseconds = 1_000
    vm_list: str = ''
    monitoring: str = ''
    peers: list[str] = []
    drain_timeout_ms: Milliseconds = 120_000
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    entry: EntrySettings = msgspec.field(default_factory=EntrySettings)
    agent: AgentSettings = msgspec.field(default_factory=AgentSettings)
    embedded: EmbeddedSettings = msgspec.field(
        default_factory=EmbeddedSettings
    )


def load_settings(path: str) -> Result[Settings, list[SettingsFault]]:
    """Read and validate the settings file at `path`."""
    raw = read_settings(path)
    if raw.is_err():
        return Err([raw.unwrap_err()])
    return check_settings(raw.unwrap())


def read_settings(path: str) -> Result[object, SettingsFault]:
    """Return the JSON value in the file."""
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        advice = f'name a readable file ({exc.strerror})'
        return Err(SettingsFault('settings file', path, advice))
    try:
        return Ok(msgspec.json.decode(data))
    except msgspec.DecodeError as exc:
        advice = f'write valid JSON ({exc})'
        return Err(SettingsFault('settings file', path, advice))


def check_settings(raw: object) -> Result[Settings, list[SettingsFault]]:
    """Return typed settings, or all faults."""
    schema = msgspec.json.schema(Settings)
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(raw), key=lambda e: e.json_path)
    if errors:
        return Err([_schema_fault(error) for error in errors])
    settings = msgspec.convert(raw, Settings)
    faults = _address_faults(settings) + _role_faults(settings)
    if faults:
        return Err(faults)
    return Ok(settings)


def _schema_fault(error: jsonschema.ValidationError) -> SettingsFault:
    key = error.json_path.removeprefix('$').removeprefix('.') or 'settings'
    value = repr(error.instance)[:80]
    if error.validator == 'additionalProperties':
        known = ', '.join(sorted(error.schema.get('properties', {})))
        return SettingsFault(key, value, f'{error.message}; known: {known}')
    if error.validator == 'enum':
        known = ', '.join(map(str, error.validator_value))
        return SettingsFault(key, value, f'write one of {known}')
    if error.validator == 'type':
        return SettingsFault(key, value, f'write a {error.validator_value}')
    return SettingsFault(key, value, error.message)


def _address_faults(settings: Settings) -> list[SettingsFault]:
    addresses = [
        ('inner', settings.inner),
        ('entry.http', settings.entry.http),
    ]
    addresses += [('key_value', address) for address in settings.key_value]
    addresses += [('peers', address) for address in settings.peers]
    if settings.inner_advertised:
        addresses.append(('inner_advertised', settings.inner_advertised))
    if settings.vm_list:
        addresses.append(('vm_list', settings.vm_list))
    if settings.monitoring:
        addresses.append(('monitoring', settings.monitoring))
    advice = 'write an IP address and a port, such as 127.0.0.1:7100'
    return [
        SettingsFault(key, repr(address), advice)
        for key, address in addresses
        if not is_address(address)
    ]


def _role_faults(settings: Settings) -> list[SettingsFault]:
    faults = []
    if not settings.roles:
        advice = "write at least one of 'entry', 'agent', 'embedded'"
        faults.append(SettingsFault('roles', '[]', advice))
    if not settings.process:
        advice = 'write a name that is unique among the processes'
        faults.append(SettingsFault('process', "''", advice))
    if 'agent' in settings.roles and not settings.agent.target:
        advice = "write the target's name in the configuration document"
        faults.append(SettingsFault('agent.target', "''", advice))
    if 'embedded' in settings.roles and len(settings.roles) > 1:
        advice = "write only ['embedded']; it includes the other roles"
        faults.append(SettingsFault('roles', repr(settings.roles), advice))
    if 'embedded' not in settings.roles and not settings.inner_key_file:
        advice = 'name a file that contains the shared inner key'
        faults.append(SettingsFault('inner_key_file', "''", advice))
    return faults
