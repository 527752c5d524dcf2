"""Fills the template of a role, as DEPLOY.md describes it."""

import json
import re

_TAG = re.compile(r'\{\{([#^/]?)([^{}|]+)(\|json)?\}\}')


def fill(text, fields):
    """Return the text with its placeholders and sections filled."""
    return _fill(text, [fields])


def _find(name, scopes):
    if name == '.':
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split('.'):
            if not isinstance(value, dict) or part not in value:
                break
            value = value[part]
        else:
            return value
    return None


def _fill(text, scopes):
    filled = ''
    position = 0
    while (tag := _TAG.search(text, position)) is not None:
        filled += text[position : tag.start()]
        kind, name, as_json = tag.groups()
        value = _find(name, scopes)
        position = tag.end()
        if kind in ('#', '^'):
            end = '{{/' + name + '}}'
            stop = text.index(end, position)
            section = text[position:stop]
            position = stop + len(end)
            present = value is not None and value is not False
            if present == (kind == '#'):
                filled += _fill(section, [value, *scopes])
        elif as_json:
            filled += json.dumps(value)
        else:
            filled += '' if value is None else str(value)
    return filled + text[position:]
