"""Runs the whole system in one process: `python -m bench demo`.

The demonstration sends recurring manifests, note tags and credits, and
meanwhile takes a failure domain out of service and back. It exits with 1 if a
promise was broken.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
import random
import secrets
import sys
import time
from typing import Annotated
from typing import Any

import cappa
import msgspec

from bench.demo_parts.callers import Callers
from bench.demo_parts.report import DemoReport
from bench.demo_parts.report import make_report
from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.model import Document
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.reader import read_document
from wigeonmill.embedded import EmbeddedSystem
from wigeonmill.log import configure_logs
from wigeonmill.settings import check_settings
from wigeonmill.standins.engine_core import EngineOptions

SETTLE_S = 3.0
REQUESTS = 400
SECONDS = 20.0
MANIFESTS = 40
CACHE_BLOCKS = 24
ENGINE_SPEED = 2.0


@dataclass
class Arguments:
    """The command line."""

    document: Annotated[str, cappa.Arg(long=True)] = 'examples/isoko.json'
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    requests: Annotated[int, cappa.Arg(long=True)] = REQUESTS
    seconds: Annotated[float, cappa.Arg(long=True)] = SECONDS


class Demo:
    """One demonstration, from the start of the system to its report."""

    def __init__(self, args: Arguments, document: Document) -> None:
        self._args = args
        self._document = document
        self._rng = random.Random(args.seed)
        settings = check_settings(
            {
                'process': 'demo',
                'roles': ['embedded'],
                'entry': {'http': '127.0.0.1:0', 'leave_grace_ms': 0},
            }
        ).unwrap()
        self._system = EmbeddedSystem(settings, _adjust_engine)
        self._tasks: list[asyncio.Task[None]] = []
        self._late_work = 0

    async def run(self) -> DemoReport:
        """Send load, drain and restore a domain meanwhile, and report."""
        await self._system.start(self._document)
        callers = self._make_callers()
        print(f'ready at {self._system.address}')
        operator = asyncio.ensure_future(self._drain_and_restore())
        await self._send_all(callers)
        await operator
        await asyncio.gather(*self._tasks)
        report = make_report(self._system, callers.records, self._late_work)
        callers.close()
        await self._system.stop()
        return report

    def _make_callers(self) -> Callers:
        kinds = {service.kind: service for service in self._document.services}
        return Callers(
            self._system.address,
            kinds[ServiceKind.MODEL].model,
            kinds[ServiceKind.PLAIN].name,
            self._rng,
        )

    async def _send_all(self, callers: Callers) -> None:
        gap_s = self._args.seconds / self._args.requests
        for number in range(self._args.requests):
            request = self._choose_request(callers, number)
            self._tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(gap_s)

    def _choose_request(
        self, callers: Callers, number: int
    ) -> Coroutine[Any, Any, None]:
        team = self._rng.choice(self._document.teams).name
        key = f'example-key-{team}'
        draw = self._rng.random()
        if draw < 0.5:
            # Each manifest belongs to one team, which sends it repeatedly.
            manifest = self._rng.randrange(MANIFESTS)
            owner = self._document.teams[manifest % len(self._document.teams)]
            return callers.reconcile(f'example-key-{owner.name}', manifest)
        if draw < 0.75:
            return callers.tag(key, number)
        return callers.credit(key, f'credit-{number}')

    async def _drain_and_restore(self) -> None:
        """Drain the first failure domain for a while, then restore it."""
        name = self._document.failure_domains[0].name
        await asyncio.sleep(self._args.seconds * 0.3)
        await self._set_domain(name, False)
        print(f'failure domain {name} is out of service')
        await asyncio.sleep(SETTLE_S)
        started = self._count_started(name)
        await asyncio.sleep(self._args.seconds * 0.25)
        self._late_work = self._count_started(name) - started
        await self._set_domain(name, True)
        print(f'failure domain {name} is back in service')

    async def _set_domain(self, name: str, in_service: bool) -> None:
        record = self._system.entry_node.holder.record
        assert record is not None
        domains = [
            msgspec.structs.replace(domain, in_service=in_service)
            if domain.name == name
            else domain
            for domain in record.document.failure_domains
        ]
        document = msgspec.structs.replace(
            record.document, failure_domains=domains
        )
        submission = Submission(
            document, 'demo', secrets.token_hex(8), record.serial, True
        )
        outcome = await submit(self._system.client(), Clock(), submission)
        outcome.unwrap()

    def _count_started(self, domain: str) -> int:
        """Return how many requests the domain's targets have received."""
        total = 0
        for service in self._document.services:
            for target in service.targets:
                if target.failure_domain != domain:
                    continue
                audit = self._system.agents[target.name].target.state.audit()
                total += len(getattr(audit, 'requests', []))
                total += len(getattr(audit, 'credits', []))
        return total


def _adjust_engine(options: EngineOptions) -> None:
    options.cache_blocks = CACHE_BLOCKS
    options.batch.speed = ENGINE_SPEED
    options.cold_duration_ms = 1000.0
    options.cold_concurrency = 2


def main(argv: list[str]) -> int:
    """Run the demonstration; return 1 if a promise was broken."""
    args = cappa.parse(Arguments, argv=argv)
    configure_logs('demo', 'ERROR', sys.stderr)
    document = read_document(Path(args.document)).unwrap()
    started = time.monotonic()
    report = asyncio.run(Demo(args, document).run())
    print('\n'.join(report.lines))
    print(f'{"seconds":<38} {time.monotonic() - started:.0f}')
    for line in report.broken:
        print(f'broken promise: {line}')
    return 1 if report.broken else 0
