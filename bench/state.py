"""Measures the control state of a single process at the two-year size.

`python -m bench state [--members N] [--teams N] [--json]` measures the cost
of a gossip round, a membership change and a configuration change, without
using the network.
"""

from collections.abc import Callable
from dataclasses import dataclass
import datetime
from pathlib import Path
import random
import time
import tracemalloc
from typing import Annotated

import cappa
import msgspec

from bench.control_fleet import DOMAINS
from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import encode_record
from wigeonmill.config.model import FailureDomain
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import RouteTable
from wigeonmill.keys import hash_key
from wigeonmill.membership.availability import unavailable_targets
from wigeonmill.membership.config_exchange import ConfigExchange
from wigeonmill.membership.config_exchange import PullResult
from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.membership.member import from_wire
from wigeonmill.membership.member import Member
from wigeonmill.membership.member import State
from wigeonmill.membership.member import to_wire
from wigeonmill.membership.overlay import is_reader
from wigeonmill.membership.overlay import neighbors
from wigeonmill.membership.view import View
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.codec import decode_body
from wigeonmill.protocol.codec import encode_frame
from wigeonmill.protocol.codec import LENGTH_BYTES
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.protocol.gen.inner.ttypes import Kind

ENTRIES = 420
AGENTS = 600
REPEATS = 20
SERVICES = 8
VALUE_LIMIT_BYTES = float(1 << 20)


@dataclass
class Arguments:
    """The command line."""

    members: Annotated[int, cappa.Arg(long=True)] = ENTRIES + AGENTS
    teams: Annotated[int, cappa.Arg(long=True)] = 4900
    record: Annotated[str, cappa.Arg(long=True)] = ''
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False


class StateRecord(msgspec.Struct):
    """The figures of one run, stored as one line of the records file."""

    date: str
    members: int
    teams: int
    figures: dict[str, float]


def measure_view(count: int) -> dict[str, float]:
    """Measure the memory, CPU time and frame sizes of a view."""
    members = [_make_member(number) for number in range(count)]
    own, others = members[0], members[1:]
    view = View(own, Clock())
    full_frame = _encode_gossip(view, others)
    tracemalloc.start()
    envelope = decode_body(full_frame[LENGTH_BYTES:]).unwrap()
    assert envelope.gossip is not None
    for wire in envelope.gossip.members:
        member = from_wire(wire)
        assert member is not None
        view.merge_update(member)
    del envelope, wire, member
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    view.pop_updates(count)
    document = _make_document(AGENTS, 10)
    leaving_vms = LeavingVms(lambda: None)

    def refresh() -> None:
        alive = view.alive()
        neighbors(own, alive)
        is_reader(own, alive)
        unavailable_targets(document, view, leaving_vms)

    sync = _encode_gossip(view, view.all_members())
    probe = _encode_gossip(view, [own])
    return {
        'view_bytes_per_member': held_bytes / count,
        'round_cpu_ms': _cpu_ms(lambda: _run_round(view)),
        'membership_change_cpu_ms': _cpu_ms(refresh),
        'probe_bytes': float(len(probe)),
        'sync_bytes': float(len(sync)),
    }


def measure_configuration(teams: int) -> dict[str, float]:
    """Measure the cost of changing one team in a large document."""
    first = _make_document(AGENTS, teams)
    team = msgspec.structs.replace(first.teams[0], weight=9)
    second = msgspec.structs.replace(first, teams=[team, *first.teams[1:]])
    source, receiver = _make_holder(1, first), _make_holder(1, first)
    source.adopt(ConfigRecord(2, 's2', 'bench', 0, second))
    request = Gossip('taker', [])
    reply = Gossip('giver', [])
    ConfigExchange(receiver, Metrics()).fill_request(request, whole=False)
    start_s = time.process_time()
    ConfigExchange(source, Metrics()).fill_reply(request, 1, reply)
    give_ms = (time.process_time() - start_s) * 1000.0
    start_s = time.process_time()
    pulled = ConfigExchange(receiver, Metrics()).apply_reply(
        reply, whole=False
    )
    take_ms = (time.process_time() - start_s) * 1000.0
    assert pulled is PullResult.ADOPTED
    rng = random.Random(1)
    routes_ms = _cpu_ms(lambda: RouteTable(second, (), rng, 3))
    record = encode_record(ConfigRecord(2, 's2', 'bench', 0, second))
    request_frame = encode_frame(Envelope(Kind.GOSSIP, 1, 1, gossip=request))
    reply_frame = encode_frame(Envelope(Kind.GOSSIP_REPLY, 1, 2, gossip=reply))
    return {
        'config_give_cpu_ms': give_ms,
        'config_take_cpu_ms': take_ms,
        'config_routes_cpu_ms': routes_ms,
        'config_change_bytes': float(len(request_frame) + len(reply_frame)),
        'config_record_bytes': float(len(record)),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    args = cappa.parse(Arguments, argv=argv)
    figures = measure_view(args.members)
    figures |= measure_configuration(args.teams)
    if args.record:
        today = datetime.date.today().isoformat()
        record = StateRecord(today, args.members, args.teams, figures)
        with Path(args.record).open('ab') as file:
            file.write(msgspec.json.encode(record) + b'\n')
    bounds = [Bound('config_record_bytes', high=VALUE_LIMIT_BYTES)]
    outcome = Outcome('state', args.seed, figures, bounds)
    return print_outcome(outcome, args.json)


def _run_round(view: View) -> None:
    """Do the work of both sides in one round, without sockets."""
    view.tick()
    bool(view.frozen)
    for _direction in range(2):
        frame = _encode_gossip(view, [view.me])
        envelope = decode_body(frame[LENGTH_BYTES:]).unwrap()
        assert envelope.gossip is not None
        for wire in envelope.gossip.members:
            member = from_wire(wire)
            assert member is not None
            view.merge_update(member)
        view.record_contact()


def _encode_gossip(view: View, members: list[Member]) -> bytes:
    gossip = Gossip(
        view.me.name,
        [to_wire(member) for member in members],
        view_digest=view.digest,
        config_age_ms=1,
        vm_revision=1,
        leaving_vms=[],
    )
    return encode_frame(Envelope(Kind.GOSSIP, 1, 1, gossip=gossip))


def _make_member(number: int) -> Member:
    domain, region = DOMAINS[number % len(DOMAINS)]
    is_agent = number >= ENTRIES
    return Member(
        f'process-{number}',
        'agent' if is_agent else 'entry',
        f'10.{number >> 8}.{number & 255}.1:7100',
        domain,
        region,
        f'target-{number}' if is_agent else '',
        1_764_000_000_000 + number,
        state=State.ALIVE,
    )


def _make_document(targets: int, teams: int) -> Document:
    services = [
        Service(
            f'service-{index}',
            ServiceKind.PLAIN,
            [
                Target(
                    f'target-{number}',
                    DOMAINS[number % len(DOMAINS)][0],
                    f'10.{number >> 8}.{number & 255}.1:7100',
                    f'10.{number >> 8}.{number & 255}.1:8000',
                )
                for number in range(index, targets, SERVICES)
            ],
        )
        for index in range(SERVICES)
    ]
    return Document(
        services,
        [FailureDomain(name, region) for name, region in DOMAINS],
        [
            Team(f'team-{number}', [hash_key(f'key-{number}')])
            for number in range(teams)
        ],
    )


def _make_holder(serial: int, document: Document) -> ConfigHolder:
    holder = ConfigHolder(Metrics())
    holder.adopt(ConfigRecord(serial, f's{serial}', 'bench', 0, document))
    return holder


def _cpu_ms(work: Callable[[], None]) -> float:
    """Return the mean CPU time of a call to `work`, in ms."""
    start_s = time.process_time()
    for _repeat in range(REPEATS):
        work()
    return (time.process_time() - start_s) * 1000.0 / REPEATS
