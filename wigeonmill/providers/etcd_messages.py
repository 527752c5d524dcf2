"""The messages of etcd's v3 JSON gateway.

Keys and values are base64 strings and 64-bit integers are decimal strings.
The gateway omits fields that have their default value.
"""

import base64

import msgspec


class Header(msgspec.Struct, omit_defaults=True):
    """The header of each reply."""

    revision: str = '0'


class KeyValuePair(msgspec.Struct, omit_defaults=True):
    """A stored key."""

    key: str = ''
    value: str = ''
    mod_revision: str = '0'
    lease: str = '0'


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Reads `key`, or the keys from `key` up to but excluding `range_end`."""

    key: str
    range_end: str = ''
    limit: str = '0'


class RangeReply(msgspec.Struct, omit_defaults=True):
    """The keys that were read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValuePair] = []
    more: bool = False
    count: str = '0'


class Compare(msgspec.Struct):
    """A condition on a key's modification revision."""

    key: str
    mod_revision: str = '0'
    target: str = 'MOD'
    result: str = 'EQUAL'


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Writes a key."""

    key: str
    value: str = ''
    lease: str = '0'


class DeleteRequest(msgspec.Struct):
    """Deletes a key."""

    key: str


class Operation(msgspec.Struct, omit_defaults=True):
    """One operation of a transaction."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(msgspec.Struct, omit_defaults=True):
    """Runs `success` if all conditions hold, else `failure`."""

    compare: list[Compare]
    success: list[Operation]
    failure: list[Operation] = []


class TxnReply(msgspec.Struct, omit_defaults=True):
    """The reply to a transaction; `succeeded` if the conditions held."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct):
    """Asks for a lease of `TTL` seconds."""

    TTL: str
    ID: str = '0'


class LeaseRequest(msgspec.Struct):
    """Identifies the lease to renew or revoke."""

    ID: str


class LeaseReply(msgspec.Struct, omit_defaults=True):
    """A lease with its TTL in seconds; 0 if it has expired."""

    header: Header = msgspec.field(default_factory=Header)
    ID: str = '0'
    TTL: str = '0'


class LeaseStreamReply(msgspec.Struct):
    """One message of a keep-alive stream."""

    result: LeaseReply


class WatchCreate(msgspec.Struct, omit_defaults=True):
    """Opens a watch on a range of keys."""

    key: str
    range_end: str = ''
    start_revision: str = '0'


class WatchRequest(msgspec.Struct):
    """The only request sent on a watch stream."""

    create_request: WatchCreate


class WatchEvent(msgspec.Struct, omit_defaults=True):
    """A change of one key; `type` is PUT or DELETE."""

    kv: KeyValuePair
    type: str = 'PUT'


class WatchReply(msgspec.Struct, omit_defaults=True):
    """A message of a watch stream."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: str = '0'
    events: list[WatchEvent] = []


class WatchStreamReply(msgspec.Struct):
    """One line of a watch stream."""

    result: WatchReply


class GatewayError(msgspec.Struct):
    """The body of an error reply; `code` is the gRPC status code."""

    error: str
    code: int
    message: str


def encode_key(key: str) -> str:
    """Return the wire form of a key."""
    return base64.b64encode(key.encode('utf-8')).decode()


def decode_key(encoded: str) -> str:
    """Return the key with this wire form."""
    return base64.b64decode(encoded).decode('utf-8')


def range_key(prefix: str) -> str:
    """Return the wire form of the first key of a prefix's range."""
    return encode_key(prefix or '\0')


def prefix_end(encoded: str) -> str:
    """Return the wire form of the exclusive end of a prefix's range."""
    prefix = base64.b64decode(encoded)
    if prefix == b'\0':
        return base64.b64encode(b'\0').decode()
    while prefix and prefix[-1] == 0xFF:
        prefix = prefix[:-1]
    if not prefix:
        return base64.b64encode(b'\0').decode()
    end = prefix[:-1] + bytes([prefix[-1] + 1])
    return base64.b64encode(end).decode()
