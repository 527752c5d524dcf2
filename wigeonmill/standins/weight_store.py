"""A weight store that limits the rate of downloads."""

import msgspec
from tornado.iostream import StreamClosedError

from wigeonmill.clock import Clock
from wigeonmill.standins.pacer import Pacer
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinHandler
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

CHUNK_BYTES = 16_384


class WeightStoreFaults(msgspec.Struct):
    """Faults of a weight store; the next `cut_downloads` end half-way."""

    unavailable: bool = False
    cut_downloads: int = 0


class WeightStoreOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a weight store; a rate of 0 means no limit.

    The weights of every model version have `weight_bytes`. `versions` lists
    the known versions as `model/version`; if it is empty, all are known.
    """

    weight_bytes: int = 1_000_000
    bytes_per_second: int = 0
    bytes_per_second_each: int = 0
    versions: list[str] = []
    faults: WeightStoreFaults = msgspec.field(
        default_factory=WeightStoreFaults
    )


class WeightStoreAudit(msgspec.Struct):
    """Downloads by `model/version` and the numbers of concurrent ones."""

    downloads: dict[str, int] = {}
    concurrent: int = 0
    max_concurrent: int = 0
    unfinished: int = 0


class WeightStoreState:
    """The store's rates, faults and audit."""

    def __init__(self, options: WeightStoreOptions) -> None:
        self.options = options
        self.faults = options.faults
        self.stats = WeightStoreAudit()
        self.clock = Clock()
        self.link = Pacer(self.clock)

    def audit(self) -> WeightStoreAudit:
        """Return the downloads so far."""
        return self.stats

    def faults_changed(self) -> None:
        """Do nothing: faults apply from the next call on."""

    def count_start(self, name: str) -> None:
        """Count a started download."""
        stats = self.stats
        stats.downloads[name] = stats.downloads.get(name, 0) + 1
        stats.concurrent += 1
        stats.max_concurrent = max(stats.max_concurrent, stats.concurrent)


class _WeightsHandler(StandinHandler):
    state: WeightStoreState

    async def get(self, model: str, version: str) -> None:
        store = self.state
        name = f'{model}/{version}'
        if store.faults.unavailable:
            return self.reply_error(503, 'unavailable', 'out of service')
        if store.options.versions and name not in store.options.versions:
            return self.reply_error(404, 'unknown_weights', name)
        store.count_start(name)
        try:
            await self._send(store.options.weight_bytes)
        except StreamClosedError:
            store.stats.unfinished += 1
        finally:
            store.stats.concurrent -= 1
        return None

    async def _send(self, size_bytes: int) -> None:
        store = self.state
        cut = store.faults.cut_downloads > 0
        if cut:
            store.faults.cut_downloads -= 1
        download_pacer = Pacer(store.clock)
        self.set_header('Content-Length', str(size_bytes))
        remaining_bytes = size_bytes // 2 if cut else size_bytes
        while remaining_bytes > 0:
            chunk = min(remaining_bytes, CHUNK_BYTES)
            await download_pacer.throttle(
                chunk, store.options.bytes_per_second_each
            )
            await store.link.throttle(chunk, store.options.bytes_per_second)
            self.write(bytes(chunk))
            await self.flush()
            remaining_bytes -= chunk
        if cut:
            store.stats.unfinished += 1
            self.drop()


async def start_weight_store(
    options: WeightStoreOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[WeightStoreState]:
    """Start a weight store."""
    state = WeightStoreState(options)
    routes: list[Route] = [
        ('/weights/([^/]+)/([^/]+)', _WeightsHandler, {'state': state})
    ]
    return await start_server(state, routes, host, port)
