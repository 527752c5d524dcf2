"""Exchange of sections, direct reads of the service and leaving VMs."""

import asyncio
import random

import msgspec

from tests.config import samples
from tests.membership.samples import make_member
from tests.membership.samples import make_view
from wigeonmill.clock import ManualClock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.sections import normalize
from wigeonmill.membership.availability import unavailable_targets
from wigeonmill.membership.config_exchange import ConfigExchange
from wigeonmill.membership.config_exchange import PullResult
from wigeonmill.membership.config_feed import ConfigFeed
from wigeonmill.membership.config_feed import FLEET_READS_PER_SECOND
from wigeonmill.membership.config_feed import STALE_MS
from wigeonmill.membership.freshness import Freshness
from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.membership.member import State
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.providers.vm_list import Vm
from wigeonmill.providers.vm_list import VmListing
from wigeonmill.providers.vm_list import VmState
from wigeonmill.standins.memory_key_value import MemoryKeyValue


def make_holder(serial, document):
    holder = ConfigHolder(Metrics())
    if serial:
        accepted = normalize(document)
        holder.adopt(ConfigRecord(serial, f's{serial}', 't', 0, accepted))
    return holder


def exchange(source, receiver, whole=False, corrupt=None):
    """Fetch in one exchange; return the result and the sections."""
    request, reply = Gossip('receiver', []), Gossip('source', [])
    ConfigExchange(receiver, Metrics()).fill_request(request, whole)
    ConfigExchange(source, Metrics()).fill_reply(
        request, receiver.serial, reply
    )
    if corrupt:
        corrupt(reply)
    pulled = ConfigExchange(receiver, Metrics()).apply_reply(reply, whole)
    return pulled, reply.sections or []


def changed_document():
    document = samples.load_example()
    team = msgspec.structs.replace(document.teams[0], weight=99)
    return msgspec.structs.replace(document, teams=[team, *document.teams[1:]])


def test_only_changed_sections_are_sent_and_lower_serials_are_ignored():
    first, second = samples.load_example(), changed_document()
    old, new = make_holder(4, first), make_holder(5, second)
    assert exchange(old, new) == (PullResult.NOTHING_NEWER, [])
    pulled, sections = exchange(new, old)
    assert pulled is PullResult.ADOPTED and len(sections) == 1
    assert old.record == new.record
    empty = make_holder(0, None)
    assert exchange(new, empty)[0] is PullResult.ADOPTED
    assert empty.record == new.record


def test_sections_that_do_not_match_their_digest_are_refused():
    receiver = make_holder(4, samples.load_example())
    source = make_holder(5, changed_document())

    def drop(reply):
        reply.sections = []

    def alter(reply):
        reply.sections[0].value += b' '

    for corrupt in (drop, alter):
        assert (
            exchange(source, receiver, corrupt=corrupt)[0] is PullResult.BROKEN
        )
        assert receiver.serial == 4
    assert exchange(source, receiver, whole=True)[0] is PullResult.ADOPTED


class Peers:
    """Peers that never provide a configuration."""

    def __init__(self, count, cut_off=False):
        self.count = count
        self.cut_off = cut_off

    async def pull(self, source):
        return False

    async def pull_from_several(self, limit):
        return None


def count_direct_reads(peers, seconds):
    """Return the number of reads of one stale process in `seconds`."""

    async def body():
        clock = ManualClock(0.0)
        key_value = MemoryKeyValue(clock)
        feed = ConfigFeed(
            key_value,
            make_holder(1, samples.load_example()),
            Freshness(clock),
            peers,
            random.Random(1),
            Metrics(),
        )
        await feed.read_if_stale(1000.0)
        assert key_value.calls == {}
        clock.advance(STALE_MS)
        for _second in range(seconds):
            await feed.read_if_stale(1000.0)
        return key_value.calls.get('get', 0)

    return asyncio.run(body())


def test_direct_reads_of_the_fleet_do_not_grow_with_its_size():
    seconds = 20_000
    for count in (100, 1020):
        reads = count_direct_reads(Peers(count), seconds)
        assert reads * count / seconds < FLEET_READS_PER_SECOND * 1.5
    assert count_direct_reads(Peers(1020, cut_off=True), 100) > 5


def test_leaving_vms_and_suspect_agents_make_targets_unavailable():
    document = samples.load_example()
    targets = [t for s in document.services for t in s.targets]
    view, _clock = make_view()
    changes = []
    known_vms = LeavingVms(lambda: changes.append(1))
    suspect = make_member('a', target=targets[0].name, state=State.SUSPECT)
    view.merge_update(suspect)
    assert unavailable_targets(document, view, known_vms) == {targets[0].name}
    # A later process for the same target replaces the suspect one.
    view.merge_update(make_member('b', target=targets[0].name))
    assert unavailable_targets(document, view, known_vms) == frozenset()
    leaving = Vm(targets[1].name, '10.9.9.9', 'x', VmState.LEAVING)
    known_vms.apply_listing(VmListing(3, [leaving]))
    assert unavailable_targets(document, view, known_vms) == {targets[1].name}
    message = Gossip()
    known_vms.fill(message)
    message.vm_revision = 2
    message.leaving_vms = []
    known_vms.apply_gossip(message)
    assert known_vms.revision == 3 and changes == [1]
