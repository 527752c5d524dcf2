import pathlib
import re

from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'API.md'


def test_every_reason_is_on_the_page_with_its_status():
    rows = re.findall(r'^\| `(\w+)` \| (\d+)[ ,]', PAGE.read_text(), re.M)
    expected = {r.value: str(ApiError(r, '').status) for r in Reason}
    assert dict(rows) == expected
