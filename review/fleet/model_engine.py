"""A stand-in of a model engine that caches the parts of prompts."""

import asyncio
from dataclasses import dataclass

from review.fleet.engine import Engine
from review.fleet.engine import Run
from review.fleet.http11 import Reply
from review.fleet.http11 import Request
from review.fleet.store import Store

EVENTS = 5


@dataclass
class Use:
    """A part that a request did not prefill, as another one had made it."""

    request_id: str
    engine: str
    at_s: float
    tenant: str
    salt: str
    part: str
    maker: str


class ModelEngine(Engine):
    """Finds cached parts under the salt that the request bears."""

    def __init__(
        self, store: Store, zone: str, runs: list[Run], uses: list[Use]
    ) -> None:
        super().__init__(store, 'llm', zone, runs, 0.05, capacity=64)
        self._uses = uses
        # The tenant whose request made a part, by salt and part.
        self._makers: dict[tuple[str, str], str] = {}

    def entry(self) -> dict[str, object]:
        """Return what it says of itself besides its address."""
        models = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return {'stage': 'colocated', 'models': models}

    async def _run(self, req: Request, headers: dict[str, str]) -> Reply:
        self._look_up(req)
        reply = await super()._run(req, headers)
        reply.headers['Content-Type'] = 'text/event-stream'
        reply.headers['Weight-Versions'] = '1'
        events = [f'id: {n}\ndata: x\n\n' for n in range(1, EVENTS + 1)]
        reply.body = ''.join(events).encode()
        return reply

    def _look_up(self, req: Request) -> None:
        """Use the leading parts that are cached, and make the others."""
        salt = req.headers.get('cache-salt', '')
        tenant = req.headers.get('tenant', '')
        now_s = asyncio.get_running_loop().time()
        cached = True
        for entry in req.headers['prefix-hash'].split(','):
            part = entry.partition(':')[0]
            maker = self._makers.get((salt, part))
            cached = cached and maker is not None
            if not cached or maker is None:
                self._makers[salt, part] = tenant
                continue
            id_ = req.headers.get('request-id', '')
            use = Use(id_, self.id, now_s, tenant, salt, part, maker)
            self._uses.append(use)


MODEL = 'model0'


def service() -> dict[str, object]:
    """Return the service of these engines in a desired state."""
    return {
        'name': 'llm',
        'healthPath': '/health',
        'maxConns': 370,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 3.0,
        'coldPerS': 12.0,
        'engine': {
            'capacity': 64,
            'kvTokens': 80086,
            'kvBytes': 18432,
            'linkMbps': 550000.0,
            'moves': True,
            'backups': True,
            'managed': True,
            'stride': 7,
            'maxInflight': 12,
            'pinMs': 4000.0,
            'holdMs': 2000.0,
            'handle_s': 5.0,
            'models': [{'name': MODEL}],
        },
    }
