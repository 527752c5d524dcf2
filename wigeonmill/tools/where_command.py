"""The command that asks a gateway where a request would go now."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Annotated
from typing import Any
from urllib.parse import urlencode

import cappa
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Dependencies

TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class WhereReport:
    """What a gateway would do now with a request."""

    answer: dict[str, Any]

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if the request would be refused."""
        refused = 'refusal' in self.answer
        return ExitCode.NEGATIVE if refused else ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return the choice, then a line for each target, cheapest first."""
        answer = self.answer
        if 'refusal' in answer:
            yield f'refused: {answer["refusal"]}, {answer["message"]}'
            if answer['retry_after_ms'] is not None:
                yield f'retry after: {answer["retry_after_ms"]:.0f} ms'
        else:
            yield f'target: {answer["target"]}'
            if 'held_up_to_ms' in answer:
                yield f'held before: {answer["held_up_to_ms"]:.0f} ms at most'
        for name in ('route', 'service', 'config', 'priority'):
            if name in answer:
                yield f'{name}: {answer[name]}'
        targets = answer.get('targets', [])
        for target in sorted(targets, key=_cost):
            yield '  ' + ' '.join(
                f'{name}={_text(value)}' for name, value in target.items()
            )


@cappa.command(name='where', help='Show where a request would go now.')
@dataclass(frozen=True, slots=True)
class WhereCommand:
    """Asks a gateway where a request would go now, without sending it."""

    gateway: Annotated[
        str, cappa.Arg(help='Metrics address of a gateway, IP:port.')
    ]
    host: Annotated[str, cappa.Arg(long=True, help='Host of the request.')]
    path: Annotated[str, cappa.Arg(long=True, help='Path of the request.')]
    team: Annotated[str, cappa.Arg(long=True, help='Name of its team.')] = ''
    model: Annotated[str, cappa.Arg(long=True, help='Model it asks for.')] = ''
    part: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help='Prompt part ID:TOKENS, in order; the last is its own.',
        ),
    ] = field(default_factory=list)
    answer_tokens: Annotated[
        int, cappa.Arg(long=True, help='Maximum tokens of the answer.')
    ] = 0
    deadline_ms: Annotated[
        int, cappa.Arg(long=True, help='Time that its caller waits.')
    ] = 10_000
    json: JsonFlag = False

    async def run(self, deps: Dependencies) -> Report:
        """Return the gateway's answer."""
        fields = {
            'host': self.host,
            'path': self.path,
            'team': self.team,
            'model': self.model,
            'part': self.part,
            'answer_tokens': self.answer_tokens,
            'deadline_ms': self.deadline_ms,
        }
        url = f'http://{self.gateway}/where?{urlencode(fields, doseq=True)}'
        try:
            reply = await AsyncHTTPClient().fetch(
                url, request_timeout=TIMEOUT_S, raise_error=False
            )
            answer = json.loads(reply.body or b'')
        except (OSError, ValueError, HTTPClientError) as exc:
            problem = f'{self.gateway} gave no answer: {exc}'
            return ProblemReport(ExitCode.UNAVAILABLE, problem)
        if reply.code != 200:
            problem = str(answer.get('problem', reply.reason))
            return ProblemReport(ExitCode.USAGE, problem)
        return WhereReport(answer)


def _cost(target: dict[str, Any]) -> float:
    return float(target.get('cost', 'inf'))


def _text(value: object) -> str:
    if isinstance(value, list):
        return ','.join(map(str, value)) or 'none'
    return str(value)
