import asyncio

from wigeonmill.gateway import supervision
from wigeonmill.gateway.supervision import run_supervised


def test_a_loop_is_restarted_after_an_exception(monkeypatch, caplog):
    monkeypatch.setattr(supervision, 'RESTART_DELAY_S', 0.0)
    starts = []

    async def loop():
        starts.append(1)
        if len(starts) < 3:
            raise ValueError('broken')

    asyncio.run(run_supervised(loop))
    assert len(starts) == 3
    assert 'exception in a background loop' in caplog.text
