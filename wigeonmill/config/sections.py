"""Splits a record into sections with hashes, so that only changes travel.

The set of section names is fixed. Services and teams are spread over
buckets by the hash of their name; the change of one team moves one bucket.
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

_PLAIN_SECTIONS = ('failure_domains', 'limits', 'models', 'store_vms')
_BUCKETS = {'services': SERVICE_BUCKETS, 'teams': TEAM_BUCKETS}
_TYPES: dict[str, Any] = {
    field.name: field.type for field in msgspec.structs.fields(Document)
}


@dataclass(frozen=True, slots=True)
class Section:
    """A section's name and its value as JSON."""

    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class SectionError:
    """Why sections did not make a record."""

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
        """Return the record's meta data as JSON."""
        return msgspec.json.encode(self.meta)

    def changed(self, known: Mapping[str, bytes]) -> list[Section]:
        """Return the sections whose hashes differ from `known`."""
        return [
            Section(name, self.values[name])
            for name, digest in self.hashes.items()
            if known.get(name) != digest
        ]


def normalize(document: Document) -> Document:
    """Return the document with services and teams in order of name."""
    return msgspec.structs.replace(
        document,
        services=sorted(document.services, key=lambda item: item.name),
        teams=sorted(document.teams, key=lambda item: item.name),
    )


def split_document(document: Document) -> dict[str, bytes]:
    """Return the JSON value of each section, by section name."""
    values = {
        name: msgspec.json.encode(getattr(document, name))
        for name in _PLAIN_SECTIONS
    }
    for part in _BUCKETS:
        values |= _split_buckets(part, getattr(document, part))
    return values


def section_hashes(document: Document) -> dict[str, bytes]:
    """Return the hash of each section, by section name."""
    return _hash_values(split_document(document))


def decode_meta(data: bytes) -> Result[RecordMeta, SectionError]:
    """Decode a record's meta data."""
    try:
        return Ok(msgspec.json.decode(data, type=RecordMeta))
    except msgspec.DecodeError as exc:
        return Err(SectionError(f'malformed meta data: {exc}'))


def apply_sections(
    base: SectionSet | None, meta: RecordMeta, sections: Iterable[Section]
) -> Result[ConfigRecord, SectionError]:
    """Return the record that `sections` on top of `base` make.

    An error if a section is malformed or if the outcome doesn't match the
    digest of `meta`; then the sender is to be asked for all sections.
    """
    values = dict(base.values) if base else {}
    values.update((section.name, section.value) for section in sections)
    if _digest(_hash_values(values)) != meta.digest:
        return Err(SectionError('the sections do not match the digest'))
    try:
        document = _join(values)
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


def _bucket_names(part: str) -> list[str]:
    return [f'{part}/{index:02x}' for index in range(_BUCKETS[part])]


def _split_buckets(part: str, items: list[Any]) -> dict[str, bytes]:
    names = _bucket_names(part)
    buckets: list[list[Any]] = [[] for _name in names]
    for item in sorted(items, key=lambda item: item.name):
        index = xxhash.xxh64_intdigest(item.name.encode()) % len(buckets)
        buckets[index].append(item)
    return {
        name: msgspec.json.encode(bucket)
        for name, bucket in zip(names, buckets)
    }


def _join(values: Mapping[str, bytes]) -> Document:
    fields: dict[str, Any] = {
        name: msgspec.json.decode(values[name], type=_TYPES[name])
        for name in _PLAIN_SECTIONS
    }
    for part in _BUCKETS:
        fields[part] = []
        for name in _bucket_names(part):
            bucket = msgspec.json.decode(values[name], type=_TYPES[part])
            fields[part].extend(bucket)
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
