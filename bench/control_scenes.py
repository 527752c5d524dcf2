"""The scenes of the control benchmark; each runs on a started fleet."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import statistics
import time

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from bench.control_fleet import ControlFleet
from bench.control_fleet import Daemon
from bench.control_fleet import DOMAINS
from bench.control_fleet import SERVICE
from bench.control_fleet import TEAM
from bench.processes import wait_until

Figures = dict[str, float]

IDLE_S = 20.0
SETTLE_S = 3.0
CHANGES = 8
DAY_S = 86_400.0
CHANGES_PER_DAY = 1_600.0
# The busy phase has twenty times the rate of changes of a day.
BUSY_PAUSE_S = DAY_S / CHANGES_PER_DAY / 20.0
IN_FORCE_TIMEOUT_S = 20.0
OUTAGE_S = 60.0
RESTARTED_SHARE = 0.1
LOST_SHARE = 0.1
LOSS_ROUNDS = 12
LOSS_DELAY_MS = 10.0
DRAIN_LIMIT_S = 3.0
READS_PER_S = 40.0
DRAIN_WATCH_S = 4.0


class _Usage:
    """The resources that every process has used up to one time."""

    def __init__(self, fleet: ControlFleet) -> None:
        self._fleet = fleet
        self.at_s = 0.0
        self.cpu_s: dict[str, float] = {}
        self.readers: set[str] = set()
        self.traffic: dict[str, float] = {}
        self.calls: dict[str, int] = {}

    async def collect(self) -> '_Usage':
        """Read all counters; return this object."""
        readings = await self._fleet.read()
        self.traffic = {
            name: r.metric('inner_sent_bytes')
            + r.metric('inner_received_bytes')
            for name, r in readings.items()
        }
        self.readers = {
            name for name, r in readings.items() if r.metric('config_reader')
        }
        self.calls = await self._fleet.key_value_calls()
        self.at_s = time.monotonic()
        self.cpu_s = {
            daemon.name: daemon.process.cpu_seconds()
            for daemon in self._fleet.daemons.values()
        }
        return self


async def idle(fleet: ControlFleet) -> Figures:
    """Measure the fleet without any change."""
    await asyncio.sleep(SETTLE_S)
    before = await _Usage(fleet).collect()
    await asyncio.sleep(IDLE_S)
    after = await _Usage(fleet).collect()
    return _costs(fleet, 'idle', before, after) | _memory(fleet)


async def changes(fleet: ControlFleet) -> Figures:
    """Change one team at a time, at twenty times the rate of a day."""
    figures = await idle(fleet)
    delays_ms: list[float] = []
    before = await _Usage(fleet).collect()
    for _change in range(CHANGES):
        start_s = time.monotonic()
        await fleet.change_team()
        delays_ms += await _wait_in_force(fleet)
        remaining_s = BUSY_PAUSE_S - (time.monotonic() - start_s)
        await asyncio.sleep(max(remaining_s, 0.0))
    after = await _Usage(fleet).collect()
    figures |= _costs(fleet, 'busy', before, after)
    figures |= _delay_figures('in_force', delays_ms)
    for name in ('core_share', 'bytes_per_s'):
        quiet = figures[f'idle_{name}_mean']
        busy = figures[f'busy_{name}_mean']
        figures[f'day_{name}'] = quiet + max(busy - quiet, 0.0) / 20.0
    return figures | _memory(fleet)


async def restarts(fleet: ControlFleet) -> Figures:
    """Kill and restart a tenth of the processes during a change, twice."""
    names = list(fleet.daemons)
    count = max(int(len(names) * RESTARTED_SHARE), 1)
    delays_ms: list[float] = []
    for victims in (names[-count:], names[-2 * count : -count]):
        for name in victims:
            fleet.daemons[name].process.kill()
        await fleet.change_team()
        others = [name for name in names if name not in victims]
        delays_ms += await _wait_in_force(fleet, others)
        for name in victims:
            fleet.restart(name)
    start_s = time.monotonic()
    await fleet.wait_joined()
    figures = _delay_figures('restart_in_force', delays_ms)
    figures['restart_rejoin_s'] = time.monotonic() - start_s
    return figures


async def outage(fleet: ControlFleet) -> Figures:
    """Take the key-value service down and restart a process meanwhile."""
    await fleet.set_faults(fleet.key_value.address, outage=True)
    before = await _Usage(fleet).collect()
    await asyncio.sleep(OUTAGE_S / 2)
    victim = list(fleet.daemons)[-1]
    fleet.daemons[victim].process.kill()
    fleet.restart(victim)
    start_s = time.monotonic()

    async def configured() -> bool:
        found = await fleet.read([victim])
        return victim in found and found[victim].serial == fleet.serial

    await wait_until(configured)
    cold_start_s = time.monotonic() - start_s
    await asyncio.sleep(OUTAGE_S / 2)
    after = await _Usage(fleet).collect()
    await fleet.set_faults(fleet.key_value.address, outage=False)
    await fleet.change_team()
    delays_ms = await _wait_in_force(fleet)
    calls = sum(after.calls.values()) - sum(before.calls.values())
    figures = _delay_figures('outage_in_force', delays_ms)
    figures['outage_cold_start_s'] = cold_start_s
    figures['outage_key_value_calls_per_s'] = calls / (
        after.at_s - before.at_s
    )
    return figures


async def loss(fleet: ControlFleet) -> Figures:
    """Drop all traffic of a tenth of the processes, in turn."""
    daemons = list(fleet.daemons.values())
    for daemon in daemons:
        control = daemon.proxy_control
        await fleet.set_faults(control, delay_ms=LOSS_DELAY_MS)
    count = max(int(len(daemons) * LOST_SHARE), 1)
    delays_ms: list[float] = []
    for round_number in range(LOSS_ROUNDS):
        start = round_number * count % len(daemons)
        dropping = daemons[start : start + count]
        for daemon in dropping:
            await fleet.set_faults(daemon.proxy_control, drop=True)
        await fleet.change_team()
        delays_ms += await _wait_in_force(fleet)
        for daemon in dropping:
            await fleet.set_faults(
                daemon.proxy_control, drop=False, reset=True
            )
    return _delay_figures('loss_in_force', delays_ms)


async def drain(fleet: ControlFleet) -> Figures:
    """Drain a failure domain under load while one process is paused."""
    domain = DOMAINS[0][0]
    stop = asyncio.Event()
    failures: list[int] = []
    callers = asyncio.ensure_future(_send_reads(fleet, stop, failures))
    figures: Figures = {'drain_new_work_after_3_s': 0.0}
    first = await _count_reads(fleet, domain)
    delays_ms: list[float] = []
    for paused in _processes_to_pause(fleet, domain):
        await asyncio.sleep(1.0)
        paused.process.signal(signal.SIGSTOP)
        await fleet.set_domain(domain, False)
        accepted_s = time.monotonic()
        others = [name for name in fleet.daemons if name != paused.name]
        delays_ms += await _wait_in_force(fleet, others)
        remaining_s = DRAIN_LIMIT_S - (time.monotonic() - accepted_s)
        await asyncio.sleep(max(remaining_s, 0.0))
        before = await _count_reads(fleet, domain)
        await asyncio.sleep(DRAIN_WATCH_S)
        paused.process.signal(signal.SIGCONT)
        await asyncio.sleep(DRAIN_WATCH_S)
        after = await _count_reads(fleet, domain)
        figures['drain_new_work_after_3_s'] += after - before
        await fleet.set_domain(domain, True)
        await _wait_in_force(fleet)
    stop.set()
    await callers
    figures['drain_domain_reads'] = float(
        await _count_reads(fleet, domain) - first
    )
    figures['drain_failed_reads'] = float(len(failures))
    return figures | _delay_figures('drain_in_force', delays_ms)


SCENES: dict[str, Callable[[ControlFleet], Awaitable[Figures]]] = {
    'idle': idle,
    'changes': changes,
    'restarts': restarts,
    'outage': outage,
    'loss': loss,
    'drain': drain,
}


async def _wait_in_force(
    fleet: ControlFleet, names: list[str] | None = None
) -> list[float]:
    """Return the ms from acceptance to adoption for each process.

    A process that does not adopt in time counts with the whole timeout.
    """
    wanted = names or list(fleet.daemons)
    found: dict[str, float] = {}
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while len(found) < len(wanted) and time.monotonic() < deadline:
        await asyncio.sleep(0.5)
        missing = [name for name in wanted if name not in found]
        for name, reading in (await fleet.read(missing)).items():
            if reading.serial >= fleet.serial:
                delay_ms = reading.adopted_at_ms - fleet.accepted_at_ms
                found[name] = max(delay_ms, 0.0)
    late = len(wanted) - len(found)
    return [*found.values(), *[IN_FORCE_TIMEOUT_S * 1000.0] * late]


def _delay_figures(name: str, delays_ms: list[float]) -> Figures:
    ordered = sorted(delays_ms)
    last = len(ordered) - 1
    return {
        f'{name}_ms_p50': ordered[last // 2],
        f'{name}_ms_p99': ordered[int(last * 0.99)],
        f'{name}_ms_max': ordered[last],
    }


def _costs(
    fleet: ControlFleet, phase: str, before: _Usage, after: _Usage
) -> Figures:
    elapsed_s = after.at_s - before.at_s
    shares = _rates(before.cpu_s, after.cpu_s, elapsed_s)
    traffic = _rates(before.traffic, after.traffic, elapsed_s)
    figures = {
        f'{phase}_core_share_mean': statistics.fmean(shares),
        f'{phase}_core_share_max': max(shares),
        f'{phase}_bytes_per_s_mean': statistics.fmean(traffic),
        f'{phase}_bytes_per_s_max': max(traffic),
    }
    for role, names in _roles(fleet, after).items():
        figures[f'{phase}_core_share_{role}'] = statistics.fmean(
            (after.cpu_s[name] - before.cpu_s[name]) / elapsed_s
            for name in names
        )
    kinds = set(before.calls) | set(after.calls)
    calls = {k: after.calls.get(k, 0) - before.calls.get(k, 0) for k in kinds}
    total = sum(calls.values())
    figures[f'{phase}_key_value_calls_per_s'] = total / elapsed_s
    for kind in sorted(kinds):
        name = f'{phase}_key_value_{kind}_per_s'
        figures[name] = calls[kind] / elapsed_s
    return figures


def _roles(fleet: ControlFleet, usage: _Usage) -> dict[str, set[str]]:
    """Return the names of readers, other entries and other agents by role."""
    entries = {daemon.name for daemon in fleet.entries()} - usage.readers
    agents = set(fleet.daemons) - entries - usage.readers
    roles = {'reader': usage.readers, 'entry': entries, 'agent': agents}
    return {role: names for role, names in roles.items() if names}


def _rates(
    before: dict[str, float], after: dict[str, float], elapsed_s: float
) -> list[float]:
    return [
        (after[name] - before[name]) / elapsed_s
        for name in before
        if name in after
    ]


def _memory(fleet: ControlFleet) -> Figures:
    sizes = {
        daemon.name: float(daemon.process.memory_bytes())
        for daemon in fleet.daemons.values()
    }
    entries = {daemon.name for daemon in fleet.entries()}
    agents = [size for name, size in sizes.items() if name not in entries]
    return {
        'memory_bytes_max': max(sizes.values()),
        'entry_memory_bytes_mean': statistics.fmean(
            sizes[name] for name in entries
        ),
        'agent_memory_bytes_mean': statistics.fmean(agents),
    }


def _processes_to_pause(fleet: ControlFleet, domain: str) -> list[Daemon]:
    entry = fleet.entries()[0]
    agent = next(
        daemon
        for daemon in fleet.daemons.values()
        if not daemon.http and daemon.settings['failure_domain'] == domain
    )
    return [entry, agent]


async def _count_reads(fleet: ControlFleet, domain: str) -> int:
    """Return how many reads the domain's ledger has served so far."""
    address = fleet.ledgers[domain].address
    audit = await fleet.get_json(f'http://{address}/audit')
    return int(audit['reads'])


async def _send_reads(
    fleet: ControlFleet, stop: asyncio.Event, failures: list[int]
) -> None:
    """Read an account through each entry in turn; record failed reads.

    Failures through the first entry do not count, as the scene pauses it.
    """
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
    entries = fleet.entries()
    open_calls: set[asyncio.Task[None]] = set()
    number = 0
    while not stop.is_set():
        number += 1
        index = number % len(entries)
        recorded = failures if index else []
        task = asyncio.ensure_future(_read(client, entries[index], recorded))
        open_calls.add(task)
        task.add_done_callback(open_calls.discard)
        await asyncio.sleep(1.0 / READS_PER_S)
    await asyncio.gather(*open_calls)
    client.close()


async def _read(
    client: CurlAsyncHTTPClient, entry: Daemon, failures: list[int]
) -> None:
    request = HTTPRequest(
        f'http://{entry.http}/v1/services/{SERVICE}/accounts/bar-7',
        headers={'Authorization': f'Bearer bench-key-{TEAM}'},
        request_timeout=15.0,
    )
    reply = await client.fetch(request, raise_error=False)
    if reply.code != 200:
        failures.append(reply.code)
