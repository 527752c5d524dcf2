"""Fills the template of the deploy file as the platform does."""

import json
import re

_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def fill(template: str, fields: dict) -> str:
    """Return a template with its sections and placeholders replaced.

    Sections are those of values that are there or not, as in ours.
    """

    def section(found: re.Match[str]) -> str:
        return found[2] if _find(fields, found[1]) else ''

    def value(found: re.Match[str]) -> str:
        value = _find(fields, found[1])
        if value is None:
            return ''
        return json.dumps(value) if found[2] else str(value)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _find(fields: dict, name: str) -> object:
    value: object = fields
    for key in name.split('.'):
        value = value.get(key) if isinstance(value, dict) else None
    return value
