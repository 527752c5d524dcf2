"""Defines what a platform's adapter provides to the gateway."""

from dataclasses import dataclass

from wigeonmill.gateway.caller_codec import CallerCodec
from wigeonmill.gateway.changes import RecordDecoder
from wigeonmill.gateway.engine_orders import EngineOrders
from wigeonmill.gateway.software_rollout import RolloutStatuses
from wigeonmill.gateway.store_watch import CacheStores
from wigeonmill.gateway.sync import RecordSource
from wigeonmill.gateway.target_client import TargetCodec
from wigeonmill.providers.key_value import LeasedKeys


@dataclass(frozen=True, slots=True)
class Adapter:
    """The codecs and clients of a platform's protocols."""

    source: RecordSource
    decoder: RecordDecoder
    targets: TargetCodec
    callers: CallerCodec
    keys: LeasedKeys
    engines: EngineOrders
    caches: CacheStores
    rollouts: RolloutStatuses
    ready_path: str
