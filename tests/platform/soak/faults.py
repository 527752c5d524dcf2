"""Random faults from outside the processes; they may overlap."""

import asyncio
import signal
import time

from tests.platform.soak.environment import DOMAINS
from tests.platform.soak.environment import GRACE_MS
from tests.platform.soak.handlers import AnswerForm
from tests.platform.soak.handlers import Rest
from tests.platform.soak.handlers import SilenceForm
from tests.platform.soak.states import PLAIN_SERVICE
from tests.platform.soak.states import STREAM_SERVICE
from wigeonmill.standins.fault_proxy import Direction

DOWN_RANGE_S = (0.1, 1.0)
FAULT_RANGE_S = (0.5, 3.0)
# The grace time, and time to notice the end of the process.
EXIT_TIMEOUT_S = GRACE_MS / 1000.0 + 1.0
SILENCE_RANGE_S = (0.8, 2.5)
# Time from the moment at which a target leaves to its end.
LEAVING_S = 4.0
INTERVAL_RANGE_S = (0.2, 1.2)
# Time from one loss of all entries to the next.
HERD_RANGE_S = (4.0, 9.0)


class Faults:
    """Injects random faults and ends each of them after a random time."""

    def __init__(self, rng, environment, record_fault):
        self.rng = rng
        self.environment = environment
        self.record_fault = record_fault
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
        """Start faults until the loop time `until`; wait until all have ended.

        `record_fault` is called with the name of the method of each fault.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            kind = self.rng.choice(self._kinds)
            self.record_fault(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await self._pause()
        if self._running:
            await asyncio.gather(*self._running)

    async def _pause(self):
        """Wait until the next fault."""
        await self._wait(INTERVAL_RANGE_S)

    async def _wait(self, range_s):
        await asyncio.sleep(self.rng.uniform(*range_s))

    def _begin(self, name):
        return self.environment.journal.begin_fault(name)

    def _end(self, span):
        span[1] = time.monotonic()

    def _pick_gateway(self):
        return self.rng.choice(self.environment.gateways)

    def _pick_target(self):
        ready = [
            t
            for t in self.environment.targets
            if t.state == 'ready' and not t.leaving
        ]
        return self.rng.choice(ready)

    async def kill(self):
        gateway = self._pick_gateway()
        span = self._begin(gateway.name)
        journal = self.environment.journal
        killing = journal.interrupt(gateway.name, time.monotonic())
        gateway.kill_and_wait()
        self._end(killing)
        await self._wait(DOWN_RANGE_S)
        if not gateway.running:
            gateway.start()
        self._end(span)

    async def kill_all(self):
        """Kill all entries at once; nothing that they knew is left."""
        gateways = self.environment.gateways
        journal = self.environment.journal
        now = time.monotonic()
        spans = [self._begin(gateway.name) for gateway in gateways]
        killings = [journal.interrupt(g.name, now) for g in gateways]
        for gateway, killing in zip(gateways, killings):
            gateway.kill_and_wait()
            self._end(killing)
        await self._wait(DOWN_RANGE_S)
        for gateway, span in zip(gateways, spans):
            if not gateway.running:
                gateway.start()
            self._end(span)

    async def stop_and_start(self):
        gateway = self._pick_gateway()
        span = self._begin(gateway.name)
        await self._terminate(gateway)
        await self._wait(DOWN_RANGE_S)
        if not gateway.running:
            gateway.start()
        self._end(span)

    async def _terminate(self, gateway):
        """Send SIGTERM and wait for the end of the process."""
        journal = self.environment.journal
        journal.record_work('SIGTERM', gateway.name)
        last_sixth_at = time.monotonic() + GRACE_MS / 1000.0 * 5 / 6
        gateway.signal_process(signal.SIGTERM)
        if not await gateway.wait_until_exited(EXIT_TIMEOUT_S):
            journal.hung_ends.append(gateway.name)
        exited_at = time.monotonic()
        if exited_at >= last_sixth_at:
            journal.interrupt(gateway.name, last_sixth_at, exited_at)

    async def pause(self):
        gateway = self._pick_gateway()
        span = self._begin(gateway.name)
        journal = self.environment.journal
        pausing = journal.interrupt(gateway.name, time.monotonic())
        gateway.signal_process(signal.SIGSTOP)
        await self._wait(FAULT_RANGE_S)
        gateway.signal_process(signal.SIGCONT)
        self._end(pausing)
        self._end(span)

    async def reload(self):
        self._reload(self._pick_gateway())

    def _reload(self, gateway):
        if gateway.survives_reload():
            self.environment.journal.record_work('SIGHUP', gateway.name)
            gateway.signal_process(signal.SIGHUP)

    async def store_down(self):
        self.environment.key_value.faults.outage = True
        await self._wait(FAULT_RANGE_S)
        self.environment.key_value.faults.outage = False

    async def store_slow(self):
        self.environment.key_value.faults.delay_ms = self.rng.uniform(50, 250)
        await self._wait(FAULT_RANGE_S)
        self.environment.key_value.faults.delay_ms = 0.0

    async def store_loses_answers(self):
        self.environment.key_value.faults.lose_replies = self.rng.randint(
            1, 10
        )

    async def store_forgets(self):
        self.environment.key_value.oldest_revision = (
            self.environment.key_value.revision
        )

    async def cut_from_store(self):
        faults = self._pick_gateway().store_proxy.state.faults
        faults.drop = self.rng.random() < 0.5
        faults.refuse = not faults.drop
        await self._wait(FAULT_RANGE_S)
        faults.drop = faults.refuse = False

    async def crash_target(self):
        target = self._pick_target()
        target.state = 'gone'
        await self.environment.remove_target(target)
        await self._wait(DOWN_RANGE_S)
        await self.environment.add_target(target.service, target.domain)

    async def drain_target(self):
        target = self._pick_target()
        target.state = 'draining'
        service = STREAM_SERVICE if target.streaming else PLAIN_SERVICE
        await self.environment.add_target(service, self.rng.choice(DOMAINS))
        await asyncio.sleep(LEAVING_S)
        await self.environment.remove_target(target)

    async def reset_target(self):
        target = self._pick_target()
        span = self._begin(target.id)
        target.reset_connections()
        self._end(span)

    async def cut_target_answers(self):
        target = self._pick_target()
        if target.answer_form is not None:
            # An orderly cut between two events of a stream without a length
            # can't be told from its end.
            return
        # It ends with the last of the cuts, whenever that is.
        self._begin(target.id)
        faults = target.proxy.state.faults
        faults.cut_after_bytes = self.rng.randint(1, 400)
        faults.cuts = self.rng.randint(1, 10)

    async def silence_target(self):
        target = self._pick_target()
        span = self._begin(target.id)
        faults = target.proxy.state.faults
        faults.stall = self.rng.choice(list(Direction))
        await self._wait(FAULT_RANGE_S)
        faults.stall = None
        self._end(span)

    async def slow_target(self):
        target = self._pick_target()
        span = self._begin(target.id)
        faults = target.proxy.state.faults
        faults.delay_ms = self.rng.uniform(20, 300)
        await self._wait(FAULT_RANGE_S)
        faults.delay_ms = 0.0
        self._end(span)

    async def name_weights(self):
        await self.environment.publish_weights()

    async def change_state(self):
        for _ in range(self.rng.randint(1, 5)):
            await self.environment.put_state()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))


class AnswerFaults(Faults):
    """Targets that end answers early or never, drawn beside the others."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.spoil_answers]

    async def spoil_answers(self):
        target = self._pick_target()
        if target.answer_form is not None or target.proxy.state.faults.cuts:
            return
        target.answer_form = self.rng.choice(list(AnswerForm))
        await self._wait(FAULT_RANGE_S)
        target.answer_form = None


class HerdFaults(Faults):
    """The loss of all entries at once, drawn beside the others."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.kill_all]

    async def _pause(self):
        await self._wait(HERD_RANGE_S)


class NoticeFaults(Faults):
    """Targets that leave or ask for time, and say so in answers only.

    They are drawn beside the other faults, whose list stays as it was.
    """

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.leave_target, self.close_target]

    async def leave_target(self):
        target = self._pick_target()
        target.leaving = True
        await self.environment.add_target(target.service, target.domain)
        await asyncio.sleep(LEAVING_S)
        await self.environment.remove_target(target)

    async def close_target(self):
        time_s = self.rng.uniform(*FAULT_RANGE_S)
        target = self._pick_target()
        target.rest = rest = Rest(None, time.monotonic() + time_s)
        await asyncio.sleep(time_s)
        if target.rest is rest:
            target.rest = None


class SilenceFaults(Faults):
    """Sound targets that are silent for a time and go on.

    They are drawn beside the other faults, whose list stays as it was.
    """

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.hold_target]

    async def hold_target(self):
        target = self._pick_target()
        form = self.rng.choice(list(SilenceForm))
        time_s = self.rng.uniform(*SILENCE_RANGE_S)
        if target.silence is not None:
            return
        span = self.environment.journal.begin_silence(target.id, form.value)
        target.fall_silent(form)
        await asyncio.sleep(time_s)
        target.go_on()
        span.ended_at = time.monotonic()
