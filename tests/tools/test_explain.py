import json

from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.explain_command import explain_request
from wigeonmill.tools.explain_command import parse_lines


def line(at, message, **fields):
    return json.dumps(
        {'asctime': at, 'process': 'p', 'message': message} | fields
    )


LOG = '\n'.join(
    [
        '12.5 node ' + line('02', 'request', request_id='q1', target='t1'),
        line('01', 'target draining', target='t1'),
        line('03', 'request', request_id='q2', target='t2'),
        line('03', 'target gone', target='t2'),
        'no JSON at all {',
        '[1, 2]',
    ]
)


def test_report_has_the_lines_of_the_request_and_of_its_targets_in_order():
    report = explain_request('q1', parse_lines(LOG))
    assert report.exit_code is ExitCode.OK
    assert list(report.lines()) == [
        'Request q1:',
        '  02 p: request target=t1',
        'Its targets:',
        '  01 p: target draining target=t1',
    ]


def test_unknown_request_is_reported():
    report = explain_request('q9', parse_lines(LOG))
    assert report.exit_code is ExitCode.NEGATIVE
    assert list(report.lines()) == ['no log line mentions request q9']
