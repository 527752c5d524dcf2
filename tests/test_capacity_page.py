"""The tables of the capacity page match the recorded measurements."""

from bench.capacity import make_tables
from bench.capacity import PAGE
from bench.capacity import put_into_page
from bench.capacity_model import Measurements


def test_page_contains_the_tables_of_the_records():
    page = PAGE.read_text(encoding='utf-8')
    tables = make_tables(Measurements())
    assert '1.4 %' in tables
    assert put_into_page(page, tables) == page
