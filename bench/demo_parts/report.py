"""Builds the demonstration's table and checks the promises."""

import collections
from dataclasses import dataclass
from dataclasses import field

from hdrh.histogram import HdrHistogram

from bench.demo_parts.callers import CREATED
from bench.demo_parts.records import AnswerState
from bench.demo_parts.records import CallerRecords
from wigeonmill.embedded import EmbeddedSystem

_MAX_LATENCY_US = 600_000_000
_REASON_COUNTERS = ('refusals', 'retries', 'agent_refusals')


@dataclass(slots=True)
class DemoReport:
    """The lines of the table, and a line for each broken promise."""

    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def add(self, name: str, value: object) -> None:
        """Add a row to the table."""
        self.lines.append(f'{name:<38} {value}')

    def expect_zero(self, name: str, count: int) -> None:
        """Add a row whose count must be zero."""
        self.add(name, count)
        if count:
            self.broken.append(f'{name}: {count}')


def make_report(
    system: EmbeddedSystem, records: CallerRecords, late_work: int
) -> DemoReport:
    """Return the report of one run.

    `late_work` is the number of requests that started in a drained domain.
    """
    report = DemoReport()
    _add_prompts(report, records)
    _add_store(report, system)
    _add_reasons(report, system)
    _add_credits(report, system, records)
    _add_targets(report, system)
    report.expect_zero('work in a drained domain after 3 s', late_work)
    return report


def _add_prompts(report: DemoReport, records: CallerRecords) -> None:
    hist = HdrHistogram(1, _MAX_LATENCY_US, 3)
    states = collections.Counter(record.state for record in records.prompts)
    prompt_tokens, cached_tokens = 0, 0
    for record in records.prompts:
        if record.state is AnswerState.WHOLE:
            hist.record_value(max(1, int(record.first_token_ms * 1000)))
            prompt_tokens += record.prompt_tokens
            cached_tokens += record.cached_tokens
    report.add('prompts sent', len(records.prompts))
    report.add('answers whole', states[AnswerState.WHOLE])
    report.add('prompts refused', states[AnswerState.REFUSED])
    report.expect_zero('answers wrong or cut', states[AnswerState.WRONG])
    for percent in (50, 95, 99):
        value_ms = hist.get_value_at_percentile(percent) / 1000.0
        report.add(f'time to first token p{percent}, ms', f'{value_ms:.0f}')
    share = 1.0 - cached_tokens / max(1, prompt_tokens)
    report.add('share of prompt tokens recomputed', f'{share:.3f}')


def _add_store(report: DemoReport, system: EmbeddedSystem) -> None:
    audits = [store.state.audit() for store in system.stores.values()]
    report.add('store link bytes in', sum(a.bytes_in for a in audits))
    report.add('store link bytes out', sum(a.bytes_out for a in audits))


def _add_reasons(report: DemoReport, system: EmbeddedSystem) -> None:
    nodes = [agent.node for agent in system.agents.values()]
    nodes.append(system.entry_node)
    for counter in _REASON_COUNTERS:
        total: collections.Counter[str] = collections.Counter()
        for node in nodes:
            total.update(node.metrics.reasons(counter))
        text = ', '.join(f'{k} {v}' for k, v in sorted(total.items()))
        report.add(counter.replace('_', ' '), text or 'none')


def _add_credits(
    report: DemoReport, system: EmbeddedSystem, records: CallerRecords
) -> None:
    applied: collections.Counter[str] = collections.Counter()
    for agent in system.agents.values():
        audit = agent.target.state.audit()
        for credit in getattr(audit, 'credits', []):
            applied[credit.reference] += 1
    doubled = sum(1 for count in applied.values() if count > 1)
    lost, false_not_run = 0, 0
    for record in records.credits:
        if record.status == CREATED and not applied[record.reference]:
            lost += 1
        if record.not_run and applied[record.reference]:
            false_not_run += 1
    report.add('credits sent', len(records.credits))
    report.add('credits applied', len(applied))
    report.expect_zero('credits doubled', doubled)
    report.expect_zero('credits lost', lost)
    report.expect_zero('credits "not run" that ran', false_not_run)


def _add_targets(report: DemoReport, system: EmbeddedSystem) -> None:
    overloads, tainted = 0, 0
    for agent in system.agents.values():
        audit = agent.target.state.audit()
        overloads += getattr(audit, 'cold_overloads', 0)
        tainted += getattr(audit, 'tainted_reads', 0)
    report.expect_zero('cold targets overloaded', overloads)
    report.expect_zero('wrong cache blocks read', tainted)
