import msgspec

from tests.config import samples
from wigeonmill.config.diff import diff_documents
from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.sections import apply_sections
from wigeonmill.config.sections import decode_meta
from wigeonmill.config.sections import normalize
from wigeonmill.config.sections import Section
from wigeonmill.config.sections import section_hashes
from wigeonmill.config.sections import SectionSet
from wigeonmill.config.sections import split_document
from wigeonmill.metrics import Metrics


def make_record(serial, document, submission_id='id'):
    return ConfigRecord(serial, submission_id, 'me', 7, normalize(document))


def change_team(document, index, **fields):
    teams = list(document.teams)
    teams[index] = msgspec.structs.replace(teams[index], **fields)
    return msgspec.structs.replace(document, teams=teams)


def test_change_of_one_team_changes_only_one_section():
    old = make_record(1, samples.load_example())
    new = make_record(2, change_team(old.document, 4, weight=9))
    base = SectionSet(old)
    target = SectionSet(new)
    moved = target.changed(base.hashes)
    assert len(moved) == 1 and moved[0].name.startswith('teams/')
    meta = decode_meta(target.encode_meta()).unwrap()
    assert apply_sections(base, meta, moved).unwrap() == new


def test_record_is_built_only_from_complete_sections():
    new = make_record(4, samples.load_example('alliance'))
    target = SectionSet(new)
    sections = target.changed({})
    assert apply_sections(None, target.meta, sections).unwrap() == new
    assert apply_sections(None, target.meta, sections[1:]).is_err()
    truncated = [
        Section(sections[0].name, sections[0].value[:-1]),
        *sections[1:],
    ]
    assert apply_sections(None, target.meta, truncated).is_err()
    assert decode_meta(b'{"serial": "1"}').is_err()


def test_order_of_items_does_not_matter():
    document = samples.load_example()
    reversed_document = msgspec.structs.replace(
        document,
        teams=document.teams[::-1],
        services=document.services[::-1],
    )
    assert section_hashes(document) == section_hashes(reversed_document)
    assert diff_documents(document, reversed_document) == []


def test_diff_lists_each_change():
    old = samples.load_example()
    new = samples.drained(change_team(old, 0, weight=3), 'gasabo')
    targets = new.services[0].targets
    moved = msgspec.structs.replace(targets[0], address='127.0.0.1:9')
    service = msgspec.structs.replace(
        new.services[0], targets=[moved, *targets[2:]]
    )
    new = msgspec.structs.replace(new, services=[service, new.services[1]])
    assert [change.line() for change in diff_documents(old, new)] == [
        '~ service assistant, target engine-1: address'
        ' "127.0.0.1:8301" -> "127.0.0.1:9"',
        '- service assistant, target engine-2',
        '~ failure domain gasabo: out of service',
        '~ team nyabugogo-depot: weight 8 -> 3',
    ]


def test_field_at_its_default_is_omitted():
    values = split_document(samples.load_example())
    domains = msgspec.json.decode(values['failure_domains'])
    assert domains[0] == {'name': 'nyarugenge', 'region': 'kigali'}
    full = to_full_builtins(samples.load_example().failure_domains[0])
    assert full == domains[0] | {'in_service': True}


def test_holder_refuses_lower_and_equal_serials():
    metrics = Metrics()
    holder = ConfigHolder(metrics)
    adopted = []
    holder.subscribe(lambda record: adopted.append(record.serial))
    document = samples.load_example()
    assert holder.sections is None
    assert holder.adopt(make_record(5, document))
    assert not holder.adopt(make_record(4, document))
    assert not holder.adopt(make_record(5, document))
    assert not holder.adopt(make_record(5, document, 'other'))
    assert holder.sections.meta.serial == 5
    assert holder.adopt(make_record(9, document))
    assert holder.sections.meta.serial == holder.serial == 9
    assert adopted == [5, 9]
    assert metrics.reasons('config_refused') == {
        'lower_serial': 1,
        'same_record': 1,
        'same_serial_other_submission': 1,
    }
