"""Sample documents for the tests of the configuration."""

import pathlib

import msgspec

from wigeonmill.config.model import Document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def load_example(name='isoko'):
    data = (EXAMPLES / f'{name}.json').read_bytes()
    return msgspec.json.decode(data, type=Document)


def load_tree(name='isoko'):
    return msgspec.json.decode((EXAMPLES / f'{name}.json').read_bytes())


def with_limit(document, tokens):
    """Return the document with `tokens` as its limit of answer tokens."""
    limits = msgspec.structs.replace(document.limits, max_answer_tokens=tokens)
    return msgspec.structs.replace(document, limits=limits)


def drained(document, *domains):
    """Return the document with the named domains out of service."""
    return msgspec.structs.replace(
        document,
        failure_domains=[
            msgspec.structs.replace(d, in_service=d.name not in domains)
            for d in document.failure_domains
        ],
    )
