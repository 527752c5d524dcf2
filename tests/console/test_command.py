import asyncio
import os
import pathlib
import signal
import sys

import pytest
from tornado.httpclient import AsyncHTTPClient

from wigeonmill.console.drafts import read_key_hashes
from wigeonmill.keys import hash_key

PROGRAM = 'from wigeonmill.tools.cli import main; main()'


@pytest.mark.parametrize('text', ['', 'a plain key', 'ab' * 31])
def test_file_without_a_valid_key_hash_is_rejected(tmp_path, text):
    path = tmp_path / 'operators.hash'
    path.write_text(text)
    assert read_key_hashes(str(path)).is_err()
    assert read_key_hashes(str(tmp_path / 'none')).is_err()
    assert read_key_hashes('').is_err()


def test_command_serves_until_sigterm(tmp_path):
    (tmp_path / 'operators.hash').write_text(hash_key('key') + '\n')
    (tmp_path / 'inner.key').write_text('an inner key of the tests\n')
    arguments = ['console', '--listen', '127.0.0.1:0']
    arguments += ['--operator-key-hash-file', 'operators.hash']
    arguments += ['--inner-key-file', 'inner.key']
    root = pathlib.Path(__file__).parents[2]

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            PROGRAM,
            *arguments,
            cwd=tmp_path,
            env={**os.environ, 'PYTHONPATH': str(root)},
            stderr=asyncio.subprocess.PIPE,
        )
        line = (await process.stderr.readline()).decode()
        page = await AsyncHTTPClient().fetch(line.split()[-1] + 'login')
        process.send_signal(signal.SIGTERM)
        return page.body.decode(), await process.wait()

    page, code = asyncio.run(scenario())
    assert '<h1>Log in</h1>' in page
    assert code == 0
