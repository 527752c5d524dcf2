import json

from tests.config import samples
from tests.console.site import Browser
from tests.console.site import run_site
from wigeonmill.config.model import decode_record
from wigeonmill.keys import hash_key


def test_pages_need_the_operators_key():
    async def scenario(site):
        browser = Browser(site)
        assert 'Log in' in (await browser.get('/')).text
        rejected = await browser.log_in(key='a wrong key')
        assert rejected.status == 403
        assert 'a wrong key' not in rejected.text
        throttled = await browser.log_in()
        assert 'Wait a second' in throttled.text
        site.clock.advance(1000.0)
        page = await browser.log_in()
        assert '<h1>Overview</h1>' in page.text
        await browser.post('/logout')
        assert 'Log in' in (await browser.get('/')).text

    run_site(scenario)


def test_form_without_xsrf_token_is_rejected_and_security_headers_are_set():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        drain = dict(kind='domain', name='gasabo', in_service='false')
        page = await browser.post('/switch', xsrf=False, **drain)
        assert page.status == 403
        assert 'not yet submitted' not in (await browser.get('/')).text
        for path in ('/', '/nowhere'):
            headers = (await browser.get(path)).headers
            assert "default-src 'none'" in headers['Content-Security-Policy']
            assert headers['Cache-Control'] == 'no-store'
            assert 'Server' not in headers

    run_site(scenario)


def test_draining_a_domain_shows_the_diff_and_then_the_processes_behind():
    async def scenario(site):
        site.behind = {'engine-3'}
        browser = Browser(site)
        await browser.log_in()
        drain = dict(kind='domain', name='gasabo', in_service='false')
        review = await browser.post('/switch', **drain)
        assert '~ failure domain gasabo: out of service' in review.text
        assert (await site.current()).serial == 1
        status = await browser.post('/submit')
        assert 'Accepted as serial 2' in status.text
        assert '1 of 9 processes' in status.text
        assert 'agent-engine-3' in status.text
        current = await site.current()
        assert current.author == 'ada'
        assert not current.document.failure_domains[1].in_service
        download = await browser.get('/download')
        assert json.loads(download.text)['failure_domains'][1] == {
            'name': 'gasabo',
            'region': 'kigali',
            'in_service': False,
        }

    run_site(scenario)


def test_invalid_fields_are_reported_and_the_input_is_kept():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        key_prefix = samples.load_example().teams[0].key_hashes[0][:8]
        page = await browser.post(
            '/edit',
            kind='team',
            name='nyabugogo-depot',
            field_name='dispatch-desk',
            field_weight='many',
            field_max_open_requests='0',
            field_key_hashes=key_prefix,
            field_key_hashes_added='a plain key by mistake',
        )
        assert page.status == 422
        assert 'href="#field_weight"' in page.text
        assert 'value="many"' in page.text
        assert 'Write at least 1.' in page.text
        assert 'by mistake' not in page.text
        assert 'not yet submitted' not in page.text

    run_site(scenario)


def test_key_rotation_and_rejection_of_a_duplicate_name():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        old = samples.load_example().teams[0].key_hashes[0]
        new = hash_key('a new key')
        fields = dict(
            kind='team',
            name='nyabugogo-depot',
            field_name='nyabugogo-depot',
            field_weight='8',
            field_max_open_requests='512',
            field_key_hashes=old[:8],
        )
        page = await browser.post(
            '/edit', **fields, field_key_hashes_added='1'
        )
        assert 'Not a key hash' in page.text
        duplicate = fields | dict(field_name='dispatch-desk')
        assert (
            'of this name' in (await browser.post('/edit', **duplicate)).text
        )
        await browser.post('/edit', **fields, field_key_hashes_added=new)
        await browser.post('/submit')
        teams = {t.name: t for t in (await site.current()).document.teams}
        assert teams['nyabugogo-depot'].key_hashes == [old, new]

    run_site(scenario)


def test_conflict_shows_both_sides_and_keeps_the_draft():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        fields = dict(kind='model', field_version='2027-01-01')
        fields |= dict(name='returns-assistant', field_adapters='')
        await browser.post('/edit', **fields, field_name='returns-assistant')
        theirs = samples.drained(samples.load_example(), 'kicukiro')
        await site.submit(theirs, 'bob', 1)
        conflict = await browser.post('/submit')
        assert 'bob put serial 2 in force' in conflict.text
        assert 'failure domain kicukiro: out of service' in conflict.text
        assert '2027-01-01' in conflict.text
        review = await browser.post('/conflict')
        assert 'Changes against serial 2' in review.text
        assert 'kicukiro' not in review.text
        await browser.post('/submit')
        document = (await site.current()).document
        assert document.models[0].version == '2027-01-01'
        assert not document.failure_domains[2].in_service

    run_site(scenario)


def test_outage_keeps_the_draft_and_a_lost_reply_does_not_submit_twice(
    monkeypatch,
):
    monkeypatch.setattr('wigeonmill.config.acceptance.SWAP_RETRY_PAUSE_S', 0.0)

    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        drain = dict(kind='target', name='engine-1', in_service='false')
        await browser.post('/switch', **drain)
        site.kv.faults.outage = True
        page = await browser.post('/submit')
        assert page.status == 503 and 'changes are kept' in page.text
        site.kv.faults.outage = False
        site.kv.faults.lose_replies = 1
        assert 'serial 2' in (await browser.post('/submit')).text
        history = await browser.get('/history')
        assert 'Go back to 1' in history.text
        review = await browser.post('/rollback', serial='1')
        assert 'target engine-1: into service' in review.text
        await browser.post('/submit')
        records = [
            decode_record(event.entry.value)
            for event in site.kv._events
            if event.key.endswith('/current')
        ]
        assert [record.serial for record in records] == [1, 2, 3]

    run_site(scenario)


def test_draining_too_much_needs_the_force_checkbox():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        for name in ('gasabo', 'kicukiro'):
            fields = dict(kind='domain', name=name, in_service='false')
            review = await browser.post('/switch', **fields)
        assert 'leave at once' in review.text
        assert (await browser.post('/submit')).status == 422
        assert 'serial 2' in (await browser.post('/submit', force='on')).text

    run_site(scenario)


def test_all_pages_load_and_items_can_be_added_and_removed():
    async def scenario(site):
        browser = Browser(site)
        await browser.log_in()
        for kind in ('service', 'domain', 'team', 'model', 'store-vm'):
            assert (await browser.get(f'/list?kind={kind}')).status == 200
            assert (await browser.get(f'/edit?kind={kind}')).status == 200
        assert (await browser.get('/edit?kind=limits')).status == 200
        assert (await browser.get('/edit?kind=planet')).status == 404
        assert (await browser.get('/edit?kind=team&name=none')).status == 404
        new = dict(kind='target', parent='assistant', name='')
        page = await browser.post(
            '/edit',
            **new,
            field_name='engine-7',
            field_failure_domain='gasabo',
            field_agent='127.0.0.1:7301',
            field_address='127.0.0.1:8399',
        )
        assert 'The address is also at' in page.text
        review = await browser.post(
            '/edit',
            **new,
            field_name='engine-7',
            field_failure_domain='gasabo',
            field_agent='127.0.0.1:7399',
            field_address='127.0.0.1:8399',
        )
        assert '+ service assistant, target engine-7' in review.text
        fields = dict(kind='team', name='gisozi-depot')
        review = await browser.post('/remove', **fields)
        assert '- team gisozi-depot' in review.text

    run_site(scenario)
