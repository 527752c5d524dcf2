"""Parses a document and reports every fault of its structure."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import json
import pathlib
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema import ValidationError
import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.config.faults import Fault
from wigeonmill.config.faults import make_pointer
from wigeonmill.config.faults import show_value
from wigeonmill.config.model import Document
from wigeonmill.config.model import MAX_RECORD_BYTES
from wigeonmill.config.schema import document_schema

_TYPE_NAMES = {
    'integer': 'a whole number',
    'string': 'a string in quotes',
    'boolean': 'true or false',
    'array': 'a list in square brackets',
    'object': 'an object in braces',
}

# The nesting limit; a valid document is less deep.
MAX_DEPTH = 16


class _JsonObject(dict):
    """A JSON object that records its duplicate keys."""

    __slots__ = ('duplicates',)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.duplicates: list[str] = []
        if len(self) != len(pairs):
            counts = collections.Counter(key for key, _value in pairs)
            self.duplicates = [k for k, n in counts.items() if n > 1]


def read_document(path: pathlib.Path) -> Result[Document, list[Fault]]:
    """Read a document from a file; the faults say what is wrong with it."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        problem = f'cannot read {path}: {exc.strerror}'
        return Err([_document_fault(problem, 'Name a readable JSON file')])
    return parse_document(data)


def parse_document(data: bytes) -> Result[Document, list[Fault]]:
    """Parse a document; returns all faults of its structure at once."""
    if len(data) > MAX_RECORD_BYTES:
        problem = f'the text has {len(data)} bytes'
        remedy = f'Write at most {MAX_RECORD_BYTES} bytes'
        return Err([_document_fault(problem, remedy)])
    loaded = _load_json(data)
    if isinstance(loaded, Err):
        return Err([loaded.err_value])
    tree = loaded.ok_value
    faults = list(_find_duplicate_keys(tree, ()))
    try:
        document = msgspec.convert(tree, Document)
    except msgspec.ValidationError as exc:
        faults += check_structure(tree) or [_from_decoder(exc)]
        return Err(faults)
    if faults:
        return Err(faults)
    return Ok(document)


def _load_json(data: bytes) -> Result[Any, Fault]:
    try:
        text = data.decode('utf-8')
        tree = json.loads(
            text,
            object_pairs_hook=_JsonObject,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        problem = f'byte {exc.start} is not UTF-8'
        return Err(_document_fault(problem, 'Save the file as UTF-8'))
    except json.JSONDecodeError as exc:
        place = f'line {exc.lineno}, column {exc.colno}'
        problem = f'malformed JSON at {place}: {exc.msg}'
        return Err(_document_fault(problem, 'Correct the syntax there'))
    except (RecursionError, ValueError) as exc:
        problem = f'unusable JSON: {exc}'
        return Err(_document_fault(problem, 'Write a plain JSON document'))
    if _is_too_deep(tree):
        problem = f'nested deeper than {MAX_DEPTH} levels'
        return Err(_document_fault(problem, 'Write a plain JSON document'))
    return Ok(tree)


def _is_too_deep(tree: Any) -> bool:
    level = [tree]
    for _depth in range(MAX_DEPTH):
        level = [child for node in level for child in _children(node)]
        if not level:
            return False
    return True


def _children(node: Any) -> Iterable[Any]:
    if isinstance(node, dict):
        return node.values()
    return node if isinstance(node, list) else ()


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')


def _find_duplicate_keys(
    node: Any, path: tuple[str | int, ...]
) -> Iterator[Fault]:
    if isinstance(node, _JsonObject):
        for key in node.duplicates:
            pointer = make_pointer(*path, key)
            yield Fault(pointer, '', 'this key occurs twice', 'Keep one')
        for key, value in node.items():
            yield from _find_duplicate_keys(value, (*path, key))
    elif isinstance(node, list):
        for index, value in enumerate(node):
            yield from _find_duplicate_keys(value, (*path, index))


def check_structure(tree: Any, definition: str = 'Document') -> list[Fault]:
    """Return every fault of a JSON value, validated against a type."""
    faults: list[Fault] = []
    for error in _schema_validator(definition).iter_errors(tree):
        faults.extend(_from_schema_error(error))
    return sorted(faults, key=lambda fault: fault.pointer)


@functools.cache
def _schema_validator(definition: str) -> Draft202012Validator:
    schema = document_schema() | {'$ref': f'#/$defs/{definition}'}
    return Draft202012Validator(schema)


def _from_schema_error(error: ValidationError) -> list[Fault]:
    path = list(error.absolute_path)
    if error.validator == 'additionalProperties':
        return _unknown_field_faults(error, path)
    if error.validator == 'required':
        return _missing_field_faults(error, path)
    pointer = make_pointer(*path)
    value = show_value(pointer, error.instance)
    problem, remedy = _describe_error(error)
    return [Fault(pointer, value, problem, remedy)]


def _unknown_field_faults(
    error: ValidationError, path: list[str | int]
) -> list[Fault]:
    known = sorted(error.schema['properties'])
    remedy = f'Remove it or write one of {", ".join(known)}'
    unknown = [key for key in error.instance if key not in known]
    return [
        Fault(make_pointer(*path, key), '', 'unknown field', remedy)
        for key in unknown
    ]


def _missing_field_faults(
    error: ValidationError, path: list[str | int]
) -> list[Fault]:
    # The validator reports each missing field as a separate error.
    pointer = make_pointer(*path)
    properties = error.schema['properties']
    faults = []
    for key in error.validator_value:
        if key not in error.instance and f"'{key}'" in error.message:
            json_type = properties[key].get('type')
            remedy = f"Add '{key}' ({_TYPE_NAMES.get(json_type, 'a value')})"
            faults.append(Fault(pointer, '', f"no field '{key}'", remedy))
    return faults


def _describe_error(error: ValidationError) -> tuple[str, str]:
    limit = error.validator_value
    match error.validator:
        case 'type':
            return 'wrong type', f'Write {_TYPE_NAMES.get(limit, limit)}'
        case 'enum':
            allowed = ', '.join(json.dumps(item) for item in limit)
            return 'not an allowed value', f'Write one of {allowed}'
        case 'minimum':
            return 'too small', f'Write at least {limit}'
        case 'maximum':
            return 'too large', f'Write at most {limit}'
        case 'maxLength':
            return 'too long', f'Write at most {limit} characters'
        case 'pattern':
            expected = error.schema.get('description', f'Match {limit}')
            return 'wrong format', f'Write: {expected.rstrip(".")}'
    return error.message, 'Correct it according to the schema'


def _from_decoder(exc: msgspec.ValidationError) -> Fault:
    return _document_fault(str(exc), 'Correct the named value')


def _document_fault(problem: str, remedy: str) -> Fault:
    return Fault('', '', problem, remedy)
