"""An entry that sends requests to one target over real connections."""

import asyncio
import random

from alliance.targets import AllianceTargets
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_record
from tests.gateway.samples import make_state
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import TransferLoop

TIMEOUT_S = 30.0


class RealEntry:
    """Runs requests at the target at an address; there are `count` entries."""

    def __init__(self, clock, transfers, address, count=1, seed=1):
        rng = random.Random(seed)
        self.ctx = GatewayContext(
            clock, rng, Metrics(), RetryLimits(1.0, 99.0), lambda: count
        )
        self.ctx.desired.adopt(make_state())
        self.ctx.directory.apply(make_record(address=address))
        self._client = TargetClient(
            transfers, AllianceTargets(), clock, self.ctx.notices
        )
        self._picker = Picker(
            clock,
            rng,
            self.ctx.directory,
            self.ctx.circuits,
            self.ctx.desired.is_domain_closed,
        )

    async def send(self, req, route):
        """Run a request to its end; return the channel of its caller."""
        channel = FakeChannel()
        run = RequestRun(
            self.ctx,
            self._client,
            self._picker,
            NoCache(),
            req,
            route,
            None,
            channel,
        )
        await run.run()
        return channel

    async def send_for(self, duration_ms, interval_ms, make_request, route):
        """Start a request each interval and wait for all of them."""
        clock = self.ctx.clock
        runs = []
        end_ms = clock.now_ms() + duration_ms
        while clock.now_ms() < end_ms:
            req = make_request(arrived_ms=clock.now_ms())
            runs.append(asyncio.ensure_future(self.send(req, route)))
            await asyncio.sleep(interval_ms / 1_000.0)
        await asyncio.gather(*runs)


async def serve_and(serve, check):
    """Return `check(address, transfers)` while `serve` handles connections."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transfers = TransferLoop()
    try:
        return await asyncio.wait_for(
            check(f'127.0.0.1:{port}', transfers), TIMEOUT_S
        )
    finally:
        transfers.close()
        server.close()
