"""Prints the standard scores in journal/ as a table for the docs."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

JOURNAL = Path(__file__).resolve().parent.parent / 'journal'
# Days with this prefix are drawn at random and are no standard days.
RANDOM_DAY_PREFIX = 'fresh-'


class _Day(msgspec.Struct):
    name: str = ''
    # Credit minus prices, on the scale of the day's marks, ignoring rules.
    figure: float | None = None
    # Share of the owed credit that was earned, before prices.
    served: float | None = None
    rules: dict[str, int] | list[str] | None = None


class _Entry(msgspec.Struct):
    cmd: str = ''
    argv: list[str] = []
    why: str = ''
    score: float | None = None
    days: list[_Day] = []


@dataclass(frozen=True, slots=True)
class Round:
    """One score of one site, with its days as text."""

    site: str
    why: str
    score: float
    days: str


def rounds() -> Iterator[Round]:
    """Yield the completed standard scores in the order of their runs."""
    for path in sorted(JOURNAL.glob('2*.json')):
        entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        if entry.cmd != 'score' or entry.score is None:
            continue
        days = [
            f'{day.name} {day.figure:.2f} ({day.served or 0.0:.2f})'
            + (' broken' if day.rules else '')
            for day in entry.days
            if day.figure is not None
            and not day.name.startswith(RANDOM_DAY_PREFIX)
        ]
        site = Path(entry.argv[0]).stem
        yield Round(site, entry.why, entry.score, ', '.join(days))


def main() -> None:
    """Print the table as Markdown."""
    print(
        '| site | change measured | score | each standard day (share served) |'
    )
    print('|---|---|---|---|')
    for item in rounds():
        row = (item.site, item.why, f'{item.score:.3f}', item.days)
        print('| ' + ' | '.join(row) + ' |')


if __name__ == '__main__':
    main()
