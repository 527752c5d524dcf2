"""Computes which limits a growing fleet reaches, and at what size."""

from bench.capacity_model import AGENTS
from bench.capacity_model import CHANGES_PER_DAY
from bench.capacity_model import DAY_S
from bench.capacity_model import DOMAINS
from bench.capacity_model import ENTRIES
from bench.capacity_model import Measurements
from bench.capacity_model import MEMBERS
from bench.capacity_model import REQUESTS_PER_S
from bench.capacity_model import TEAMS
from bench.capacity_roles import change_cpu_s
from bench.capacity_roles import CONTROL
from bench.capacity_roles import COPIES
from bench.capacity_roles import member_bytes
from bench.capacity_roles import PATH
from bench.capacity_roles import STATE
from bench.capacity_table import format_value

# Budgets of one process.
CORE_SHARE = 0.014
BYTES_PER_S = 20_000.0
MEMORY_BYTES = 256e6
# Largest value that the key-value service accepts.
VALUE_BYTES = float(1 << 20)

Row = tuple[str, str, str, str, str]


def limit_rows(measured: Measurements) -> list[Row]:
    """Return the rows, sorted by how soon growth reaches the limit."""
    found = [
        *_burst_limits(measured),
        *_growth_limits(measured),
    ]
    return [row for _factor, row in sorted(found, key=lambda item: item[0])]


def _burst_limits(measured: Measurements) -> list[tuple[float, Row]]:
    """Return single events that cost more than one second's budget.

    Each row comes with the share of the burst that one second allows.
    """
    record = member_bytes(measured)
    domain = MEMBERS / DOMAINS * record * COPIES
    merge = MEMBERS * record * COPIES
    sync = measured.full_state('sync_bytes')
    bursts = [
        ('a failure domain is lost or returns', domain),
        ('two regions meet again', merge),
        ('a process starts and takes the whole view', sync),
    ]
    return [
        (
            BYTES_PER_S / size,
            (
                f'bytes of a process when {what}',
                '20 KB in one second',
                format_value(size / 1000, 'KB at once'),
                f'{format_value(size / BYTES_PER_S)} s of the budget',
                f'{STATE}, computed',
            ),
        )
        for what, size in bursts
    ]


def _growth_limits(measured: Measurements) -> list[tuple[float, Row]]:
    """Return limits that are reached step by step as the fleet grows.

    Each row comes with the limit as a multiple of the two-year target.
    """
    idle = measured.worst('idle_core_share_mean')
    changes = (CORE_SHARE - idle) / change_cpu_s(measured) * DAY_S
    change_bytes = measured.full_state('config_change_bytes') * 2
    spare = BYTES_PER_S - measured.worst('idle_bytes_per_s_mean')
    by_bytes = spare / change_bytes * DAY_S
    teams = measured.state_by_teams('config_record_bytes')
    memory = measured.by_teams('entry_memory_bytes_mean')
    members = measured.state_by_members('membership_change_cpu_ms')
    entry = measured.path_figure('entry_requests_per_core_s') * ENTRIES
    agent = measured.path_figure('agent_requests_per_core_s') * AGENTS
    return [
        _growth_row(
            'processor of a process for changes',
            '1.4 % of a core',
            changes,
            CHANGES_PER_DAY,
            'changes a day',
            f'{CONTROL}, {STATE}',
        ),
        _growth_row(
            'bytes of a process for changes',
            '20 KB/s',
            by_bytes,
            CHANGES_PER_DAY,
            'changes a day',
            f'{CONTROL}, {STATE}',
        ),
        _growth_row(
            'configuration record in one value',
            '1.05 MB',
            teams.solve_for(VALUE_BYTES),
            float(TEAMS),
            'teams',
            STATE,
        ),
        _growth_row(
            'memory of an entry without load',
            '256 MB',
            memory.solve_for(MEMORY_BYTES),
            float(TEAMS),
            'teams',
            CONTROL,
        ),
        _growth_row(
            'processor for one change of membership',
            '14 ms',
            members.solve_for(CORE_SHARE * 1000.0),
            float(MEMBERS),
            'members',
            STATE,
        ),
        _growth_row(
            'processor of entries for requests',
            'a core each',
            entry,
            REQUESTS_PER_S,
            'requests/s',
            PATH,
        ),
        _growth_row(
            'processor of agents for requests',
            'a core each',
            agent,
            REQUESTS_PER_S,
            'requests/s',
            PATH,
        ),
    ]


def _growth_row(
    what: str,
    limit: str,
    reached: float,
    target: float,
    unit: str,
    source: str,
) -> tuple[float, Row]:
    factor = reached / target
    row = (
        what,
        limit,
        format_value(reached, unit),
        f'{format_value(factor)} times the target',
        source,
    )
    return factor, row
