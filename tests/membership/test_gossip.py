"""Nodes over loopback: joining, configuration, failure and leaving."""

import asyncio
from pathlib import Path
import time

import msgspec

from tests.membership.samples import make_fleet
from tests.membership.samples import until
from wigeonmill.clock import Clock
from wigeonmill.config.reader import read_document
from wigeonmill.config.sections import normalize
from wigeonmill.membership.catch_up import PAUSE_THRESHOLD_MS
from wigeonmill.membership.member import State
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

ISOKO = Path(__file__).parents[2] / 'examples' / 'isoko.json'
NAMES = ('a', 'b', 'c', 'd', 'e')


def run(scenario, names=NAMES):
    async def body():
        async with make_fleet(names) as fleet:
            await until(lambda: all_see(fleet, len(names)))
            await scenario(fleet)

    asyncio.run(body())


def all_see(fleet, count):
    return all(
        len(node.membership.view.alive()) == count - 1
        for node in fleet.nodes.values()
    )


def test_configuration_spreads_and_only_two_nodes_read_it():
    async def scenario(fleet):
        document = read_document(ISOKO).unwrap()
        nodes = list(fleet.nodes.values())
        await until(lambda: sum(n.membership.is_reader for n in nodes) == 2)
        await fleet.apply(document)
        await until(lambda: all(n.holder.serial == 1 for n in nodes))
        team = msgspec.structs.replace(document.teams[0], weight=7)
        changed = msgspec.structs.replace(
            document, teams=[team, *document.teams[1:]]
        )
        before = {n: n.metrics.value('config_sections_taken') for n in nodes}
        await fleet.apply(changed)
        await until(lambda: all(n.holder.serial == 2 for n in nodes), 2.0)
        for node in nodes:
            assert node.holder.document == normalize(changed)
            taken = node.metrics.value('config_sections_taken')
            expected = 0 if node.membership.is_reader else 1
            assert taken - before[node] <= expected
        fetched = [n for n in nodes if not n.membership.is_reader]
        assert len(fetched) == len(NAMES) - 2

    run(scenario)


def test_new_node_adopts_the_highest_serial_of_its_peers_in_an_outage():
    async def scenario(fleet):
        document = read_document(ISOKO).unwrap()
        await fleet.apply(document)
        nodes = fleet.nodes.values()
        await until(lambda: all(n.holder.serial == 1 for n in nodes))
        down = MemoryKeyValue(Clock(), KvFaults(outage=True))
        peers = [node.address for node in nodes]
        late = fleet.start('late', peers=peers, key_value=down)
        await until(lambda: late.holder.serial == 1)
        alone = fleet.start('alone', key_value=down)
        await asyncio.sleep(0.5)
        assert alone.holder.serial == 0

    run(scenario, ('a', 'b', 'c'))


def test_stopped_node_becomes_suspect_and_a_leaving_node_left():
    async def scenario(fleet):
        leaver = fleet.nodes['e']
        await leaver.membership.leave()
        await until(lambda: state_at(fleet, 'e', State.LEFT), 2.0)
        await fleet.stop('e')
        await fleet.stop('d')
        await until(lambda: state_at(fleet, 'd', State.SUSPECT), 8.0)
        await until(lambda: state_at(fleet, 'd', State.DEAD), 8.0)

    run(scenario)


def state_at(fleet, name, state):
    """Return whether all other nodes see `name` in `state` or higher."""
    others = [n for n in fleet.nodes.values() if n.settings.process != name]
    return all(
        node.membership.view.members[name].state >= state for node in others
    )


def test_false_records_are_refuted_and_views_merge_again():
    async def scenario(fleet):
        # Two halves consider each other dead, as after a long partition.
        for node in fleet.nodes.values():
            view = node.membership.view
            own_half = 'abc' if view.me.name in 'abc' else 'de'
            for other in list(view.members.values()):
                if other.name not in own_half:
                    view.merge_update(other.with_state(State.DEAD))
            view.pop_updates(100)
        await until(lambda: all_see(fleet, len(NAMES)), 20.0)

    run(scenario)


def test_later_process_of_the_same_name_supersedes():
    async def scenario(fleet):
        old = fleet.nodes['b']
        peers = [fleet.nodes['a'].address]
        await asyncio.sleep(0.01)
        fleet.start('b', peers=peers)
        fleet.nodes['old'] = old
        await until(lambda: old.membership.superseded)

    run(scenario, ('a', 'b', 'c'))


def test_a_paused_node_takes_no_work_until_it_has_caught_up():
    async def scenario(fleet):
        document = read_document(ISOKO).unwrap()
        await fleet.apply(document)
        nodes = list(fleet.nodes.values())
        await until(lambda: all(n.holder.serial == 1 for n in nodes))
        paused = next(n for n in nodes if not n.membership.is_reader)
        states = []
        paused.membership.subscribe(
            lambda: states.append(
                (paused.membership.catching_up, paused.holder.serial)
            )
        )
        # The event loop stops for all nodes, but only `paused` checks its
        # clock.
        time.sleep(PAUSE_THRESHOLD_MS / 1000.0 + 0.1)
        paused.membership.check_pause()
        assert states == [(True, 1)]
        await until(lambda: not paused.membership.catching_up)
        assert paused.metrics.value('own_pauses') == 1

    run(scenario)
