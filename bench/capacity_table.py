"""Renders rows as a Markdown table."""

from collections.abc import Iterable
from collections.abc import Sequence


def render(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [_line(head), _line(['---'] * len(head))]
    lines += [_line(row) for row in rows]
    return '\n'.join(lines) + '\n'


def show(value: float, unit: str = '') -> str:
    """Return a value with three significant digits and its unit."""
    if value == float('inf'):
        return 'never on this line'
    text = f'{value:,.0f}' if abs(value) >= 1000 else f'{value:.3g}'
    return f'{text} {unit}'.rstrip()


def _line(cells: Sequence[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'
