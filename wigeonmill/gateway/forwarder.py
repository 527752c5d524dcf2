"""Admits callers' requests and runs them."""

import logging

from result import Err
from result import Ok
from result import Result

from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import TargetClient

logger = logging.getLogger(__name__)

# A process that has just started has received its configuration by then.
STARTING_RETRY_AFTER_MS = 500.0

Admission = tuple[Route, Team | None]


class Forwarder:
    """Forwards each request to a target or refuses it."""

    def __init__(
        self,
        ctx: GatewayContext,
        client: TargetClient,
        picker: Picker,
        planner: CachePlanner,
    ) -> None:
        self._ctx = ctx
        self._client = client
        self._picker = picker
        self._planner = planner

    async def serve(self, req: CallerRequest, channel: CallerChannel) -> None:
        """Answer `req` on `channel`."""
        if self._ctx.desired.state is None and self._ctx.start_hold.enabled:
            end = await self._ctx.start_hold.wait(req)
            self._ctx.metrics.count('gateway_start_holds', end.value)
        admitted = self._admit(req, len(req.body))
        if isinstance(admitted, Err):
            refusal = admitted.err_value
            self._ctx.metrics.count('gateway_refusals', refusal.reason.value)
            logger.info(
                'request finished',
                extra={
                    'request_id': req.id,
                    'outcome': 'refused',
                    'reason': refusal.reason.value,
                    'detail': refusal.message,
                    'version': self._config_version(),
                },
            )
            channel.refuse(refusal)
            return
        route, team = admitted.ok_value
        run = RequestRun(
            self._ctx,
            self._client,
            self._picker,
            self._planner,
            req,
            route,
            team,
            channel,
        )
        channel.track(run.progress)
        await run.run()

    def check_head(self, req: CallerRequest, size: int) -> Refusal | None:
        """Return why a request with a body of `size` bytes is not served.

        `req` is without its body. Without a configuration nothing is known.
        """
        if self._ctx.desired.state is None:
            return None
        return self._admit(req, size).err()

    def _admit(
        self, req: CallerRequest, size: int
    ) -> Result[Admission, Refusal]:
        desired = self._ctx.desired
        if desired.state is None:
            return Err(
                Refusal(
                    Reason.NO_CONFIGURATION,
                    'no configuration is known yet',
                    STARTING_RETRY_AFTER_MS,
                )
            )
        route = desired.table.match(req.host, req.path)
        if route is None:
            return Err(Refusal(Reason.NO_ROUTE, 'no such route'))
        team = desired.table.team_of(req.key) if req.key else None
        if team is None and desired.table.needs_key and not route.public:
            return Err(Refusal(Reason.UNKNOWN_KEY, 'unknown key'))
        if size > desired.state.limits.body_bytes:
            return Err(Refusal(Reason.BODY_TOO_LARGE, 'the body is too large'))
        return Ok((route, team))

    def _config_version(self) -> int | None:
        state = self._ctx.desired.state
        return state.version if state else None
