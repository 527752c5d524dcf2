"""The HTTP interface of a stand-in engine's prefix cache."""

import asyncio

from tornado.iostream import StreamClosedError

from wigeonmill.standins.engine_core import Engine
from wigeonmill.standins.engine_messages import CacheEvents
from wigeonmill.standins.engine_messages import CacheListing
from wigeonmill.standins.engine_stream import RunHandler
from wigeonmill.standins.kv_blocks import BlockFault
from wigeonmill.standins.kv_blocks import check_block
from wigeonmill.standins.kv_blocks import encode_block

CHUNK_BYTES = 65_536
# The key of another block. With `reuse_exports`, an export carries the content
# of that block, as if its memory had been reused during the export.
REUSED_KEY = 'ff' * 32


class _ListingHandler(RunHandler):
    def get(self) -> None:
        engine = self.state
        self.reply(
            CacheListing(
                engine.incarnation,
                engine.cache.log.next_sequence,
                engine.cache.keys(),
            )
        )


class _EventsHandler(RunHandler):
    async def get(self) -> None:
        engine = self.state
        since = int(self.get_query_argument('since', '1'))
        wait_ms = float(self.get_query_argument('wait_ms', '0'))
        incarnation = engine.incarnation
        cache_events, next_number = await engine.cache.log.poll_from(
            since, wait_ms
        )
        self.reply(CacheEvents(incarnation, cache_events, next_number))


class _BlockHandler(RunHandler):
    async def get(self, key: str) -> None:
        engine = self.state
        if key not in engine.cache:
            return self.reply_error(404, 'unknown_block', key)
        engine.stats.exports[key] = engine.stats.exports.get(key, 0) + 1
        data = _export_content(engine, key)
        self.set_header('Content-Type', 'application/octet-stream')
        self.set_header('Content-Length', str(len(data)))
        if engine.faults.truncate_exports > 0:
            engine.faults.truncate_exports -= 1
            self.write(data[: len(data) // 2])
            await self.flush()
            return self.drop()
        return await self._send(data)

    async def put(self, key: str) -> None:
        engine = self.state
        data = self.request.body
        await _transfer_delay(engine, len(data))
        stats = engine.stats
        stats.imports[key] = stats.imports.get(key, 0) + 1
        fault = check_block(data, key, engine.weight_version)
        if fault is BlockFault.FOREIGN:
            stats.foreign_imports += 1
        elif fault is BlockFault.STALE_VERSION:
            stats.stale_version_imports += 1
        elif fault is BlockFault.CORRUPT:
            stats.corrupt_imports += 1
        if not engine.cache.put(key, data if fault else None):
            return self.reply_error(507, 'cache_full', key)
        return self.set_status(204)

    async def _send(self, data: bytes) -> None:
        try:
            for start in range(0, len(data), CHUNK_BYTES):
                chunk = data[start : start + CHUNK_BYTES]
                await _transfer_delay(self.state, len(chunk))
                self.write(chunk)
                await self.flush()
        except StreamClosedError:
            return


def _export_content(engine: Engine, key: str) -> bytes:
    wrong = engine.cache.wrong_content(key)
    if wrong is not None:
        return wrong
    if engine.faults.reuse_exports > 0:
        engine.faults.reuse_exports -= 1
        key = REUSED_KEY
    size = engine.options.block_bytes
    return encode_block(key, engine.weight_version, size)


async def _transfer_delay(engine: Engine, size: int) -> None:
    rate = engine.options.transfer_bytes_per_second
    if rate > 0:
        await asyncio.sleep(size / rate)


CACHE_ROUTES: list[tuple[str, type[RunHandler]]] = [
    ('/cache/blocks', _ListingHandler),
    ('/cache/events', _EventsHandler),
    ('/cache/blocks/([0-9a-f]+)', _BlockHandler),
]
