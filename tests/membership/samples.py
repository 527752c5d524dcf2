"""Members, views and nodes for the membership tests."""

import asyncio
from contextlib import asynccontextmanager
import random

from wigeonmill.clock import Clock
from wigeonmill.clock import ManualClock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.membership.member import Member
from wigeonmill.membership.view import View
from wigeonmill.node import Node
from wigeonmill.node import TlsContexts
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.settings import Settings
from wigeonmill.standins.memory_key_value import MemoryKeyValue

KEYS = InnerKeys((b'membership-test-key',))


def make_member(name, domain='gasabo', **fields):
    return Member(
        name,
        'agent',
        f'10.0.0.1:{7000 + len(name)}',
        domain,
        'kigali',
        fields.pop('target', f't-{name}'),
        fields.pop('incarnation', 1),
        **fields,
    )


def make_view(others=(), name='me'):
    clock = ManualClock(1000.0)
    view = View(make_member(name), clock)
    for other in others:
        view.merge_update(make_member(other))
    return view, clock


class Fleet:
    """Nodes in one event loop that share an in-memory key-value service."""

    def __init__(self):
        self.key_value = MemoryKeyValue(Clock())
        self.nodes = {}
        self.serial = 0

    def start(self, name, domain='gasabo', peers=(), key_value=None):
        settings = Settings(
            name,
            ['entry'],
            failure_domain=domain,
            inner='127.0.0.1:0',
            peers=list(peers),
        )
        node = Node(
            settings,
            key_value or self.key_value,
            lambda: KEYS,
            TlsContexts(),
            Clock(),
            random.Random(len(self.nodes)),
        )
        node.start()
        self.nodes[name] = node
        return node

    async def apply(self, document):
        submission = Submission(
            document, 'test', f's{self.serial}', self.serial, force=True
        )
        accepted = await submit(self.key_value, Clock(), submission)
        self.serial = accepted.unwrap().record.serial

    async def stop(self, name):
        await self.nodes.pop(name).close()


@asynccontextmanager
async def make_fleet(names, domain='gasabo'):
    fleet = Fleet()
    try:
        peers = []
        for name in names:
            node = fleet.start(name, domain, peers)
            peers = peers or [node.address]
        yield fleet
    finally:
        for name in list(fleet.nodes):
            await fleet.stop(name)


async def until(condition, timeout_s=10.0):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        assert loop.time() < deadline, 'condition not met in time'
        await asyncio.sleep(0.01)
