import pathlib
import re

import msgspec

from wigeonmill.gateway.settings import GatewaySettings
from wigeonmill.settings import AgentSettings
from wigeonmill.settings import EmbeddedSettings
from wigeonmill.settings import EntrySettings
from wigeonmill.settings import Settings
from wigeonmill.settings import TlsSettings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'SETTINGS.md'
SECTIONS = {
    'The process': Settings,
    'entry': EntrySettings,
    'agent': AgentSettings,
    'embedded': EmbeddedSettings,
    'gateway': GatewaySettings,
    'TLS objects': TlsSettings,
}


def _default(field):
    if field.default_factory is not msgspec.NODEFAULT:
        value = field.default_factory()
        return 'defaults' if isinstance(value, msgspec.Struct) else value
    return field.default


def _format_default(field):
    if field.required:
        return 'required'
    value = _default(field)
    return value if value == 'defaults' else f'`{_encode(value)}`'


def _encode(value):
    return msgspec.json.encode(value).decode()


def test_every_setting_is_on_the_page_with_its_default():
    parts = re.split(r'^## (.+)\n', PAGE.read_text(), flags=re.M)
    sections = dict(zip(parts[1::2], parts[2::2], strict=True))
    for title, struct in SECTIONS.items():
        rows = re.findall(
            r'^\| `(\w+)` \| [^|]+ \| ([^|]+) \|', sections[title], re.M
        )
        expected = {
            f.encode_name: _format_default(f)
            for f in msgspec.structs.fields(struct)
        }
        assert dict(rows) == expected, title
