"""Renders Markdown tables and the values in their cells."""

from collections.abc import Iterable
from collections.abc import Sequence


def render(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table with `head` as its header row."""
    lines = [_line(head), _line(['---'] * len(head))]
    lines += [_line(row) for row in rows]
    return '\n'.join(lines) + '\n'


def format_value(value: float, unit: str = '') -> str:
    """Return a value with three significant digits and its unit."""
    if value == float('inf'):
        return 'never on this line'
    text = f'{value:,.0f}' if abs(value) >= 1000 else f'{value:.3g}'
    return f'{text} {unit}'.rstrip()


def _line(cells: Sequence[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'
