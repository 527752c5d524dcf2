import pytest

from tests.console.chrome import Chrome
from tests.console.chrome import find_browser
from tests.console.site import OPERATOR_KEY
from tests.console.site import run_site


@pytest.mark.skipif(find_browser() is None, reason='no browser is installed')
def test_domain_is_drained_using_only_the_keyboard(tmp_path):
    async def scenario(site):
        chrome = await Chrome.start(tmp_path / 'profile')
        try:
            await drain_by_keyboard(chrome, site)
        finally:
            await chrome.stop()
        domains = (await site.current()).document.failure_domains
        assert [d.in_service for d in domains] == [True, False, True]

    run_site(scenario)


async def drain_by_keyboard(chrome, site):
    await chrome.open(site.url + '/login')
    assert await chrome.run('document.activeElement.id') == 'author'
    await chrome.type('ada')
    await chrome.press('Tab')
    await chrome.type(OPERATOR_KEY)
    await chrome.press('Enter')
    await chrome.wait_for('document.title.startsWith("Overview")')
    await chrome.tab_to('Take out gasabo')
    await chrome.press('Enter')
    await chrome.wait_for('document.title.startsWith("Review")')
    await chrome.tab_to('Submit')
    await chrome.press('Enter')
    await chrome.wait_for('document.title.startsWith("Processes")')
    count_unlabelled = (
        '[...document.querySelectorAll("input:not([type=hidden]),'
        'select,textarea")].filter(e => !e.labels.length).length'
    )
    for page in ('edit?kind=team&name=dispatch-desk', 'list?kind=team'):
        await chrome.open(f'{site.url}/{page}')
        assert await chrome.run(count_unlabelled) == 0
