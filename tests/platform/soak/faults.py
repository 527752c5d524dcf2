"""Faults from outside the processes, drawn by a seed; they may overlap."""

import asyncio
import signal

from tests.platform.soak.world import DOMAINS
from tests.platform.soak.world import PLAIN
from tests.platform.soak.world import STREAMS
from wigeonmill.standins.fault_proxy import Direction
from wigeonmill.standins.fault_proxy import reset_stream

DOWN_S = (0.1, 1.0)
FAULT_S = (0.5, 3.0)
PAUSE_S = (0.2, 1.2)


class Faults:
    """Draws faults and undoes each after a while."""

    def __init__(self, rng, world, note):
        self.rng = rng
        self.world = world
        self.note = note
        self._running = set()
        self._kinds = [
            self.kill,
            self.stop_and_start,
            self.pause,
            self.reload,
            self.store_down,
            self.store_slow,
            self.store_loses_answers,
            self.store_forgets,
            self.cut_from_store,
            self.crash_target,
            self.drain_target,
            self.reset_target,
            self.cut_target_answers,
            self.silence_target,
            self.slow_target,
            self.change_state,
            self.name_weights,
            self.name_weights,
        ]

    async def run(self, until):
        """Start faults until a time of the loop, then wait for their ends."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            kind = self.rng.choice(self._kinds)
            self.note(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        if self._running:
            await asyncio.gather(*self._running)

    async def _while(self, span):
        await asyncio.sleep(self.rng.uniform(*span))

    def _gateway(self):
        return self.rng.choice(self.world.gateways)

    def _target(self):
        present = [t for t in self.world.targets if t.state == 'ready']
        return self.rng.choice(present)

    async def kill(self):
        gateway = self._gateway()
        gateway.reap()
        await self._while(DOWN_S)
        if not gateway.running:
            gateway.start()

    async def stop_and_start(self):
        gateway = self._gateway()
        gateway.send(signal.SIGTERM)
        await gateway.ended()
        await self._while(DOWN_S)
        if not gateway.running:
            gateway.start()

    async def pause(self):
        gateway = self._gateway()
        gateway.send(signal.SIGSTOP)
        await self._while(FAULT_S)
        gateway.send(signal.SIGCONT)

    async def reload(self):
        self._gateway().send(signal.SIGHUP)

    async def store_down(self):
        self.world.keys.faults.outage = True
        await self._while(FAULT_S)
        self.world.keys.faults.outage = False

    async def store_slow(self):
        self.world.keys.faults.delay_ms = self.rng.uniform(50, 250)
        await self._while(FAULT_S)
        self.world.keys.faults.delay_ms = 0.0

    async def store_loses_answers(self):
        self.world.keys.faults.lose_replies = self.rng.randint(1, 10)

    async def store_forgets(self):
        self.world.keys.oldest_revision = self.world.keys.revision

    async def cut_from_store(self):
        faults = self._gateway().store_proxy.state.faults
        faults.drop = self.rng.random() < 0.5
        faults.refuse = not faults.drop
        await self._while(FAULT_S)
        faults.drop = faults.refuse = False

    async def crash_target(self):
        target = self._target()
        target.state = 'gone'
        await target.stop()
        await self._while(DOWN_S)
        await self.world.add_target(target.service, target.domain)
        self.world.targets.remove(target)

    async def drain_target(self):
        target = self._target()
        target.state = 'draining'
        service = STREAMS if target.streaming else PLAIN
        await self.world.add_target(service, self.rng.choice(DOMAINS))
        await asyncio.sleep(4.0)
        await target.stop()
        self.world.targets.remove(target)

    async def reset_target(self):
        for stream in list(self._target().proxy.state.open_streams):
            reset_stream(stream)

    async def cut_target_answers(self):
        faults = self._target().proxy.state.faults
        faults.cut_after_bytes = self.rng.randint(1, 400)
        faults.cuts = self.rng.randint(1, 10)

    async def silence_target(self):
        faults = self._target().proxy.state.faults
        faults.stall = self.rng.choice(list(Direction))
        await self._while(FAULT_S)
        faults.stall = None

    async def slow_target(self):
        faults = self._target().proxy.state.faults
        faults.delay_ms = self.rng.uniform(20, 300)
        await self._while(FAULT_S)
        faults.delay_ms = 0.0

    async def name_weights(self):
        await self.world.name_weights()

    async def change_state(self):
        for _turn in range(self.rng.randint(1, 5)):
            await self.world.put_state()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
