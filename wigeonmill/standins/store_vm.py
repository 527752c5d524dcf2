"""A store VM with blocks in memory and on disk behind one limited link."""

import collections
import enum

import msgspec
from tornado.iostream import StreamClosedError

from wigeonmill.clock import Clock
from wigeonmill.providers.block_store import StoreFill
from wigeonmill.standins.pacer import Pacer
from wigeonmill.standins.server import delay
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinHandler
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

CHUNK_BYTES = 16_384


class StoreVmFaults(msgspec.Struct):
    """Faults of a store VM; a count is the number of calls it affects.

    `truncate_puts` calls store only half of a block and report success.
    `cut_gets` calls end half-way, `alter_gets` calls change one byte.
    `wipe` empties the store once. A `link_bytes_per_second` of 0 means no
    limit.
    """

    link_bytes_per_second: int = 0
    delay_ms: float = 0.0
    truncate_puts: int = 0
    cut_gets: int = 0
    alter_gets: int = 0
    full: bool = False
    unavailable: bool = False
    wipe: bool = False


class StoreVmOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a store VM; a disk rate of 0 means no limit."""

    name: str = 'store'
    memory_bytes: int = 64_000_000
    disk_bytes: int = 256_000_000
    disk_bytes_per_second: int = 0
    faults: StoreVmFaults = msgspec.field(default_factory=StoreVmFaults)


class Tier(enum.Enum):
    """The storage tier of a block."""

    MEMORY = 'memory'
    DISK = 'disk'


class StoreVmAudit(msgspec.Struct):
    """Counts of the calls and transferred bytes so far.

    `rewritten` counts puts of a name that was already stored.
    """

    puts: int = 0
    gets: int = 0
    misses: int = 0
    deletes: int = 0
    refused_full: int = 0
    rewritten: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class StoreVmState:
    """The blocks of both tiers, the link and the audit."""

    def __init__(self, options: StoreVmOptions) -> None:
        self.options = options
        self.faults = options.faults
        self.stats = StoreVmAudit()
        clock = Clock()
        self.link = Pacer(clock)
        self.disk_link = Pacer(clock)
        self._tiers: dict[Tier, collections.OrderedDict[str, bytes]] = {
            tier: collections.OrderedDict() for tier in Tier
        }
        self._sizes = dict.fromkeys(Tier, 0)

    def audit(self) -> StoreVmAudit:
        """Return the counts so far."""
        return self.stats

    def faults_changed(self) -> None:
        """Empty the store if `wipe` was set."""
        if self.faults.wipe:
            self.faults.wipe = False
            for tier in Tier:
                self._tiers[tier].clear()
                self._sizes[tier] = 0

    def put(self, name: str, data: bytes) -> bool:
        """Store a block; return False if it does not fit."""
        if self.find_tier(name) is not None:
            self.stats.rewritten += 1
            self.delete(name)
        limit = self.options.memory_bytes + self.options.disk_bytes
        used = sum(self._sizes.values())
        if self.faults.full or used + len(data) > limit:
            self.stats.refused_full += 1
            return False
        self._add(Tier.MEMORY, name, data)
        self._spill_to_disk()
        return True

    def find_tier(self, name: str) -> Tier | None:
        """Return the tier of a block, or None if it is not stored."""
        return next((t for t in Tier if name in self._tiers[t]), None)

    def read(self, name: str, tier: Tier) -> bytes:
        """Return a block and mark it as recently used."""
        self._tiers[tier].move_to_end(name)
        return self._tiers[tier][name]

    def delete(self, name: str) -> bool:
        """Remove a block; return False if it is not stored."""
        tier = self.find_tier(name)
        if tier is None:
            return False
        data = self._tiers[tier].pop(name)
        self._sizes[tier] -= len(data)
        return True

    def fill(self) -> StoreFill:
        """Return the use of each tier and the number of blocks."""
        return StoreFill(
            self._sizes[Tier.MEMORY],
            self.options.memory_bytes,
            self._sizes[Tier.DISK],
            self.options.disk_bytes,
            sum(len(blocks) for blocks in self._tiers.values()),
        )

    def _add(self, tier: Tier, name: str, data: bytes) -> None:
        self._tiers[tier][name] = data
        self._sizes[tier] += len(data)

    def _spill_to_disk(self) -> None:
        while self._sizes[Tier.MEMORY] > self.options.memory_bytes:
            name, data = self._tiers[Tier.MEMORY].popitem(last=False)
            self._sizes[Tier.MEMORY] -= len(data)
            self._add(Tier.DISK, name, data)


class _Handler(StandinHandler):
    state: StoreVmState

    async def prepare(self) -> None:
        await delay(self.state.faults.delay_ms)
        if self.state.faults.unavailable:
            self.reply_error(503, 'unavailable', 'out of service')
            self.finish()


class _BlockHandler(_Handler):
    async def put(self, name: str) -> None:
        store = self.state
        data = self.request.body
        store.stats.puts += 1
        store.stats.bytes_in += len(data)
        await store.link.throttle(
            len(data), store.faults.link_bytes_per_second
        )
        if store.faults.truncate_puts > 0:
            store.faults.truncate_puts -= 1
            data = data[: len(data) // 2]
        if not store.put(name, data):
            return self.reply_error(507, 'full', 'no room for the block')
        return self.set_status(201)

    async def get(self, name: str) -> None:
        store = self.state
        store.stats.gets += 1
        tier = store.find_tier(name)
        if tier is None:
            store.stats.misses += 1
            return self.reply_error(404, 'unknown_block', name)
        data = self._altered(store.read(name, tier))
        self.set_header('Content-Type', 'application/octet-stream')
        self.set_header('Content-Length', str(len(data)))
        try:
            return await self._send(data, tier)
        except StreamClosedError:
            return None

    def delete(self, name: str) -> None:
        self.state.stats.deletes += 1
        if not self.state.delete(name):
            return self.reply_error(404, 'unknown_block', name)
        return self.set_status(204)

    def _altered(self, data: bytes) -> bytes:
        if self.state.faults.alter_gets <= 0 or not data:
            return data
        self.state.faults.alter_gets -= 1
        changed = bytearray(data)
        changed[-1] ^= 0x01
        return bytes(changed)

    async def _send(self, data: bytes, tier: Tier) -> None:
        store = self.state
        cut = store.faults.cut_gets > 0
        if cut:
            store.faults.cut_gets -= 1
            data = data[: len(data) // 2]
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            if tier is Tier.DISK:
                rate = store.options.disk_bytes_per_second
                await store.disk_link.throttle(len(chunk), rate)
            rate = store.faults.link_bytes_per_second
            await store.link.throttle(len(chunk), rate)
            store.stats.bytes_out += len(chunk)
            self.write(chunk)
            await self.flush()
        if cut:
            self.drop()


class _FillHandler(_Handler):
    def get(self) -> None:
        self.reply(self.state.fill())


async def start_store_vm(
    options: StoreVmOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[StoreVmState]:
    """Start a store VM."""
    state = StoreVmState(options)
    handler_args = {'state': state}
    routes: list[Route] = [
        ('/blocks/([^/]+)', _BlockHandler, handler_args),
        ('/fill', _FillHandler, handler_args),
    ]
    return await start_server(state, routes, host, port)
