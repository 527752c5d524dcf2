"""Three-way merge of two operators' changes to a document."""

from dataclasses import dataclass
import json
from typing import Any

import msgspec

from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.model import Document

_SECTIONS = ('services', 'failure_domains', 'teams', 'models', 'store_vms')


@dataclass(frozen=True, slots=True)
class MergeConflict:
    """A place that both operators have changed in different ways.

    `mine` and `theirs` are JSON texts, empty if the item was removed.
    """

    place: str
    mine: str
    theirs: str


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged document; it has the value of `mine` in each conflict."""

    document: Document
    merge_conflicts: list[MergeConflict]


def merge_documents(
    base: Document, mine: Document, theirs: Document
) -> Merged:
    """Apply the changes between `base` and `mine` to `theirs`."""
    merge_conflicts: list[MergeConflict] = []
    fields: dict[str, Any] = {}
    for section in _SECTIONS:
        fields[section] = _merge_items(
            section,
            getattr(base, section),
            getattr(mine, section),
            getattr(theirs, section),
            merge_conflicts,
        )
    fields['limits'] = _merge_fields(
        'limits', base.limits, mine.limits, theirs.limits, merge_conflicts
    )
    return Merged(Document(**fields), merge_conflicts)


def _merge_items(
    place: str,
    base: list[Any],
    mine: list[Any],
    theirs: list[Any],
    merge_conflicts: list[MergeConflict],
) -> list[Any]:
    base_items = {item.name: item for item in base}
    my_items = {item.name: item for item in mine}
    their_items = {item.name: item for item in theirs}
    merged = []
    # The items are in the order of `theirs`, followed by those that only
    # `mine` has.
    for name in dict.fromkeys([*their_items, *my_items]):
        item = _merge_item(
            f'{place}/{name}',
            base_items.get(name),
            my_items.get(name),
            their_items.get(name),
            merge_conflicts,
        )
        if item is not None:
            merged.append(item)
    return merged


def _merge_item(
    place: str,
    base: Any,
    mine: Any,
    theirs: Any,
    merge_conflicts: list[MergeConflict],
) -> Any:
    if mine == base:
        return theirs
    if theirs in (base, mine):
        return mine
    if base is None or mine is None or theirs is None:
        merge_conflicts.append(
            MergeConflict(place, _format_value(mine), _format_value(theirs))
        )
        return mine
    return _merge_fields(place, base, mine, theirs, merge_conflicts)


def _merge_fields(
    place: str,
    base: msgspec.Struct,
    mine: msgspec.Struct,
    theirs: msgspec.Struct,
    merge_conflicts: list[MergeConflict],
) -> msgspec.Struct:
    merged: dict[str, Any] = {}
    for name in base.__struct_fields__:
        base_value, my_value, their_value = (
            getattr(x, name) for x in (base, mine, theirs)
        )
        field_place = f'{place}/{name}'
        if name == 'targets':
            merged[name] = _merge_items(
                field_place, base_value, my_value, their_value, merge_conflicts
            )
        else:
            merged[name] = _merge_value(
                field_place, base_value, my_value, their_value, merge_conflicts
            )
    return msgspec.structs.replace(mine, **merged)


def _merge_value(
    place: str,
    base: Any,
    mine: Any,
    theirs: Any,
    merge_conflicts: list[MergeConflict],
) -> Any:
    if mine == base:
        return theirs
    if theirs not in (base, mine):
        merge_conflicts.append(
            MergeConflict(place, _format_value(mine), _format_value(theirs))
        )
    return mine


def _format_value(value: Any) -> str:
    if value is None:
        return ''
    return json.dumps(to_full_builtins(value))
