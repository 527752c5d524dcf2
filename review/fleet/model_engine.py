"""A stand-in of the engines of a model."""

from review.fleet.engine import Engine
from review.fleet.engine import Run
from review.fleet.http11 import Reply
from review.fleet.http11 import Request
from review.fleet.store import Store

MODEL = 'model0'
EVENTS = 3


class ModelEngine(Engine):
    """Answers with a stream of events; `work_s` is by the path's prefix."""

    def __init__(
        self,
        store: Store,
        zone: str,
        runs: list[Run],
        work_by_prefix: dict[str, float],
    ) -> None:
        super().__init__(store, 'llm', zone, runs, 0.0, capacity=64)
        self._work_by_prefix = work_by_prefix
        # The time before each event.
        self.pause_s = 0.0

    def entry(self) -> dict[str, object]:
        """Return what it says of itself besides its address."""
        models = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return {'stage': 'colocated', 'models': models}

    def work_s(self, req: Request) -> float:
        """Return how long a request runs."""
        for prefix, work_s in self._work_by_prefix.items():
            if req.target.startswith(prefix):
                return work_s
        return 0.0

    async def _run(self, req: Request, headers: dict[str, str]) -> Reply:
        reply = await super()._run(req, headers)
        reply.headers['Content-Type'] = 'text/event-stream'
        reply.headers['Weight-Versions'] = '1'
        reply.body = b''
        reply.parts = [
            (self.pause_s, f'id: {number}\ndata: x\n\n'.encode())
            for number in range(1, EVENTS + 1)
        ]
        return reply


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


def stream_route(name: str, prefix: str) -> dict[str, object]:
    """Return a route of streams that may not be resumed."""
    return {
        'name': name,
        'host': 'desk.example',
        'prefix': prefix,
        'kind': 'streaming',
        'timeoutMs': 3000,
        'sloMs': 1000,
        'priority': 0,
        'service': 'llm',
        'attempts': 1,
        'public': False,
        'sticky': True,
        'canResume': False,
        'gapAimMs': 400,
    }
