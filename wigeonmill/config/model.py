"""The operators' document as typed values.

The types are the one source of the document's shape: the JSON Schema for
editors is made from them.
"""

import enum

import msgspec


class ServiceKind(enum.Enum):
    """What a service's targets are."""

    MODEL = 'model'
    PLAIN = 'plain'


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One model engine or plain service process.

    `agent` is the inner address (IP:port) of the agent beside the target,
    `address` the target's own HTTP address (IP:port).
    """

    name: str
    failure_domain: str
    agent: str
    address: str
    in_service: bool = True


class CallRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of a plain service that must run at most once."""

    method: str
    path_prefix: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model service or a plain service with its targets.

    `model` names the model of a model service; `non_repeatable` lists the
    calls of a plain service that need an idempotency key. `fences_orders`
    says that the targets refuse orders with an old fencing number.
    """

    name: str
    kind: ServiceKind
    targets: list[Target]
    model: str = ''
    non_repeatable: list[CallRule] = []
    fences_orders: bool = False
    block_tokens: int = 1024
    cold_concurrency: int = 1
    max_concurrency: int = 64
    concurrent_loads: int = 2


class FailureDomain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A failure domain; out of service it receives no new work."""

    name: str
    region: str
    in_service: bool = True


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team of callers.

    `key_hashes` are lower-case hex SHA-256 digests of the team's keys; two
    are listed while a key is rotated. `weight` is its share under load.
    """

    name: str
    key_hashes: list[str]
    weight: int = 1
    max_open_requests: int = 256


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model with the weight version to serve and its adapters."""

    name: str
    version: str
    adapters: list[str] = []


class StoreVm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store VM for cache blocks at an HTTP address (IP:port)."""

    name: str
    failure_domain: str
    address: str
    in_service: bool = True


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that apply to every request."""

    max_body_bytes: int = 4 * 1024 * 1024
    max_prompt_tokens: int = 131072
    max_answer_tokens: int = 8192
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    store_link_bytes_per_second: int = 200_000_000


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration that operators submit."""

    services: list[Service]
    failure_domains: list[FailureDomain]
    teams: list[Team]
    models: list[Model] = []
    store_vms: list[StoreVm] = []
    limits: Limits = Limits()


class ConfigRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted document as stored in the key-value service.

    `serial` rises by one with each acceptance. `submission_id` is unique to
    one submission, so that a lost reply is settled by reading back.
    """

    serial: int
    submission_id: str
    author: str
    accepted_at_ms: int
    document: Document


CONFIG_KEY = 'wigeonmill/config/current'


def decode_record(data: bytes) -> ConfigRecord:
    """Decode a stored record; raises msgspec.DecodeError when malformed."""
    return msgspec.json.decode(data, type=ConfigRecord)


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record for the key-value service."""
    return msgspec.json.encode(record)
