"""Orders to a stand-in engine: load weights, change role."""

import asyncio

from result import Err

from wigeonmill.providers.weight_store import HttpWeightStore
from wigeonmill.standins.engine_core import Engine
from wigeonmill.standins.engine_messages import Fencing
from wigeonmill.standins.engine_messages import LoadOrder
from wigeonmill.standins.engine_messages import RoleOrder

DOWNLOAD_TIMEOUT_MS = 600_000


def accept_load(engine: Engine, order: LoadOrder) -> str:
    """Start to load weights; return the reason for a refusal or ''."""
    if engine.loading:
        return 'load_in_progress'
    reason = _check_fencing(engine, order.fencing)
    if reason:
        return reason
    engine.stats.loads.append(order)
    engine.loading = True
    engine.spawn(_load(engine, order))
    return ''


def accept_role(engine: Engine, order: RoleOrder) -> str:
    """Change the role; return the reason for a refusal or ''."""
    reason = _check_fencing(engine, order.fencing)
    if not reason:
        engine.role = order.role
    return reason


def _check_fencing(engine: Engine, fencing: Fencing) -> str:
    if fencing >= engine.fencing:
        engine.fencing = fencing
        return ''
    if engine.options.checks_fencing:
        engine.stats.stale_orders_refused += 1
        return 'stale_fencing'
    engine.stats.stale_orders_applied += 1
    return ''


async def _load(engine: Engine, order: LoadOrder) -> None:
    incarnation = engine.incarnation
    error = await _download(engine, order)
    await asyncio.sleep(engine.options.load_ms / 1000.0)
    if engine.incarnation != incarnation:
        return
    engine.loading = False
    engine.last_load_error = error
    if not error:
        engine.adapters = list(order.adapters)
        engine.replace_weights(order.model, order.weight_version)


async def _download(engine: Engine, order: LoadOrder) -> str:
    address = engine.options.weight_store
    if not address:
        return ''
    store = HttpWeightStore(address, DOWNLOAD_TIMEOUT_MS, engine.clock)
    try:
        outcome = await store.download(order.model, order.weight_version)
    finally:
        store.close()
    if isinstance(outcome, Err):
        return f'{outcome.err_value.kind.value}: {outcome.err_value.message}'
    return ''
