"""Forms generated from the document's schema, and their input."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import json
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.config.checks import check_document
from wigeonmill.config.faults import Fault
from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.model import Document
from wigeonmill.config.reader import check_structure
from wigeonmill.config.schema import document_schema
from wigeonmill.console.items import find_item
from wigeonmill.console.items import ItemKind
from wigeonmill.console.items import ItemRef
from wigeonmill.console.items import make_item_pointer
from wigeonmill.console.items import put_item

_HASH_CHARS = 8
# Fields that are edited on separate pages.
_SEPARATE_FIELDS = frozenset(('targets',))


class Widget(enum.Enum):
    """The input element of a field."""

    TEXT = 'text'
    NUMBER = 'number'
    CHECKBOX = 'checkbox'
    SELECT = 'select'
    LINES = 'lines'
    KEY_HASHES = 'key-hashes'


@dataclass(slots=True)
class FormField:
    """A form field with its input text and its error."""

    name: str
    label: str
    hint: str
    widget: Widget
    text: str = ''
    options: list[str] = field(default_factory=list)
    selected: list[str] = field(default_factory=list)
    error: str = ''


@dataclass(frozen=True, slots=True)
class Form:
    """The fields of one item, and the faults that belong to no field."""

    ref: ItemRef
    fields: list[FormField]
    faults: list[str] = field(default_factory=list)

    @property
    def errors(self) -> list[FormField]:
        """The fields with an error."""
        return [item for item in self.fields if item.error]


# Returns the submitted values of a form field.
ReadValues = Callable[[str], list[str]]


def make_form(document: Document, ref: ItemRef) -> Form:
    """Return the form of an item, with initial values for a new one."""
    item = find_item(document, ref)
    values = to_full_builtins(item) if item is not None else {}
    fields = _make_fields(document, ref)
    for form_field in fields:
        _set_value(form_field, values.get(form_field.name))
    return Form(ref, fields)


def read_form(
    document: Document, ref: ItemRef, read_values: ReadValues
) -> Result[Document, Form]:
    """Return the document with the submitted item, or a form with errors."""
    fields = _make_fields(document, ref)
    old = find_item(document, ref)
    old_values = to_full_builtins(old) if old is not None else {}
    values = _default_values(ref) | old_values
    for form_field in fields:
        previous = old_values.get(form_field.name)
        values[form_field.name] = _parse(form_field, read_values, previous)
    faults = check_structure(values, ref.info.type.__name__)
    if not faults:
        item = msgspec.convert(values, ref.info.type)
        name_conflict = _find_name_conflict(document, ref, item)
        if name_conflict is None:
            changed = put_item(document, ref, item)
            new_ref = ref
            if ref.kind is not ItemKind.LIMITS:
                new_ref = ItemRef(ref.kind, item.name, ref.parent)
            faults = _faults_within(changed, new_ref, fields)
        else:
            faults = [name_conflict]
    if not faults:
        return Ok(changed)
    return Err(_with_faults(Form(ref, fields), faults))


def _make_fields(document: Document, ref: ItemRef) -> list[FormField]:
    schema = document_schema()['$defs'][ref.info.type.__name__]
    fields = []
    for name, spec in schema['properties'].items():
        if name not in _SEPARATE_FIELDS:
            options = _options(document, name)
            fields.append(
                FormField(
                    name,
                    name.replace('_', ' ').capitalize(),
                    _hint(spec),
                    _widget(name, spec, options),
                    options=options,
                )
            )
    return fields


def _widget(name: str, spec: dict[str, Any], options: list[str]) -> Widget:
    if name == 'key_hashes':
        return Widget.KEY_HASHES
    if options:
        return Widget.SELECT
    match spec.get('type'):
        case 'boolean':
            return Widget.CHECKBOX
        case 'integer':
            return Widget.NUMBER
        case 'array':
            return Widget.LINES
    return Widget.TEXT


def _options(document: Document, name: str) -> list[str]:
    match name:
        case 'kind':
            return ['model', 'plain']
        case 'failure_domain':
            return [domain.name for domain in document.failure_domains]
        case 'model':
            return ['', *(model.name for model in document.models)]
    return []


def _hint(spec: dict[str, Any]) -> str:
    parts = [spec.get('description', '')]
    if 'minimum' in spec:
        parts.append(f'{spec["minimum"]} to {spec["maximum"]}.')
    if isinstance(spec.get('default'), int):
        parts.append(f'Default {json.dumps(spec["default"])}.')
    if spec.get('type') == 'array':
        parts.append('One per line.')
    return ' '.join(part for part in parts if part)


def _default_values(ref: ItemRef) -> dict[str, Any]:
    schema = document_schema()['$defs'][ref.info.type.__name__]
    properties = schema['properties']
    values = {n: s['default'] for n, s in properties.items() if 'default' in s}
    if ref.kind is ItemKind.SERVICE:
        values['targets'] = []
    return values


def _set_value(form_field: FormField, value: Any) -> None:
    match form_field.widget:
        case Widget.CHECKBOX:
            form_field.text = 'on' if value or value is None else ''
        case Widget.KEY_HASHES:
            form_field.selected = [key[:_HASH_CHARS] for key in value or []]
            form_field.options = form_field.selected
        case Widget.LINES:
            form_field.text = '\n'.join(
                _format_line(entry) for entry in value or []
            )
        case _:
            form_field.text = '' if value is None else str(value)


def _format_line(entry: Any) -> str:
    if isinstance(entry, dict):
        return f'{entry["method"]} {entry["path_prefix"]}'
    return str(entry)


def _parse(
    form_field: FormField, read_values: ReadValues, previous: Any
) -> Any:
    """Return the JSON value of a field and store its input text."""
    texts = read_values(form_field.name)
    text = texts[-1].strip() if texts else ''
    if form_field.widget is Widget.KEY_HASHES:
        return _parse_key_hashes(form_field, read_values, previous or [])
    form_field.text = text
    match form_field.widget:
        case Widget.CHECKBOX:
            return bool(text)
        case Widget.NUMBER:
            return _parse_number(text)
        case Widget.LINES:
            lines = [line.strip() for line in text.splitlines()]
            return [
                _parse_line(form_field.name, line) for line in lines if line
            ]
    return text


def _parse_number(text: str) -> int | str:
    digits = text.removeprefix('-')
    if digits.isascii() and digits.isdigit() and len(digits) <= 18:
        return int(text)
    return text


def _parse_line(name: str, line: str) -> Any:
    if name != 'non_repeatable':
        return line
    method, _space, path = line.partition(' ')
    return {'method': method.upper(), 'path_prefix': path.strip()}


def _parse_key_hashes(
    form_field: FormField, read_values: ReadValues, previous: list[str]
) -> list[str]:
    """Return the selected hashes and the added ones.

    Added text is never shown again, since it may be a key entered by mistake.
    """
    selected = read_values(form_field.name)
    form_field.options = [key[:_HASH_CHARS] for key in previous]
    form_field.selected = selected
    hashes = [key for key in previous if key[:_HASH_CHARS] in selected]
    for text in read_values(f'{form_field.name}_added'):
        hashes.extend(text.split())
    return hashes


def _find_name_conflict(
    document: Document, ref: ItemRef, item: Any
) -> Fault | None:
    if ref.kind is ItemKind.LIMITS or item.name == ref.name:
        return None
    new_ref = ItemRef(ref.kind, item.name, ref.parent)
    if find_item(document, new_ref) is None:
        return None
    noun = ref.info.noun
    problem = f'there is already a {noun} of this name'
    return Fault('/name', '', problem, 'Choose another name')


def _faults_within(
    document: Document, ref: ItemRef, fields: list[FormField]
) -> list[Fault]:
    """Return the faults of the item's fields, relative to the item."""
    item_pointer = make_item_pointer(document, ref)
    names = {form_field.name for form_field in fields}
    faults = []
    for fault in check_document(document):
        relative_pointer = fault.pointer.removeprefix(item_pointer)
        if (
            relative_pointer != fault.pointer
            and relative_pointer.split('/')[1:2]
        ):
            if relative_pointer.split('/')[1] in names:
                faults.append(
                    Fault(
                        relative_pointer,
                        fault.value,
                        fault.problem,
                        fault.remedy,
                    )
                )
    return faults


def _with_faults(form: Form, faults: list[Fault]) -> Form:
    by_name = {form_field.name: form_field for form_field in form.fields}
    form_faults = []
    for fault in faults:
        name = fault.pointer.split('/')[1] if fault.pointer else ''
        message = f'{fault.problem.capitalize()}. {fault.remedy}.'
        if name in by_name:
            form_field = by_name[name]
            if not form_field.error:
                form_field.error = message
        else:
            form_faults.append(message)
    return Form(form.ref, form.fields, form_faults)
