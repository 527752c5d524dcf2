"""A process knows how long it has run on the platform's clocks."""

import asyncio
import random
import time

from alliance.caches import AllianceCaches
from alliance.callers import AllianceCallers
from alliance.engines import AllianceEngines
from alliance.records import AllianceRecords
from alliance.store import AllianceStore
from alliance.targets import AllianceTargets
from wigeonmill.clock import Clock
from wigeonmill.gateway.adapter import Adapter
from wigeonmill.gateway.role import GatewayRole
from wigeonmill.gateway.settings import GatewaySettings
from wigeonmill.providers.transfers import TransferLoop

SETTINGS = GatewaySettings(
    process='entry-1',
    failure_domain='d1',
    region='r1',
    regions={'d1': 'r1'},
    callers='127.0.0.1:1',
    ready='127.0.0.1:2',
    inner='127.0.0.1:3',
    key_value='127.0.0.1:4',
)
# The platform's processor clock of a process that has just started.
PROCESSOR_S = 40_000.0


async def make_role(uptime_ms=0.0):
    transfers = TransferLoop()
    store = AllianceStore(SETTINGS.key_value, transfers)
    return GatewayRole(
        SETTINGS,
        Adapter(
            source=store,
            decoder=AllianceRecords(),
            targets=AllianceTargets(),
            callers=AllianceCallers(),
            keys=store,
            engines=AllianceEngines(transfers),
            caches=AllianceCaches(transfers),
            ready_path='/ready',
        ),
        transfers,
        Clock(),
        random.Random(1),
        lambda: None,
        uptime_ms,
    )


# Guards against refusals without need: the platform's processor clock does
# not begin at the start of a process, so no entry has a grace time.
def test_the_time_of_old_weights_does_not_depend_on_the_processor_clock(
    monkeypatch,
):
    monkeypatch.setattr(time, 'process_time', lambda: PROCESSOR_S)
    role = asyncio.run(make_role())
    assert role._ctx.desired.uptime_ms < PROCESSOR_S * 1_000.0


def test_the_imports_count_as_part_of_the_start():
    role = asyncio.run(make_role(uptime_ms=700.0))
    assert 700.0 <= role._ctx.desired.uptime_ms < 1_700.0
