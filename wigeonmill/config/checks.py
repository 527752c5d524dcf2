"""Validates a document across its sections."""

from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress
import re

from wigeonmill.config.faults import Fault
from wigeonmill.config.faults import make_pointer
from wigeonmill.config.faults import show_value
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import encode_record
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target

# The largest value that the key-value service accepts.
MAX_VALUE_BYTES = 1 << 20
# Above this share of MAX_VALUE_BYTES a document needs force.
MAX_UNFORCED_SHARE = 0.9

_KEY_HASH = re.compile(r'[0-9a-f]{64}')


def check_document(document: Document) -> list[Fault]:
    """Return the faults that the validation of the structure cannot find."""
    faults = [
        *_check_names(document),
        *_check_services(document),
        *_check_targets(document),
        *_check_store_vms(document),
        *_check_models(document),
        *_check_key_hashes(document),
        *_check_deadlines(document),
    ]
    return sorted(faults, key=lambda fault: fault.pointer)


def check_size(record: ConfigRecord) -> list[Fault]:
    """Return a fault if the stored record is near or above the limit."""
    size = len(encode_record(record))
    if size <= MAX_VALUE_BYTES * MAX_UNFORCED_SHARE:
        return []
    percent = size * 100 / MAX_VALUE_BYTES
    problem = f'the stored record takes {percent:.0f} % of the value limit'
    value = f'{size} of {MAX_VALUE_BYTES} bytes'
    remedy = 'Remove teams, key hashes or targets that are not used'
    return [Fault('', value, problem, remedy, size <= MAX_VALUE_BYTES)]


def in_service_targets(document: Document, service: Service) -> list[Target]:
    """Return the targets that are in service and whose domains are too."""
    domains = {d.name for d in document.failure_domains if d.in_service}
    return [
        target
        for target in service.targets
        if target.in_service and target.failure_domain in domains
    ]


def split_address(address: str) -> tuple[str, int] | None:
    """Return IP and port of 'IP:port' or '[IPv6]:port', None if malformed."""
    host, _colon, port = address.rpartition(':')
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6):
        return None
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return None
    if not 0 < int(port) < 65536:
        return None
    return str(ip), int(port)


def _check_names(document: Document) -> Iterator[Fault]:
    yield from _check_unique_names(
        'services', (s.name for s in document.services)
    )
    yield from _check_unique_names(
        'failure_domains', (d.name for d in document.failure_domains)
    )
    yield from _check_unique_names('teams', (t.name for t in document.teams))
    yield from _check_unique_names('models', (m.name for m in document.models))
    yield from _check_unique_names(
        'store_vms', (v.name for v in document.store_vms)
    )


def _check_unique_names(section: str, names: Iterable[str]) -> Iterator[Fault]:
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        first = seen.setdefault(name, index)
        if first != index:
            pointer = make_pointer(section, index, 'name')
            problem = f'the name is also at /{section}/{first}'
            yield _make_fault(pointer, name, problem, 'Write another name')


def _check_services(document: Document) -> Iterator[Fault]:
    models = {model.name for model in document.models}
    for index, service in enumerate(document.services):
        parent = make_pointer('services', index)
        if service.kind is ServiceKind.MODEL:
            yield from _check_model_service(parent, service, models)
        elif service.model:
            problem = 'a plain service has no model'
            remedy = 'Remove it or write the kind "model"'
            yield _make_fault(
                f'{parent}/model', service.model, problem, remedy
            )
        if service.cold_concurrency > service.max_concurrency:
            pointer = f'{parent}/cold_concurrency'
            remedy = f'Write at most {service.max_concurrency}'
            problem = 'larger than max_concurrency'
            yield _make_fault(
                pointer, service.cold_concurrency, problem, remedy
            )
        if not in_service_targets(document, service):
            problem = f'service {service.name} has no target in service'
            remedy = 'Put a target and its failure domain into service'
            yield Fault(f'{parent}/targets', '', problem, remedy)


def _check_model_service(
    parent: str, service: Service, models: set[str]
) -> Iterator[Fault]:
    if service.model not in models:
        remedy = _suggest_names('Add it to models', models)
        pointer = f'{parent}/model'
        yield _make_fault(pointer, service.model, 'unknown model', remedy)
    if service.non_repeatable:
        problem = 'a model service has no such calls'
        remedy = 'Remove them or write the kind "plain"'
        yield Fault(f'{parent}/non_repeatable', '', problem, remedy)


def _check_targets(document: Document) -> Iterator[Fault]:
    domains = {domain.name for domain in document.failure_domains}
    seen: dict[tuple[str, object], str] = {}
    for s_index, service in enumerate(document.services):
        for t_index, target in enumerate(service.targets):
            parent = make_pointer('services', s_index, 'targets', t_index)
            yield from _check_domain(parent, target.failure_domain, domains)
            yield from _check_unique(
                seen, 'name', f'{parent}/name', target.name
            )
            for field in ('agent', 'address'):
                address = getattr(target, field)
                pointer = f'{parent}/{field}'
                yield from _check_address(seen, pointer, address)


def _check_store_vms(document: Document) -> Iterator[Fault]:
    domains = {domain.name for domain in document.failure_domains}
    seen: dict[tuple[str, object], str] = {}
    for index, store_vm in enumerate(document.store_vms):
        parent = make_pointer('store_vms', index)
        yield from _check_domain(parent, store_vm.failure_domain, domains)
        pointer = f'{parent}/address'
        yield from _check_address(seen, pointer, store_vm.address)


def _check_domain(
    parent: str, name: str, domains: set[str]
) -> Iterator[Fault]:
    if name not in domains:
        pointer = f'{parent}/failure_domain'
        remedy = _suggest_names('Add it to failure_domains', domains)
        yield _make_fault(pointer, name, 'unknown failure domain', remedy)


def _check_address(
    seen: dict[tuple[str, object], str], pointer: str, address: str
) -> Iterator[Fault]:
    parsed = split_address(address)
    if parsed is None:
        remedy = 'Write IP:port such as 10.1.2.3:7100 or [fd00::1]:7100'
        yield _make_fault(
            pointer, address, 'not an IP address and port', remedy
        )
        return
    yield from _check_unique(seen, 'address', pointer, address, parsed)


def _check_unique(
    seen: dict[tuple[str, object], str],
    kind: str,
    pointer: str,
    value: str,
    key: object = None,
) -> Iterator[Fault]:
    first = seen.setdefault((kind, key or value), pointer)
    if first != pointer:
        problem = f'the {kind} is also at {first}'
        yield _make_fault(pointer, value, problem, f'Write another {kind}')


def _check_models(document: Document) -> Iterator[Fault]:
    for index, model in enumerate(document.models):
        seen: set[str] = set()
        for a_index, adapter in enumerate(model.adapters):
            if adapter in seen:
                pointer = make_pointer('models', index, 'adapters', a_index)
                yield _make_fault(pointer, adapter, 'listed twice', 'Keep one')
            seen.add(adapter)


def _check_key_hashes(document: Document) -> Iterator[Fault]:
    seen: dict[str, str] = {}
    for index, team in enumerate(document.teams):
        for h_index, key_hash in enumerate(team.key_hashes):
            pointer = make_pointer('teams', index, 'key_hashes', h_index)
            if not _KEY_HASH.fullmatch(key_hash):
                problem = f'not a key hash ({len(key_hash)} characters)'
                remedy = 'Write the SHA-256 of the key, 64 lower-case hex'
                yield Fault(pointer, '', problem, remedy)
                continue
            first_team = seen.setdefault(key_hash, team.name)
            if first_team != team.name:
                problem = f'team {first_team} has the same key'
                remedy = 'Give each team a key of its own'
                yield Fault(pointer, '', problem, remedy)


def _check_deadlines(document: Document) -> Iterator[Fault]:
    limits = document.limits
    if limits.default_deadline_ms > limits.max_deadline_ms:
        pointer = '/limits/default_deadline_ms'
        remedy = f'Write at most {limits.max_deadline_ms}'
        problem = 'larger than max_deadline_ms'
        yield _make_fault(pointer, limits.default_deadline_ms, problem, remedy)


def _suggest_names(remedy: str, names: set[str]) -> str:
    if not names:
        return remedy
    return f'{remedy} or write one of {", ".join(sorted(names)[:10])}'


def _make_fault(
    pointer: str, value: object, problem: str, remedy: str
) -> Fault:
    return Fault(pointer, show_value(pointer, value), problem, remedy)
