"""A key-value client whose calls stay pending until a test runs them."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from result import Result

from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvWatchBatch
from wigeonmill.standins.memory_key_value import MemoryKeyValue


@dataclass(slots=True)
class PendingCall:
    """A pending call; `start` applies it.

    A `reliable` call can be slow, but it never fails.
    """

    client: str
    label: str
    is_write: bool
    start: Callable[[], Coroutine[Any, Any, Any]]
    reply: asyncio.Future
    reliable: bool = False


Submit = Callable[[PendingCall], None]


class SteppedKeyValue:
    """One client's connection; `submit` receives each of its calls.

    Lease calls, watches and reads of `static_keys` are answered at once:
    they are not part of the exploration.
    """

    def __init__(
        self,
        client: str,
        memory: MemoryKeyValue,
        submit: Submit,
        static_keys: frozenset[str],
    ) -> None:
        self._client = client
        self._memory = memory
        self._submit = submit
        self._static_keys = static_keys

    async def get(self, key: str) -> Result[KvEntry | None, KvError]:
        if key in self._static_keys:
            return await self._memory.get(key)

        def start() -> Coroutine:
            return self._memory.get(key)

        return await self._submit_call(f'get {key}', False, start)

    async def list_prefix(
        self, prefix: str, limit: int = 0
    ) -> Result[list[KvEntry], KvError]:
        def start() -> Coroutine:
            return self._memory.list_prefix(prefix, limit)

        return await self._submit_call(f'list {prefix}', False, start)

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        def start() -> Coroutine:
            return self._memory.compare_and_swap(
                key, expected_version, value, lease
            )

        label = f'cas {key} {expected_version} {value.hex()}'
        return await self._submit_call(label, True, start)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, KvError]:
        def start() -> Coroutine:
            return self._memory.delete(key, expected_version)

        label = f'delete {key} {expected_version}'
        return await self._submit_call(label, True, start)

    async def grant_lease(self, ttl_ms: int) -> Result[int, KvError]:
        return await self._memory.grant_lease(ttl_ms)

    async def keep_alive(self, lease: int) -> Result[None, KvError]:
        return await self._memory.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        return await self._memory.revoke_lease(lease)

    async def watch(
        self, prefix: str, from_revision: int, wait_ms: int
    ) -> Result[KvWatchBatch, KvError]:
        return await self._memory.watch(prefix, from_revision, wait_ms)

    async def _submit_call(
        self, label: str, is_write: bool, start: Callable[[], Coroutine]
    ) -> Any:
        reply = asyncio.get_running_loop().create_future()
        call = PendingCall(self._client, label, is_write, start, reply)
        self._submit(call)
        return await reply
