"""Runs one stand-in as a process: python -m wigeonmill.standins KIND."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
import signal
from typing import Annotated
from typing import Any

import cappa
import msgspec

from wigeonmill.runner import run_process
from wigeonmill.standins.engine import start_engine
from wigeonmill.standins.engine_core import EngineOptions
from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import start_fault_proxy
from wigeonmill.standins.key_value import KeyValueOptions
from wigeonmill.standins.key_value import start_key_value
from wigeonmill.standins.ledger import LedgerOptions
from wigeonmill.standins.ledger import start_ledger
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.store_vm import start_store_vm
from wigeonmill.standins.store_vm import StoreVmOptions
from wigeonmill.standins.vm_list import start_vm_list
from wigeonmill.standins.vm_list import VmListOptions
from wigeonmill.standins.weight_store import start_weight_store
from wigeonmill.standins.weight_store import WeightStoreOptions

END_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Kind:
    """The options type and the factory of one kind of stand-in."""

    options: type
    start: Callable[[Any, str, int], Awaitable[StandinServer]]


KINDS = {
    'fault-proxy': Kind(ProxyOptions, start_fault_proxy),
    'store-vm': Kind(StoreVmOptions, start_store_vm),
    'vm-list': Kind(VmListOptions, start_vm_list),
    'weight-store': Kind(WeightStoreOptions, start_weight_store),
    'engine': Kind(EngineOptions, start_engine),
    'key-value': Kind(KeyValueOptions, start_key_value),
    'ledger': Kind(LedgerOptions, start_ledger),
}


@dataclass
class Arguments:
    """The command line; `options` is JSON text or the path of a file."""

    kind: str
    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    port: Annotated[int, cappa.Arg(long=True)] = 0
    options: Annotated[str, cappa.Arg(long=True)] = '{}'


def read_options(kind: Kind, text: str) -> Any:
    """Return the options in JSON text or in the file that it names."""
    if not text.lstrip().startswith('{'):
        text = Path(text).read_text(encoding='utf-8')
    return msgspec.json.decode(text, type=kind.options)


async def serve(kind: Kind, args: Arguments) -> None:
    """Serve until SIGTERM or SIGINT.

    The first line of output is `ready ADDRESS`, or for a proxy `ready
    ADDRESS CONTROL_ADDRESS`.
    """
    options = read_options(kind, args.options)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    server = await kind.start(options, args.host, args.port)
    print(
        f'ready {server.address} {server.control_address}'.rstrip(), flush=True
    )
    await stop.wait()
    await server.stop()


def main() -> None:
    """Parse the command line and serve."""
    args = cappa.parse(Arguments)
    kind = KINDS.get(args.kind)
    if kind is None:
        raise SystemExit(f'kind must be one of: {", ".join(sorted(KINDS))}')
    try:
        run_process(serve(kind, args), END_TIMEOUT_S)
    except (OSError, msgspec.MsgspecError) as exc:
        raise SystemExit(str(exc)) from exc


if __name__ == '__main__':
    main()
