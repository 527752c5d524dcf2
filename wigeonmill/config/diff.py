"""Computes the changes between two documents."""

from collections.abc import Iterator
from dataclasses import dataclass
import enum
import json
from typing import Any

import msgspec

from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.model import Document

_SECTIONS = ('services', 'failure_domains', 'teams', 'models', 'store_vms')
_SECTION_NOUNS = {
    'services': 'service',
    'failure_domains': 'failure domain',
    'teams': 'team',
    'models': 'model',
    'store_vms': 'store VM',
    'targets': 'target',
}
_SHOWN_HASH_CHARS = 8


class ChangeKind(enum.Enum):
    """What happened to an item of a document."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class Change:
    """One change; `before` and `after` are JSON texts, empty if absent.

    `item` names what changed, such as 'service assistant, target engine-1';
    `field` is empty when the whole item was added or removed.
    """

    kind: ChangeKind
    item: str
    field: str = ''
    before: str = ''
    after: str = ''

    def line(self) -> str:
        """Return the change as one human-readable line."""
        if self.kind is ChangeKind.ADDED:
            return f'+ {self.item}'
        if self.kind is ChangeKind.REMOVED:
            return f'- {self.item}'
        if self.field == 'in_service':
            state = (
                'into service' if self.after == 'true' else 'out of service'
            )
            return f'~ {self.item}: {state}'
        return f'~ {self.item}: {self.field} {self.before} -> {self.after}'


def diff_documents(old: Document, new: Document) -> list[Change]:
    """Return the changes from `old` to `new`, ignoring the order of items."""
    changes: list[Change] = []
    for section in _SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        changes += _diff_items('', section, before, after)
    changes += _diff_fields('limits', old.limits, new.limits)
    return changes


def _diff_items(
    parent: str, section: str, before: list[Any], after: list[Any]
) -> Iterator[Change]:
    if before == after:
        return
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in sorted(old.keys() | new.keys()):
        label = f'{parent}{_SECTION_NOUNS[section]} {name}'
        if name not in new:
            yield Change(ChangeKind.REMOVED, label)
        elif name not in old:
            yield Change(ChangeKind.ADDED, label)
        else:
            yield from _diff_fields(label, old[name], new[name])


def _diff_fields(
    label: str, old: msgspec.Struct, new: msgspec.Struct
) -> Iterator[Change]:
    for name in old.__struct_fields__:
        before = getattr(old, name)
        after = getattr(new, name)
        if before == after:
            continue
        if name == 'targets':
            yield from _diff_items(f'{label}, ', name, before, after)
            continue
        yield Change(
            ChangeKind.CHANGED,
            label,
            name,
            _format_value(name, before),
            _format_value(name, after),
        )


def _format_value(field: str, value: Any) -> str:
    if field == 'key_hashes':
        value = [key_hash[:_SHOWN_HASH_CHARS] for key_hash in value]
    return json.dumps(to_full_builtins(value))
