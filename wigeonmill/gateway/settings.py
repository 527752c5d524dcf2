"""Settings of a gateway process: defaults, loading and validation."""

from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.addresses import is_address
from wigeonmill.settings_fault import SettingsFault

# A hundred years, which also keeps the sums of times finite.
MAX_MS = 100.0 * 366 * 86_400_000
# More MB or descriptors than any machine has.
MAX_COUNT = 1e12
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_MS)]
ByteLimit = Annotated[int, msgspec.Meta(ge=1024)]


class GatewaySettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of one gateway process.

    Addresses are IP:port. `callers` serves the requests that the balancer
    forwards, `ready` its readiness checks, `inner` the connections of other
    entries, and `metrics` counters and histograms (if empty, only `ready`
    serves them). `seeds` are inner addresses of other entries. Times are in
    ms, sizes in bytes; a key that ends in `_s` in place of `_ms` states a time
    in seconds. `policies` are those that the platform states for the
    deployment; the settings that `by_policy` names for one of them replace
    the others.
    """

    process: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    callers: str
    ready: str
    inner: str
    metrics: str = ''
    seeds: list[str] = []
    key_value: str
    key_value_ttl_min_ms: Milliseconds = 1_000.0
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    expected_entries: Annotated[int, msgspec.Meta(ge=1)] = 4
    idle_ms: Milliseconds = 15_000.0
    grace_ms: Milliseconds = 8_000.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    retry_window_ms: Milliseconds = 10_000.0
    extra_work_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    extra_work_window_ms: Milliseconds = 10_000.0
    lease_ms: Milliseconds = 3_000.0
    weights_deadline_ms: Milliseconds = 15_000.0
    max_closed_ms: Milliseconds = 86_400_000.0
    max_answer_bytes: ByteLimit = 4_194_304
    max_event_bytes: ByteLimit = 262_144
    max_unsent_bytes: ByteLimit = 1_048_576
    max_held_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_reply_bytes: ByteLimit = 8_388_608
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)] = 0.0
    max_descriptors: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)] = 0.0
    contact_ms: Milliseconds = 3_000.0
    domain_transfer_cost: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    fair_admission: bool = False
    fair_admission_pace: bool = False
    shares_by_demand: bool = False
    hold_at_start: bool = False
    restart_order_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_bounds: bool = False
    rollout_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    rollout_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    rollback_ms: Milliseconds = 5_000.0
    log_level: str = 'INFO'
    policies: list[str] = []
    by_policy: dict[str, dict[str, Any]] = {}


def load_gateway_settings(
    path: str,
) -> Result[GatewaySettings, list[SettingsFault]]:
    """Load and validate the settings file at `path`."""
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        advice = f'name a readable file ({exc.strerror})'
        return Err([SettingsFault('settings file', path, advice)])
    try:
        document = msgspec.json.decode(data)
        faults = _seconds_faults(document)
        if faults:
            return Err(faults)
        settings = _apply_policies(document)
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        UnicodeDecodeError,
        RecursionError,
    ) as exc:
        return Err([SettingsFault('settings file', path, str(exc))])
    faults = _address_faults(settings)
    return Err(faults) if faults else Ok(settings)


def _apply_policies(document: Any) -> GatewaySettings:
    """Return the settings with those of the policies that are in force.

    The settings of each policy are validated, in force or not, so that a
    mistake shows before the policy does.

    Raises `msgspec.ValidationError`.
    """
    document = _in_milliseconds(document)
    settings = msgspec.convert(document, GatewaySettings)
    by_policy = {
        policy: _in_milliseconds(changes)
        for policy, changes in settings.by_policy.items()
    }
    for changes in by_policy.values():
        msgspec.convert(document | changes, GatewaySettings)
    for policy in settings.policies:
        document = document | by_policy.get(policy, {})
    return msgspec.convert(document, GatewaySettings)


def _milliseconds_key(key: str) -> str | None:
    """Return the setting that a key states in seconds, if it is one."""
    name = key.removesuffix('_s') + '_ms'
    is_seconds = (
        key.endswith('_s') and name in GatewaySettings.__struct_fields__
    )
    return name if is_seconds else None


def _in_milliseconds(document: Any) -> Any:
    """Return the settings with all times in ms."""
    if not isinstance(document, dict):
        return document
    found = {}
    for key, value in document.items():
        name = _milliseconds_key(key)
        found[name or key] = value * 1_000.0 if name else value
    return found


def _seconds_faults(document: Any, path: str = '') -> list[SettingsFault]:
    """Return what is wrong with the times that are stated in seconds."""
    faults: list[SettingsFault] = []
    if not isinstance(document, dict):
        return faults
    for key, value in document.items():
        name = _milliseconds_key(key)
        if name is None:
            continue
        if name in document:
            advice = f'name this time once, not as {name} too'
            faults.append(SettingsFault(path + key, repr(value), advice))
        elif (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not 0 < value <= MAX_MS / 1_000.0
        ):
            advice = 'write a number of seconds above 0'
            faults.append(SettingsFault(path + key, repr(value), advice))
    by_policy = document.get('by_policy')
    if isinstance(by_policy, dict):
        for policy, changes in by_policy.items():
            faults += _seconds_faults(changes, f'by_policy.{policy}.')
    return faults


def _address_faults(settings: GatewaySettings) -> list[SettingsFault]:
    named = [
        ('callers', settings.callers),
        ('ready', settings.ready),
        ('inner', settings.inner),
        ('key_value', settings.key_value),
        *((('metrics', settings.metrics),) if settings.metrics else ()),
        *(('seeds', seed) for seed in settings.seeds),
    ]
    advice = 'write an IP address and a port, such as 127.0.0.1:7100'
    return [
        SettingsFault(key, repr(address), advice)
        for key, address in named
        if not is_address(address)
    ]
