import pathlib
import re

import cappa
import msgspec

from tests.config import samples
from wigeonmill.config.schema import document_schema
from wigeonmill.tools.cli import Wigeonmill
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.operator_settings import ConsoleSettings
from wigeonmill.tools.operator_settings import OperatorSettings

DOCS = pathlib.Path(samples.EXAMPLES).parent / 'docs'


def test_every_field_is_described_with_its_default():
    text = (DOCS / 'CONFIGURATION.md').read_text()
    for name, spec in document_schema()['$defs'].items():
        for field, field_spec in spec.get('properties', {}).items():
            default = field_spec.get('default')
            row = rf'\| `{field}` \|.*'
            if isinstance(default, int):
                default_text = msgspec.json.encode(default).decode()
                row = rf'\| `{field}` \|[^|]*\| `{default_text}` \|'
            assert re.search(row, text), f'{name}.{field}'


def test_every_command_setting_and_exit_code_is_described():
    text = (DOCS / 'CLI.md').read_text()
    commands = cappa.collect(Wigeonmill).subcommand.options
    for name, command in commands.items():
        assert f'| `{name}' in text, name
        for option in command.options:
            for long in option.long or ():
                assert long in text, long
    for code in ExitCode:
        assert f'\n| {int(code)} |' in text
    for field in OperatorSettings.__struct_fields__:
        assert f'| `{field}' in text, field
    for field in ConsoleSettings.__struct_fields__:
        assert f'| `console.{field}`' in text, field
