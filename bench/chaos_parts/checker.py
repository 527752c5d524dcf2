"""Checks the callers' records against the stand-ins' audits.

Nothing that the system under test reports about itself is used.
"""

import collections
from dataclasses import dataclass
from typing import Any

from bench.chaos_parts.callers import CREATED
from bench.chaos_parts.faults import CrashCounts
from bench.chaos_parts.operators import DrainRecord
from bench.chaos_parts.operators import OperatorRecords
from bench.chaos_parts.proxied_system import ProxiedSystem
from bench.chaos_parts.records import CallerRecords
from bench.chaos_parts.records import CreditRecord
from bench.chaos_parts.records import PromptRecord
from bench.outcome import Bound
from bench.standin_control import read_audit
from wigeonmill.standins.answers import expected_answer

MAX_CRASHES_BY_PROMPT = 2
# Figures that must be zero.
INVARIANTS = (
    'credits_doubled',
    'credits_lost',
    'credits_not_run_but_ran',
    'credits_unknown_to_callers',
    'answers_crossed',
    'credit_answers_crossed',
    'answers_wrong',
    'answers_cut',
    'tainted_reads',
    'stale_versions',
    'cold_overloads',
    'work_after_drain',
    'crashes_above_two',
    'configuration_reverts',
    'open_after_heal',
)


@dataclass(slots=True)
class Evidence:
    """The input of the checker; audits and domains are keyed by target."""

    audits: dict[str, dict[str, Any]]
    domains: dict[str, str]
    callers: CallerRecords
    operators: OperatorRecords
    crash_counts: CrashCounts


def bounds() -> list[Bound]:
    """Return a bound of zero for each invariant."""
    return [Bound(name, 0.0, 0.0) for name in INVARIANTS]


def check(evidence: Evidence) -> dict[str, float]:
    """Return the figures of a run after all its faults have ended."""
    audits = evidence.audits
    figures: dict[str, float] = {}
    figures.update(_check_prompts(evidence.callers.prompts))
    figures.update(_check_credits(evidence.callers.credits, audits))
    figures.update(_check_engines(audits))
    figures['work_after_drain'] = sum(
        _count_late_work(evidence, drain)
        for drain in evidence.operators.drains
    )
    crashes = evidence.crash_counts.crashes_by_prompt
    figures['marked_prompts'] = len(crashes)
    figures['crashes_above_two'] = sum(
        max(count - MAX_CRASHES_BY_PROMPT, 0) for count in crashes
    )
    figures['configuration_changes'] = len(evidence.operators.accepted)
    figures['configuration_reverts'] = evidence.operators.reverts
    figures['open_after_heal'] = evidence.callers.open_requests
    return figures


def read_audits(system: ProxiedSystem) -> dict[str, dict[str, Any]]:
    """Return the audits of the targets' stand-ins by target."""
    targets = system.targets.values()
    return {t.name: read_audit(t.standin.address) for t in targets}


def _check_prompts(records: list[PromptRecord]) -> dict[str, float]:
    expected = {r.prompt: expected_answer(r.prompt, 64) for r in records}
    crossed, wrong, cut = 0, 0, 0
    for record in records:
        own = expected_answer(record.prompt, record.max_tokens)
        if record.whole and record.texts[-1] != own:
            cut += own.startswith(record.texts[-1])
        for text in record.texts:
            if own.startswith(text):
                continue
            others = (expected[p] for p in expected if p != record.prompt)
            foreign = any(other.startswith(text) for other in others)
            crossed += foreign
            wrong += not foreign
    unmarked = [r for r in records if not r.marked]
    return {
        'prompts': len(records),
        'prompts_whole': sum(r.whole for r in records),
        'prompts_resumed': sum(bool(r.resumed) for r in records),
        'goodput_share': sum(r.whole for r in unmarked)
        / max(1, len(unmarked)),
        'answers_crossed': crossed,
        'answers_wrong': wrong,
        'answers_cut': cut,
    }


def _check_credits(
    records: list[CreditRecord], audits: dict[str, dict[str, Any]]
) -> dict[str, float]:
    applied: collections.Counter[str] = collections.Counter()
    ran: set[str] = set()
    for audit in audits.values():
        applied.update(c['reference'] for c in audit.get('credits', []))
        ran.update(c['request_id'] for c in audit.get('credits', []))
    lost, not_run, crossed, repeat_not_run = 0, 0, 0, 0
    for record in records:
        booked = [r for r in record.replies if r.status == CREATED]
        crossed += sum(r.reference != record.reference for r in booked)
        lost += bool(booked) and not applied[record.reference]
        not_run += _ran_despite_not_run(record, applied, ran)
        last = record.replies[-1] if record.replies else None
        if last is not None and last.not_run:
            repeat_not_run += applied[record.reference] > 0
    sent = {record.reference for record in records}
    return {
        'credits_sent': len(records),
        'credits_told_booked': sum(
            any(r.status == CREATED for r in record.replies)
            for record in records
        ),
        'credits_applied': len(applied),
        'credits_doubled': sum(n - 1 for n in applied.values() if n > 1),
        'credits_lost': lost,
        'credits_not_run_but_ran': not_run,
        'credits_repeat_not_run': repeat_not_run,
        'credits_unknown_to_callers': len(set(applied) - sent),
        'credit_answers_crossed': crossed,
    }


def _ran_despite_not_run(
    record: CreditRecord, applied: collections.Counter[str], ran: set[str]
) -> bool:
    """Return whether an attempt ran although its refusal says `not_run`.

    A refusal states this of its own attempt only. A credit that an earlier
    attempt may have booked is therefore no violation. It is one if the
    attempt itself is in the ledger, or if every attempt was refused this
    way and the credit was booked all the same.
    """
    replies = record.replies
    if any(r.not_run and r.request_id in ran for r in replies):
        return True
    refused = bool(replies) and all(r.not_run for r in replies)
    return refused and applied[record.reference] > 0


def _check_engines(audits: dict[str, dict[str, Any]]) -> dict[str, float]:
    engines = [a for a in audits.values() if 'crashes' in a]
    stale = sum(
        a['stale_version_imports'] + a['stale_orders_applied'] for a in engines
    )
    return {
        'engine_runs': sum(len(a['requests']) for a in engines),
        'engine_crashes': sum(a['crashes'] for a in engines),
        'tainted_reads': sum(a['tainted_reads'] for a in engines),
        'foreign_imports': sum(a['foreign_imports'] for a in engines),
        'corrupt_imports': sum(a['corrupt_imports'] for a in engines),
        'imports': sum(sum(a['imports'].values()) for a in engines),
        'stale_versions': stale,
        'cold_overloads': sum(a['cold_overloads'] for a in engines),
    }


def _count_late_work(evidence: Evidence, drain: DrainRecord) -> int:
    """Count the work that began in a domain after its drain settled."""
    late = drain.credits_ended - drain.credits_settled
    for name, domain in evidence.domains.items():
        if domain != drain.domain:
            continue
        for record in evidence.audits[name].get('requests', []):
            late += drain.settled_ms < record['started_ms'] < drain.ended_ms
    return late


def refusal_counts(records: CallerRecords) -> dict[str, float]:
    """Return how often callers were refused for each reason."""
    counts: collections.Counter[str] = collections.Counter()
    for prompt in records.prompts:
        counts.update(prompt.reasons)
    for credit in records.credits:
        counts.update(r.reason for r in credit.replies if r.reason)
    return {f'refused_{k}': v for k, v in sorted(counts.items())}
