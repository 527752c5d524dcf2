"""What a platform's adapter gives the gateway."""

from dataclasses import dataclass

from wigeonmill.gateway.changes import RecordDecoder
from wigeonmill.gateway.engine_orders import EngineOrders
from wigeonmill.gateway.server import CallerCodec
from wigeonmill.gateway.store_watch import CacheStores
from wigeonmill.gateway.sync import RecordSource
from wigeonmill.gateway.target_client import TargetCodec
from wigeonmill.providers.key_value import LeasedKeys


@dataclass(frozen=True, slots=True)
class Adapter:
    """What speaks the platform's wire."""

    source: RecordSource
    decoder: RecordDecoder
    targets: TargetCodec
    callers: CallerCodec
    keys: LeasedKeys
    engines: EngineOrders
    caches: CacheStores
    ready_path: str
