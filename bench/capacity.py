"""Computes the tables of docs/CAPACITY.md from recorded measurements.

`python -m bench capacity` prints the tables; with `--write` it replaces them
in the page.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bench.capacity_limits import limit_rows
from bench.capacity_model import Measurements
from bench.capacity_roles import role_rows
from bench.capacity_table import render

PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
START = '<!-- tables: python -m bench capacity --write -->\n'
END = '<!-- end of tables -->\n'


@dataclass
class Arguments:
    """The command line."""

    write: Annotated[bool, cappa.Arg(long=True)] = False


def make_tables(measured: Measurements) -> str:
    """Return the tables of roles and of limits as Markdown."""
    roles = render(
        ('Role', 'Quantity', 'At the target', 'Goal', 'Carried by', 'From'),
        role_rows(measured),
    )
    limits = render(
        ('What', 'Limit', 'Reached at', 'Against the target', 'From'),
        limit_rows(measured),
    )
    return f'{roles}\n{limits}'


def put_into_page(page: str, tables: str) -> str:
    """Return the page with the text between its markers replaced."""
    head, _start, rest = page.partition(START)
    _old, _end, tail = rest.partition(END)
    return f'{head}{START}\n{tables}\n{END}{tail}'


def main(argv: list[str]) -> int:
    """Print the tables or write them to the page; return the exit code."""
    args = cappa.parse(Arguments, argv=argv)
    tables = make_tables(Measurements())
    if args.write:
        page = PAGE.read_text(encoding='utf-8')
        PAGE.write_text(put_into_page(page, tables), encoding='utf-8')
    else:
        print(tables)
    return 0
