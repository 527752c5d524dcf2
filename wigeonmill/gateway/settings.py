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

Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
ByteLimit = Annotated[int, msgspec.Meta(ge=1024)]


class GatewaySettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of one gateway process.

    Addresses are IP:port. `callers` serves the requests that the balancer
    forwards, `ready` its readiness checks, `inner` the connections of other
    entries, and `metrics` counters and histograms (if empty, only `ready`
    serves them). `seeds` are inner addresses of other entries. Times are in
    ms, sizes in bytes. `policies` are those that the platform states for the
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
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
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
        settings = _apply_policies(msgspec.json.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err([SettingsFault('settings file', path, str(exc))])
    faults = _address_faults(settings)
    return Err(faults) if faults else Ok(settings)


def _apply_policies(document: Any) -> GatewaySettings:
    """Return the settings with those of the policies that are in force.

    The settings of each policy are validated, in force or not, so that a
    mistake shows before the policy does.

    Raises `msgspec.ValidationError`.
    """
    settings = msgspec.convert(document, GatewaySettings)
    for changes in settings.by_policy.values():
        msgspec.convert(document | changes, GatewaySettings)
    for policy in settings.policies:
        document = document | settings.by_policy.get(policy, {})
    return msgspec.convert(document, GatewaySettings)


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
