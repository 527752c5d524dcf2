"""Converts typed values to JSON values, including fields at their default."""

import dataclasses
import enum
from typing import Any

import msgspec


def to_full_builtins(value: Any) -> Any:
    """Return a struct or dataclass as JSON values, with all of its fields."""
    if isinstance(value, msgspec.Struct):
        names = value.__struct_fields__
        return {name: to_full_builtins(getattr(value, name)) for name in names}
    if dataclasses.is_dataclass(value):
        names = tuple(item.name for item in dataclasses.fields(value))
        return {name: to_full_builtins(getattr(value, name)) for name in names}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list):
        return [to_full_builtins(item) for item in value]
    return value
