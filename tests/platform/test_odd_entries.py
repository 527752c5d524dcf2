"""Requests are served beside odd entries among those of the targets."""

import asyncio
import json

import pytest

from alliance.records import AllianceRecords
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from wigeonmill.clock import Clock
from wigeonmill.gateway.changes import TargetListed
from wigeonmill.gateway.mirror import Record

ANSWER = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: x\r\nRequest-Id: %s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
ODD_ADDRESSES = ('127.0.0.1:99999', '127.0.0.1:\u0663', 'a b', '\ud800:1')


class SoundTarget:
    """Answers each request."""

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b'\r\n\r\nbody'):
                request_id = head.split(b'Request-Id: ')[1].split(b'\r')[0]
                writer.write(ANSWER % request_id)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def send_all(entry, count=12):
    """Return the statuses of requests that are sent one after the other."""
    statuses = []
    for number in range(count):
        request_id = f'q{number}'
        req = make_request(
            id=request_id,
            arrived_ms=entry.ctx.clock.now_ms(),
            fields=(('Request-Id', request_id),),
        )
        channel = await entry.send(req, make_route(max_targets=3))
        statuses.append(channel.status)
    return statuses


# Guards against LOST: the HTTP client refused the address of an odd entry, and
# each request that the gateway sent there first got an error.
@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_a_target_with_an_odd_address_does_not_fail_requests(address):
    async def check(sound, transfers):
        entry = RealEntry(Clock(), transfers, sound)
        for number in range(2):
            odd = make_record(f'odd{number}', address=address)
            entry.ctx.directory.apply(odd)
        return await send_all(entry)

    statuses = asyncio.run(serve_and(SoundTarget().serve, check))
    assert statuses == [200] * 12


@pytest.mark.parametrize('address', ODD_ADDRESSES[:3])
def test_an_entry_with_an_odd_address_is_not_listed(address):
    value = {
        'service': LEDGER,
        'address': address,
        'zone': 'd0',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 1,
    }
    data = json.dumps(value).encode()
    change = AllianceRecords().decode(Record('servers/odd', 1, data))
    assert not isinstance(change, TargetListed)


REQUIRED = (
    'service',
    'address',
    'zone',
    'version',
    'capacity',
    'state',
    'coldLeftMs',
    'sequence',
)


# Guards against CONFIG: an entry of another writer, without some of the fields
# that name a target, took the target at its address out of service, and did so
# for ten minutes after it had been removed.
@pytest.mark.parametrize('missing', REQUIRED)
@pytest.mark.parametrize('value', ['missing', None, {}, [1]])
def test_an_entry_without_a_field_hides_no_target(missing, value):
    async def check(sound, transfers):
        entry = RealEntry(Clock(), transfers, sound)
        (target,) = entry.ctx.directory.of_service(LEDGER)
        odd = {
            'service': LEDGER,
            'address': target.address,
            'zone': target.failure_domain,
            'version': 'v1',
            'capacity': 4,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 1,
            'born': target.started_at_ms + 1,
        }
        odd[missing] = value
        if value == 'missing':
            del odd[missing]
        record = Record('servers/odd', 1, json.dumps(odd).encode())
        change = AllianceRecords().decode(record)
        assert not isinstance(change, TargetListed)
        return await send_all(entry, count=2)

    assert asyncio.run(serve_and(SoundTarget().serve, check)) == [200] * 2
