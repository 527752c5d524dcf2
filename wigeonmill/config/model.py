"""The types of the document that operators submit.

These types are the single source of the document's structure; the JSON Schema
for editors is generated from them. Fields at their default are omitted when a
value is encoded, so that a field added later does not affect older processes
until it is used. A default must never change.
"""

import enum
from typing import Annotated
import zlib

import msgspec
from msgspec import Meta

# Matches only at the end; Python's `$` also matches before a final newline.
_END = r'(?![\s\S])'

Name = Annotated[
    str,
    Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}' + _END,
        description='1 to 63 letters, digits or . _ - (not first).',
    ),
]
ModelName = Annotated[
    str,
    Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}' + _END,
        description='1 to 127 letters, digits or . _ : / - (not first).',
    ),
]
Address = Annotated[
    str,
    Meta(max_length=64, description='IP:port; IPv6 in square brackets.'),
]
InService = Annotated[
    bool, Meta(description='If false, new work stops within seconds.')
]


class _Item(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base class of all items of a document."""


class ServiceKind(enum.Enum):
    """The kind of a service's targets."""

    MODEL = 'model'
    PLAIN = 'plain'


class Target(_Item, frozen=True):
    """A model engine or a process of a plain service.

    `agent` is the inner address (IP:port) of the agent beside the target,
    and `address` is the HTTP address (IP:port) of the target itself.
    """

    name: Name
    failure_domain: Name
    agent: Address
    address: Address
    in_service: InService = True


class CallRule(_Item, frozen=True):
    """Calls of a plain service that must run at most once."""

    method: Annotated[
        str,
        Meta(
            pattern=r'^[A-Z]{1,16}' + _END,
            description='HTTP method in upper case.',
        ),
    ]
    path_prefix: Annotated[
        str,
        Meta(
            pattern=r'^/[!-~]{0,255}' + _END,
            description='Path within the service, with a leading slash.',
        ),
    ]


class Service(_Item, frozen=True):
    """A model service or a plain service with its targets.

    `model` is the model of a model service. `non_repeatable` lists the calls
    of a plain service that need an idempotency key. `fences_orders` says that
    the targets refuse orders with an outdated fencing token.
    """

    name: Name
    kind: ServiceKind
    targets: list[Target]
    model: Annotated[
        str, Meta(description='Model of a model service, else empty.')
    ] = ''
    non_repeatable: Annotated[
        list[CallRule],
        Meta(description='Calls of a plain service that run at most once.'),
    ] = []
    fences_orders: Annotated[
        bool,
        Meta(description='Targets refuse outdated fencing tokens.'),
    ] = False
    block_tokens: Annotated[
        int, Meta(ge=16, le=65536, description='Tokens in a cache block.')
    ] = 1024
    cold_concurrency: Annotated[
        int,
        Meta(ge=1, le=4096, description='Concurrent runs of a cold target.'),
    ] = 1
    max_concurrency: Annotated[
        int,
        Meta(ge=1, le=4096, description='Concurrent runs of a warm target.'),
    ] = 64
    concurrent_loads: Annotated[
        int,
        Meta(
            ge=1,
            le=1024,
            description='Targets that may load weights at the same time.',
        ),
    ] = 2


class FailureDomain(_Item, frozen=True):
    """A failure domain; it receives no new work while out of service."""

    name: Name
    region: Name
    in_service: InService = True


class Team(_Item, frozen=True):
    """A team of callers.

    `key_hashes` are lower-case hex SHA-256 digests of the team's keys; two
    are listed while a key is rotated. `weight` is the team's share under
    load.
    """

    name: Name
    key_hashes: Annotated[
        list[str],
        Meta(description='SHA-256 of each key, 64 lower-case hex digits.'),
    ]
    weight: Annotated[
        int, Meta(ge=1, le=1000, description='Share of a target under load.')
    ] = 1
    max_open_requests: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description='Maximum open requests in each entry process.',
        ),
    ] = 256


class Model(_Item, frozen=True):
    """A model with its adapters and the weight version to serve."""

    name: ModelName
    version: ModelName
    adapters: Annotated[
        list[ModelName], Meta(description='Adapters to serve.')
    ] = []


class StoreVm(_Item, frozen=True):
    """A store VM for cache blocks at an HTTP address (IP:port)."""

    name: Name
    failure_domain: Name
    address: Address
    in_service: InService = True


class Limits(_Item, frozen=True):
    """Limits that apply to every request."""

    max_body_bytes: Annotated[
        int,
        Meta(
            ge=1024,
            le=64 * 1024 * 1024,
            description='Maximum size of a request body in bytes.',
        ),
    ] = 4 * 1024 * 1024
    max_prompt_tokens: Annotated[
        int,
        Meta(ge=1, le=10_000_000, description='Maximum tokens of a prompt.'),
    ] = 131072
    max_answer_tokens: Annotated[
        int,
        Meta(ge=1, le=1_000_000, description='Maximum tokens of an answer.'),
    ] = 8192
    default_deadline_ms: Annotated[
        int,
        Meta(
            ge=1,
            le=86_400_000,
            description='Deadline (ms) of a request that sets none.',
        ),
    ] = 60_000
    max_deadline_ms: Annotated[
        int,
        Meta(
            ge=1,
            le=86_400_000,
            description='Maximum deadline (ms) of a request.',
        ),
    ] = 600_000
    store_link_bytes_per_second: Annotated[
        int,
        Meta(
            ge=1,
            le=10**12,
            description='Bytes per second of the link to the store VMs.',
        ),
    ] = 200_000_000


class Document(_Item, frozen=True):
    """The whole configuration that operators submit."""

    services: list[Service]
    failure_domains: list[FailureDomain]
    teams: list[Team]
    models: list[Model] = []
    store_vms: list[StoreVm] = []
    limits: Limits = Limits()


class ConfigRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted document as stored in the key-value service.

    `serial` increases with each acceptance, by one unless the operator sets
    a floor. `submission_id` is unique to a submission, so that after a lost
    reply the outcome can be determined by reading the record back.
    """

    serial: int
    submission_id: str
    author: str
    accepted_at_ms: int
    document: Document


CONFIG_KEY = 'wigeonmill/config/current'

# The largest size of a stored record after decompression.
MAX_RECORD_BYTES = 16 * 1024 * 1024
_JSON_START = b'{'


def decode_record(data: bytes) -> ConfigRecord:
    """Decode a stored record; raises msgspec.DecodeError when malformed."""
    text = data if data.startswith(_JSON_START) else _decompress(data)
    return msgspec.json.decode(text, type=ConfigRecord)


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record for the key-value service (zlib over JSON)."""
    return zlib.compress(msgspec.json.encode(record))


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f'record is not zlib data: {exc}') from exc
    if not decompressor.eof:
        raise msgspec.DecodeError('record is truncated or too large')
    return text
