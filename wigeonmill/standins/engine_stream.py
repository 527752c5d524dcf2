"""Writes a run's answer to an HTTP caller, streamed or whole."""

import asyncio
import time

import msgspec

from wigeonmill.standins.engine_batch import Run
from wigeonmill.standins.engine_batch import RunState
from wigeonmill.standins.engine_core import Engine
from wigeonmill.standins.engine_messages import CachedDetails
from wigeonmill.standins.engine_messages import ChatMessage
from wigeonmill.standins.engine_messages import Choice
from wigeonmill.standins.engine_messages import Completion
from wigeonmill.standins.engine_messages import Delta
from wigeonmill.standins.engine_messages import Usage
from wigeonmill.standins.server import StandinHandler

FINISH_REASON = 'length'


class RunHandler(StandinHandler):
    """A handler that delivers one run's answer."""

    state: Engine
    _run: Run | None = None
    _offset = 0
    _chat = False
    _ended: asyncio.Future[None]

    def prepare(self) -> None:
        if self.state.down:
            self.drop()

    async def stream(self, run: Run, offset: int, chat: bool) -> None:
        """Send server-sent events from token `offset` to the end."""
        self._offset = offset
        self._chat = chat
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-cache')
        await self._watch_run(run, self._send_new_tokens)
        if run.state is not RunState.FINISHED:
            return self.drop()
        self._write_event(self._last_chunk(run))
        self.write(b'data: [DONE]\n\n')
        return None

    async def send_whole(self, run: Run, chat: bool) -> None:
        """Send the answer as one JSON object when it is complete."""
        self._chat = chat
        await self._watch_run(run, lambda: None)
        if run.state is not RunState.FINISHED:
            return self.drop()
        completion = self._completion(run, self._whole_choice(run))
        completion.usage = _usage(run)
        return self.reply(completion)

    def on_connection_close(self) -> None:
        if self._run is not None and not self._ended.done():
            self._ended.set_result(None)

    async def _watch_run(self, run: Run, send) -> None:  # type: ignore
        self._run = run
        self._ended = asyncio.get_running_loop().create_future()

        def on_update() -> None:
            if self._ended.done():
                return
            send()
            if not run.open:
                self._ended.set_result(None)

        run.listeners.append(on_update)
        on_update()
        try:
            await self._ended
        finally:
            run.listeners.remove(on_update)
            self.state.reader_disconnected(run)

    def _send_new_tokens(self) -> None:
        run = self._run
        if run is None or run.state is RunState.CRASHED or self._finished:
            return
        if run.emitted <= self._offset:
            return
        text = ''.join(run.tokens[self._offset : run.emitted])
        self._offset = run.emitted
        self._write_event(self._completion(run, self._text_choice(text)))
        self.flush()

    def _write_event(self, completion: Completion) -> None:
        self.write(b'data: ' + msgspec.json.encode(completion) + b'\n\n')

    def _completion(self, run: Run, choice: Choice) -> Completion:
        kind = 'chat.completion' if self._chat else 'text_completion'
        if self._chat and choice.message is None:
            kind = 'chat.completion.chunk'
        return Completion(
            run.request_id,
            kind,
            int(time.time()),
            self.state.model,
            [choice],
            self._offset,
            run.weight_version,
        )

    def _text_choice(self, text: str, finish: str | None = None) -> Choice:
        if self._chat:
            return Choice(0, delta=Delta(text), finish_reason=finish)
        return Choice(0, text=text, finish_reason=finish)

    def _last_chunk(self, run: Run) -> Completion:
        completion = self._completion(
            run, self._text_choice('', FINISH_REASON)
        )
        completion.usage = _usage(run)
        return completion

    def _whole_choice(self, run: Run) -> Choice:
        text = ''.join(run.tokens)
        if not self._chat:
            return Choice(0, text=text, finish_reason=FINISH_REASON)
        message = ChatMessage('assistant', text)
        return Choice(0, message=message, finish_reason=FINISH_REASON)


def _usage(run: Run) -> Usage:
    return Usage(
        run.prompt_tokens,
        run.emitted,
        run.prompt_tokens + run.emitted,
        CachedDetails(run.cached_tokens),
    )
