"""Splits a record into hashed sections, so that only changes are sent.

The set of section names is fixed. Services and teams are distributed over
buckets by the hash of their name, so that a change to one team changes only
one bucket.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result
import xxhash

from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document

TEAM_BUCKETS = 64
SERVICE_BUCKETS = 16
HASH_BYTES = 16

_UNSPLIT_FIELDS = ('failure_domains', 'limits', 'models', 'store_vms')
_BUCKET_COUNTS = {'services': SERVICE_BUCKETS, 'teams': TEAM_BUCKETS}
_FIELD_TYPES: dict[str, Any] = {
    field.name: field.type for field in msgspec.structs.fields(Document)
}


@dataclass(frozen=True, slots=True)
class Section:
    """The name of a section and its value as JSON."""

    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class SectionError:
    """Why sections could not be combined into a record."""

    message: str


class RecordMeta(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A record without its document; `digest` covers all sections."""

    serial: int
    submission_id: str
    author: str
    accepted_at_ms: int
    digest: bytes


class SectionSet:
    """The sections of one record, split and hashed once."""

    __slots__ = ('meta', 'values', 'hashes')

    def __init__(self, record: ConfigRecord) -> None:
        self.values = split_document(record.document)
        self.hashes = _hash_values(self.values)
        self.meta = RecordMeta(
            record.serial,
            record.submission_id,
            record.author,
            record.accepted_at_ms,
            _digest(self.hashes),
        )

    def encode_meta(self) -> bytes:
        """Return the record's metadata as JSON."""
        return msgspec.json.encode(self.meta)

    def changed(self, known: Mapping[str, bytes]) -> list[Section]:
        """Return the sections whose hashes differ from `known`."""
        return [
            Section(name, self.values[name])
            for name, digest in self.hashes.items()
            if known.get(name) != digest
        ]


def normalize(document: Document) -> Document:
    """Return the document with its services and teams sorted by name."""
    return msgspec.structs.replace(
        document,
        services=sorted(document.services, key=lambda item: item.name),
        teams=sorted(document.teams, key=lambda item: item.name),
    )


def split_document(document: Document) -> dict[str, bytes]:
    """Return the JSON value of each section, by section name."""
    values = {
        name: msgspec.json.encode(getattr(document, name))
        for name in _UNSPLIT_FIELDS
    }
    for field_name in _BUCKET_COUNTS:
        values |= _split_buckets(field_name, getattr(document, field_name))
    return values


def section_hashes(document: Document) -> dict[str, bytes]:
    """Return the hash of each section, by section name."""
    return _hash_values(split_document(document))


def decode_meta(data: bytes) -> Result[RecordMeta, SectionError]:
    """Decode a record's metadata."""
    try:
        return Ok(msgspec.json.decode(data, type=RecordMeta))
    except msgspec.DecodeError as exc:
        return Err(SectionError(f'malformed metadata: {exc}'))


def apply_sections(
    base: SectionSet | None, meta: RecordMeta, sections: Iterable[Section]
) -> Result[ConfigRecord, SectionError]:
    """Return the record that results from applying `sections` to `base`.

    Returns an error if a section is malformed or if the result does not
    match the digest in `meta`. The caller should then request all sections
    from the sender.
    """
    values = dict(base.values) if base else {}
    values.update((section.name, section.value) for section in sections)
    if _digest(_hash_values(values)) != meta.digest:
        return Err(SectionError('the sections do not match the digest'))
    try:
        document = _join_sections(values)
    except (msgspec.DecodeError, KeyError) as exc:
        return Err(SectionError(f'malformed section: {exc}'))
    return Ok(
        ConfigRecord(
            meta.serial,
            meta.submission_id,
            meta.author,
            meta.accepted_at_ms,
            document,
        )
    )


def _bucket_names(field_name: str) -> list[str]:
    return [
        f'{field_name}/{index:02x}'
        for index in range(_BUCKET_COUNTS[field_name])
    ]


def _split_buckets(field_name: str, items: list[Any]) -> dict[str, bytes]:
    names = _bucket_names(field_name)
    buckets: list[list[Any]] = [[] for _name in names]
    for item in sorted(items, key=lambda item: item.name):
        index = xxhash.xxh64_intdigest(item.name.encode()) % len(buckets)
        buckets[index].append(item)
    return {
        name: msgspec.json.encode(bucket)
        for name, bucket in zip(names, buckets)
    }


def _join_sections(values: Mapping[str, bytes]) -> Document:
    fields: dict[str, Any] = {
        name: msgspec.json.decode(values[name], type=_FIELD_TYPES[name])
        for name in _UNSPLIT_FIELDS
    }
    for field_name in _BUCKET_COUNTS:
        fields[field_name] = []
        for name in _bucket_names(field_name):
            bucket = msgspec.json.decode(
                values[name], type=_FIELD_TYPES[field_name]
            )
            fields[field_name].extend(bucket)
    return normalize(Document(**fields))


def _hash_values(values: Mapping[str, bytes]) -> dict[str, bytes]:
    return {
        name: hashlib.blake2b(values[name], digest_size=HASH_BYTES).digest()
        for name in sorted(values)
    }


def _digest(hashes: Mapping[str, bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for name in sorted(hashes):
        digest.update(f'{name}\n'.encode())
        digest.update(hashes[name])
    return digest.digest()
