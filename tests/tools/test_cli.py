import itertools
import json
import pathlib

import msgspec
import pytest
from result import Err
from result import Ok

from tests.config import samples
from wigeonmill.clock import ManualClock
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import encode_record
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.tools import cli
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.fleet import agent_addresses
from wigeonmill.tools.fleet import POLL_PAUSE_S
from wigeonmill.tools.fleet import ProcessStatus
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import OpenedKeyValue

ISOKO = str(samples.EXAMPLES / 'isoko.json')


class FakeFleet:
    """Processes that report the newest serial after `lag` status requests."""

    def __init__(self, kv, lag=0):
        self.kv = kv
        self.lag = lag
        self.behind = set()
        self.unreachable = set()
        self.peers = []

    async def read_status(self, address, with_peers):
        if address in self.unreachable:
            return Err('refused')
        serial = len(self.kv._events)
        if address in self.behind or self.lag > 0:
            self.lag -= 1
            serial = 0
        return Ok(
            ProcessStatus(
                f'p-{address}',
                'agent',
                serial,
                with_peers and self.peers or [],
            )
        )

    def close(self):
        pass


class CommandRunner:
    """Runs commands on an in-memory key-value service and a fake fleet."""

    def __init__(self):
        self.clock = ManualClock(1_700_000_000_000.0)
        self.kv = MemoryKeyValue(self.clock)
        self.fleet = FakeFleet(self.kv)
        self.answers = []
        self.questions = []

    def run(self, capsys, *argv):
        ids = itertools.count(len(self.kv._events))
        deps = Dependencies(
            self.clock,
            lambda _settings, _clock: OpenedKeyValue(self.kv, lambda: None),
            lambda _settings: Ok(self.fleet),
            lambda: f'id-{next(ids)}',
            self.confirm,
        )
        with pytest.raises(SystemExit) as exit_info:
            cli.main([*argv, '--author', 'ada'], deps)
        self.output = capsys.readouterr()
        return exit_info.value.code

    def confirm(self, question):
        self.questions.append(question)
        return self.answers.pop() if self.answers else True


@pytest.fixture
def runner():
    return CommandRunner()


def write_document(tmp_path, document):
    path = tmp_path / 'document.json'
    path.write_bytes(msgspec.json.encode(document))
    return str(path)


def test_apply_shows_the_plan_for_confirmation_and_is_idempotent(
    runner, capsys
):
    runner.answers = [False]
    assert runner.run(capsys, 'apply', ISOKO) == ExitCode.NEGATIVE
    assert '+ service assistant' in runner.questions[0]
    assert runner.run(capsys, 'apply', ISOKO) == ExitCode.OK
    assert 'Accepted as serial 1' in runner.output.out
    assert runner.run(capsys, 'apply', ISOKO) == ExitCode.OK
    assert 'Nothing to change: serial 1' in runner.output.out


def test_drain_restore_history_show_and_rollback(runner, capsys, tmp_path):
    runner.run(capsys, 'apply', ISOKO)
    assert runner.run(capsys, 'drain', 'domain', 'gasabo') == 0
    assert runner.run(capsys, 'drain', 'target', 'engine-2') == 0
    assert runner.run(capsys, 'restore', 'domain', 'gasabo') == 0
    assert runner.run(capsys, 'history', '--json') == 0
    records = json.loads(runner.output.out)['records']
    assert [row['serial'] for row in records] == [4, 3, 2, 1]
    assert [row['changes'] for row in records] == [1, 1, 1, -1]
    assert records[0]['author'] == 'ada'
    assert runner.run(capsys, 'show', '--serial', '3') == 0
    shown = json.loads(runner.output.out)
    assert not shown['failure_domains'][1]['in_service']
    shown_file = tmp_path / 'shown.json'
    shown_file.write_text(runner.output.out)
    assert runner.run(capsys, 'rollback', '1') == 0
    assert 'serial 5' in runner.output.out
    assert runner.run(capsys, 'diff', str(shown_file)) == 0
    assert '~ failure domain gasabo: out of service' in runner.output.out
    assert runner.run(capsys, 'show', '--serial', '9') == ExitCode.NEGATIVE


def test_drain_of_an_unknown_name_lists_the_known_ones(runner, capsys):
    runner.run(capsys, 'apply', ISOKO)
    code = runner.run(capsys, 'drain', 'domain', 'huye')
    assert code == ExitCode.NEGATIVE
    assert 'nyarugenge, gasabo, kicukiro' in runner.output.out


def test_draining_too_much_needs_force(runner, capsys):
    runner.run(capsys, 'apply', ISOKO)
    runner.run(capsys, 'drain', 'domain', 'gasabo')
    drain = ('drain', 'domain', 'kicukiro')
    assert runner.run(capsys, *drain) == ExitCode.NEGATIVE
    assert 'leave at once' in runner.output.out
    assert runner.run(capsys, *drain, '--force') == ExitCode.OK


def test_wait_reports_every_process(runner, capsys):
    runner.fleet.lag = len(agent_addresses(samples.load_example()))
    code = runner.run(capsys, 'apply', ISOKO, '--wait', '--json')
    assert code == ExitCode.OK
    spread = json.loads(runner.output.out)['spread']
    assert len(spread['processes']) == 9
    assert {row['serial'] for row in spread['processes']} == {1}


def test_wait_includes_processes_discovered_meanwhile(runner, capsys):
    read = runner.fleet.read_status

    async def read_and_add_peer(address, with_peers):
        status = await read(address, with_peers)
        if not with_peers:
            runner.fleet.peers = ['127.0.0.1:9999']
        return status

    runner.fleet.read_status = read_and_add_peer
    code = runner.run(capsys, 'apply', ISOKO, '--wait')
    assert code == ExitCode.OK
    assert 'In force in all 10 processes' in runner.output.out


def test_wait_timeout_lists_processes_that_are_behind(runner, capsys):
    runner.fleet.behind = {'127.0.0.1:7301'}
    runner.fleet.unreachable = {'127.0.0.1:7302'}
    runner.fleet.peers = ['127.0.0.1:9999']
    code = runner.run(capsys, 'apply', ISOKO, '--wait', '--wait-timeout', '0')
    assert code == ExitCode.NEGATIVE
    assert '2 of 10 are behind' in runner.output.out
    assert runner.run(capsys, 'status') == ExitCode.NEGATIVE
    assert '127.0.0.1:7302  -       unreachable (refused)' in runner.output.out
    assert 'p-127.0.0.1:9999' in runner.output.out
    assert POLL_PAUSE_S < 1


def test_conflict_has_its_own_exit_code_and_shows_the_accepted_change(
    runner, capsys, tmp_path
):
    runner.run(capsys, 'apply', ISOKO)
    runner.run(capsys, 'drain', 'domain', 'gasabo')
    path = write_document(
        tmp_path, samples.with_limit(samples.load_example(), 7)
    )
    code = runner.run(capsys, 'apply', path, '--expected-serial', '1')
    assert code == ExitCode.CONFLICT
    assert 'ada put serial 2' in runner.output.out
    assert '~ failure domain gasabo: out of service' in runner.output.out


def test_drain_retries_when_another_change_was_accepted_first(runner, capsys):
    runner.run(capsys, 'apply', ISOKO)
    kv = runner.kv
    swap = kv.compare_and_swap
    competing_document = samples.with_limit(samples.load_example(), 9)
    record = ConfigRecord(2, 'competing', 'bob', 5, competing_document)

    async def swap_after_competitor(key, expected, value, lease=0):
        kv.compare_and_swap = swap
        await swap('wigeonmill/config/current', 1, encode_record(record))
        return await swap(key, expected, value, lease)

    kv.compare_and_swap = swap_after_competitor
    assert runner.run(capsys, 'drain', 'domain', 'gasabo') == ExitCode.OK
    runner.run(capsys, 'show', '--json')
    shown = json.loads(runner.output.out)['record']
    assert shown['serial'] == 3
    assert shown['document']['limits']['max_answer_tokens'] == 9


def test_outage_and_unknown_outcome_have_their_own_exit_codes(
    runner, capsys, monkeypatch
):
    monkeypatch.setattr('wigeonmill.config.acceptance.SWAP_RETRY_PAUSE_S', 0.0)
    runner.kv.faults.outage = True
    for command in (['apply', ISOKO], ['show'], ['history'], ['status']):
        assert runner.run(capsys, *command) == ExitCode.UNAVAILABLE
    runner.kv.faults.outage = False
    runner.kv.faults.lose_requests = 99
    assert runner.run(capsys, 'apply', ISOKO) == ExitCode.UNKNOWN


def run_offline(capsys, *argv):
    with pytest.raises(SystemExit) as exit_info:
        cli.main(list(argv))
    return exit_info.value.code, capsys.readouterr().out


def test_check_reports_faults_as_json(tmp_path, capsys):
    tree = samples.load_tree()
    tree['teams'][0]['weight'] = 0
    path = tmp_path / 'faulty.json'
    path.write_text(json.dumps(tree))
    code, output = run_offline(capsys, 'check', str(path), '--json')
    assert code == ExitCode.NEGATIVE
    (fault,) = json.loads(output)['faults']
    assert fault['pointer'] == '/teams/0/weight'


def test_usage_errors_exit_with_the_usage_code(capsys):
    assert run_offline(capsys, 'drain', 'planet', 'x')[0] == ExitCode.USAGE
    code, _output = run_offline(capsys, 'show', '--kv', 'kv.example:2379')
    assert code == ExitCode.USAGE
    code, _output = run_offline(capsys, 'status')
    assert code == ExitCode.USAGE


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_script_names_the_command(shell, capsys):
    code, output = run_offline(capsys, 'completion', shell)
    assert code == ExitCode.OK
    assert 'wigeonmill' in output and '--completion' in output


def test_schema_command_prints_the_committed_schema(capsys):
    _code, output = run_offline(capsys, 'schema')
    folder = pathlib.Path(cli.__file__).parents[1] / 'config'
    committed = (folder / 'document.schema.json').read_text()
    assert json.loads(output) == json.loads(committed)
