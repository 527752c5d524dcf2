"""Faults of a document: where they are and how to correct them."""

from dataclasses import dataclass
import json

_MAX_VALUE_CHARS = 60
_REDACTED_FIELD = 'key_hashes'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    `pointer` is a JSON pointer (RFC 6901), and `value` the faulty value as
    shortened JSON. A `forceable` fault does not prevent a forced submission.
    """

    pointer: str
    value: str
    problem: str
    remedy: str
    forceable: bool = False

    def line(self) -> str:
        """Return the fault as one human-readable line."""
        place = self.pointer or '(document)'
        value_text = f' (is {self.value})' if self.value else ''
        hint = ' Or use force.' if self.forceable else ''
        return f'{place}: {self.problem}{value_text}. {self.remedy}.{hint}'


def make_pointer(*parts: str | int) -> str:
    """Return the JSON pointer of a path of keys and indices."""
    return ''.join(f'/{_escape(str(part))}' for part in parts)


def show_value(pointer: str, value: object) -> str:
    """Return `value` as shortened JSON, unless it may be a key."""
    if f'/{_REDACTED_FIELD}' in pointer:
        return f'{type(value).__name__}, not shown'
    text = json.dumps(value, default=str)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[: _MAX_VALUE_CHARS - 3] + '...'


def _escape(part: str) -> str:
    return part.replace('~', '~0').replace('/', '~1')
