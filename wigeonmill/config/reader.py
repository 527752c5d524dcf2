"""Reads a document's text and reports every fault of its structure."""

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

_TYPE_WORDS = {
    'integer': 'a whole number',
    'string': 'a text in quotes',
    'boolean': 'true or false',
    'array': 'a list in square brackets',
    'object': 'an object in braces',
}

# A document is nested less deeply than this.
MAX_DEPTH = 16


class _Object(dict):
    """A JSON object that remembers keys which came twice."""

    __slots__ = ('duplicates',)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.duplicates: list[str] = []
        if len(self) != len(pairs):
            counts = collections.Counter(key for key, _value in pairs)
            self.duplicates = [k for k, n in counts.items() if n > 1]


def read_document(path: pathlib.Path) -> Result[Document, list[Fault]]:
    """Read a document from a file; faults hold what was wrong with it."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        problem = f'cannot read {path}: {exc.strerror}'
        return Err([_whole(problem, 'Name a readable JSON file')])
    return parse_document(data)


def parse_document(data: bytes) -> Result[Document, list[Fault]]:
    """Decode a document; every fault of its structure at once."""
    if len(data) > MAX_RECORD_BYTES:
        problem = f'the text has {len(data)} bytes'
        remedy = f'Write at most {MAX_RECORD_BYTES} bytes'
        return Err([_whole(problem, remedy)])
    loaded = _load_json(data)
    if isinstance(loaded, Err):
        return Err([loaded.err_value])
    tree = loaded.ok_value
    faults = list(_duplicate_keys(tree, ()))
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
            text, object_pairs_hook=_Object, parse_constant=_refuse_constant
        )
    except UnicodeDecodeError as exc:
        problem = f'byte {exc.start} is not UTF-8'
        return Err(_whole(problem, 'Save the file as UTF-8'))
    except json.JSONDecodeError as exc:
        place = f'line {exc.lineno}, column {exc.colno}'
        problem = f'malformed JSON at {place}: {exc.msg}'
        return Err(_whole(problem, 'Correct the syntax there'))
    except (RecursionError, ValueError) as exc:
        problem = f'unusable JSON: {exc}'
        return Err(_whole(problem, 'Write a plain JSON document'))
    if _too_deep(tree):
        problem = f'nested deeper than {MAX_DEPTH} levels'
        return Err(_whole(problem, 'Write a plain JSON document'))
    return Ok(tree)


def _too_deep(tree: Any) -> bool:
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


def _refuse_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')


def _duplicate_keys(node: Any, path: tuple[str | int, ...]) -> Iterator[Fault]:
    if isinstance(node, _Object):
        for key in node.duplicates:
            pointer = make_pointer(*path, key)
            yield Fault(pointer, '', 'this key comes twice', 'Keep one')
        for key, value in node.items():
            yield from _duplicate_keys(value, (*path, key))
    elif isinstance(node, list):
        for index, value in enumerate(node):
            yield from _duplicate_keys(value, (*path, index))


def check_structure(tree: Any, definition: str = 'Document') -> list[Fault]:
    """Return every fault of a JSON value against one of the types."""
    faults: list[Fault] = []
    for error in _validator(definition).iter_errors(tree):
        faults.extend(_from_schema_error(error))
    return sorted(faults, key=lambda fault: fault.pointer)


@functools.cache
def _validator(definition: str) -> Draft202012Validator:
    schema = document_schema() | {'$ref': f'#/$defs/{definition}'}
    return Draft202012Validator(schema)


def _from_schema_error(error: ValidationError) -> list[Fault]:
    path = list(error.absolute_path)
    if error.validator == 'additionalProperties':
        return _unknown_fields(error, path)
    if error.validator == 'required':
        return _missing_fields(error, path)
    pointer = make_pointer(*path)
    value = show_value(pointer, error.instance)
    problem, remedy = _explain(error)
    return [Fault(pointer, value, problem, remedy)]


def _unknown_fields(
    error: ValidationError, path: list[str | int]
) -> list[Fault]:
    known = sorted(error.schema['properties'])
    remedy = f'Remove it or write one of {", ".join(known)}'
    unknown = [key for key in error.instance if key not in known]
    return [
        Fault(make_pointer(*path, key), '', 'unknown field', remedy)
        for key in unknown
    ]


def _missing_fields(
    error: ValidationError, path: list[str | int]
) -> list[Fault]:
    # The validator reports each missing field in an error of its own.
    pointer = make_pointer(*path)
    properties = error.schema['properties']
    faults = []
    for key in error.validator_value:
        if key not in error.instance and f"'{key}'" in error.message:
            wanted = properties[key].get('type')
            remedy = f"Add '{key}' ({_TYPE_WORDS.get(wanted, 'a value')})"
            faults.append(Fault(pointer, '', f"no field '{key}'", remedy))
    return faults


def _explain(error: ValidationError) -> tuple[str, str]:
    limit = error.validator_value
    match error.validator:
        case 'type':
            return 'wrong type', f'Write {_TYPE_WORDS.get(limit, limit)}'
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
            wanted = error.schema.get('description', f'Match {limit}')
            return 'not in the right form', f'Write: {wanted.rstrip(".")}'
    return error.message, 'Correct it after the schema'


def _from_decoder(exc: msgspec.ValidationError) -> Fault:
    return _whole(str(exc), 'Correct the value named')


def _whole(problem: str, remedy: str) -> Fault:
    return Fault('', '', problem, remedy)
