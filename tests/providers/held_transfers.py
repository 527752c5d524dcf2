"""Transfers without a network that end when a test says so."""

from wigeonmill.providers.transfers import MAX_REPLY_BYTES
from wigeonmill.providers.transfers import ReplyAccount
from wigeonmill.providers.transfers import TransferEnd


class HeldTransfer:
    def __init__(self, sink):
        self.sink = sink
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class HeldTransfers:
    """Takes the place of a TransferLoop."""

    def __init__(self):
        self.max_reply_bytes = MAX_REPLY_BYTES
        self.replies = ReplyAccount(2 * MAX_REPLY_BYTES)
        self.started = []

    def start(self, call, sink):
        transfer = HeldTransfer(sink)
        self.started.append(transfer)
        return transfer

    def end_all(self):
        """End all transfers that were started."""
        for transfer in self.started:
            transfer.sink.on_end(TransferEnd.BROKEN, 'closed')

    def close(self):
        pass
