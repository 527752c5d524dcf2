"""Generates the JSON Schema of the document from its types."""

import json
from typing import Any

import msgspec

from wigeonmill.config.model import Document

# The committed copy for editors, in the folder of this module.
SCHEMA_FILE = 'document.schema.json'
_DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def document_schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    schema = msgspec.json.schema(Document)
    return {'$schema': _DIALECT, 'title': 'wigeonmill document', **schema}


def schema_text() -> str:
    """Return the text of the committed schema file."""
    return json.dumps(document_schema(), indent=2) + '\n'
