"""Computes what each role stores, sends and uses at the two-year target."""

from bench.capacity_model import AGENTS
from bench.capacity_model import CHANGES_PER_DAY
from bench.capacity_model import DAY_S
from bench.capacity_model import DOMAINS
from bench.capacity_model import ENTRIES
from bench.capacity_model import FAILURES_PER_DAY
from bench.capacity_model import Measurements
from bench.capacity_model import MEMBERS
from bench.capacity_model import REQUESTS_PER_S
from bench.capacity_model import RESTARTS_PER_DAY
from bench.capacity_model import TOKENS_PER_S
from bench.capacity_table import format_value
from wigeonmill.membership.config_feed import WATCH_MS
from wigeonmill.membership.overlay import READERS_PER_DOMAIN
from wigeonmill.membership.overlay import RINGS

ROLES = ('entry', 'agent', 'reader')
CONTROL = '`bench control`'
STATE = '`bench state`'
PATH = '`bench path`'
# A restart is reported twice: the process is gone or has left, then alive.
UPDATES_PER_RESTART = 2
# Each member record is sent to and received from every neighbor.
COPIES = 2 * 2 * RINGS

Row = tuple[str, str, str, str, str, str]


def role_rows(measured: Measurements) -> list[Row]:
    """Return the rows of the table of roles."""
    return [
        *_node_rows(measured),
        *_load_rows(measured),
        *_reader_rows(measured),
    ]


def changes_per_s() -> float:
    """Return the configuration changes per second at the target."""
    return CHANGES_PER_DAY / DAY_S


def change_cpu_s(measured: Measurements) -> float:
    """Return the CPU seconds that one process spends on one change."""
    figures = ('config_give_cpu_ms', 'config_take_cpu_ms')
    total_ms = sum(measured.full_state(name) for name in figures)
    return (total_ms + measured.full_state('config_routes_cpu_ms')) / 1000.0


def member_bytes(measured: Measurements) -> float:
    """Return the size of one member record on the wire, in bytes."""
    return measured.full_state('sync_bytes') / MEMBERS


def _node_rows(measured: Measurements) -> list[Row]:
    view = measured.full_state('view_bytes_per_member') * MEMBERS
    events = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S
    rumors = events * UPDATES_PER_RESTART * member_bytes(measured) * COPIES
    idle_bytes = measured.worst('idle_bytes_per_s_mean')
    # On average, a process fetches a change once and passes it on once.
    changed = measured.full_state('config_change_bytes') * 2 * changes_per_s()
    announced = (
        measured.full_state('probe_bytes') * 2 * COPIES * changes_per_s()
    )
    added = change_cpu_s(measured) * changes_per_s()
    added += measured.full_state('membership_change_cpu_ms') / 1000 * events
    memory = '256 MB'
    return [
        (
            'entry',
            'memory, no load',
            format_value(
                measured.estimate('entry_memory_bytes_mean') / 1e6, 'MB'
            ),
            memory,
            'the document and the view, no per-peer state but neighbors',
            f'{CONTROL}, slopes over processes and teams',
        ),
        (
            'agent',
            'memory, no load',
            format_value(
                measured.estimate('agent_memory_bytes_mean') / 1e6, 'MB'
            ),
            memory,
            'the same',
            f'{CONTROL}, slopes over processes and teams',
        ),
        (
            'each process',
            f'view of {MEMBERS} members',
            format_value(view / 1e6, 'MB'),
            '-',
            'one account a member',
            STATE,
        ),
        *(_processor_row(measured, role, added) for role in ROLES),
        (
            'each process',
            'processor for control, straight line',
            format_value(
                measured.estimate('day_core_share') * 100, '% of a core'
            ),
            '1.4 %',
            'the same',
            f'{CONTROL}, slopes over processes and teams',
        ),
        (
            'each process',
            'control bytes, composed',
            format_value(
                (idle_bytes + changed + announced + rumors) / 1000, 'KB/s'
            ),
            '20 KB/s',
            f'{2 * RINGS} neighbors; rumors once; changed sections only',
            f'{CONTROL} (idle, worst), {STATE} at full size',
        ),
        (
            'each process',
            'control bytes, straight line',
            format_value(measured.estimate('day_bytes_per_s') / 1000, 'KB/s'),
            '20 KB/s',
            'the same',
            f'{CONTROL}, slopes over processes and teams',
        ),
        (
            'fleet',
            'in force everywhere, worst measured',
            format_value(measured.worst('in_force_ms_max') / 1000, 's'),
            '3 s',
            'pushed to all neighbors, fetched from whoever is ahead',
            f'{CONTROL}, no faults',
        ),
        (
            'fleet',
            'in force everywhere, straight line',
            format_value(measured.estimate('in_force_ms_max') / 1000, 's'),
            '13 s',
            'the same; hops grow with the logarithm of the size',
            f'{CONTROL}, slopes over processes and teams',
        ),
    ]


def _processor_row(measured: Measurements, role: str, added: float) -> Row:
    share = measured.worst(f'idle_core_share_{role}') + added
    return (
        role,
        'processor for control, composed',
        format_value(share * 100, '% of a core'),
        '1.4 %',
        'one exchange a second; changes by section',
        f'{CONTROL} (idle, worst), {STATE} at full size',
    )


def _load_rows(measured: Measurements) -> list[Row]:
    entry_rate = REQUESTS_PER_S / ENTRIES
    agent_rate = REQUESTS_PER_S / AGENTS
    entry = entry_rate / measured.path_figure('entry_requests_per_core_s')
    tokens = TOKENS_PER_S / ENTRIES
    streaming = tokens / measured.path_figure('entry_tokens_per_core_s')
    agent = agent_rate / measured.path_figure('agent_requests_per_core_s')
    return [
        (
            'entry',
            f'processor for {entry_rate:.1f} requests/s',
            format_value(entry * 100, '% of a core'),
            'under 1 core',
            'requests spread by the balancer',
            f'{PATH}, requests per core',
        ),
        (
            'entry',
            f'processor for {tokens:,.0f} tokens/s (the same work)',
            format_value(streaming * 100, '% of a core'),
            'under 1 core',
            'parts of an answer share frames and writes',
            f'{PATH}, tokens per core',
        ),
        (
            'agent',
            f'processor for {agent_rate:.1f} requests/s',
            format_value(agent * 100, '% of a core'),
            'under 1 core',
            'one target an agent',
            f'{PATH}, requests per core',
        ),
        (
            'entry',
            'memory, 1,000 open streams',
            format_value(
                measured.path_figure('entry_memory_bytes') / 1e6, 'MB'
            ),
            '256 MB',
            'bounded buffers a stream',
            PATH,
        ),
    ]


def _reader_rows(measured: Measurements) -> list[Row]:
    readers = READERS_PER_DOMAIN * DOMAINS
    waiting = readers / (WATCH_MS / 1000.0)
    changing = readers * changes_per_s()
    record = measured.full_state('config_record_bytes')
    return [
        (
            'readers',
            'number',
            f'{readers}',
            'fixed',
            f'{READERS_PER_DOMAIN} a failure domain by rank in the view',
            'computed',
        ),
        (
            'key-value service',
            'control calls a second, idle, worst measured',
            format_value(measured.worst('idle_key_value_calls_per_s'), '/s'),
            '50 /s',
            'readers only',
            CONTROL,
        ),
        (
            'key-value service',
            'control calls a second',
            format_value(waiting + changing, '/s'),
            '50 /s',
            f'a watch of {WATCH_MS // 1000} s a reader, one more a change',
            'computed',
        ),
        (
            'key-value service',
            'configuration record',
            format_value(record / 1e6, 'MB'),
            '1.05 MB a value',
            'one value, compressed; a copy a change in the history',
            STATE,
        ),
    ]
