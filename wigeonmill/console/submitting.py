"""Pages that review and submit a draft, and resolve conflicts."""

from result import Err

from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.acceptance import find_faults
from wigeonmill.config.acceptance import OutcomeUnknown
from wigeonmill.config.acceptance import Rejected
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.acceptance import SubmitError
from wigeonmill.config.faults import Fault
from wigeonmill.console.base import ConsoleHandler


class ReviewHandler(ConsoleHandler):
    """The changes and faults of the draft before it is submitted."""

    async def get(self) -> None:
        """Show the changes."""
        await self.refresh_draft()
        self.show_review()

    def show_review(self) -> None:
        """Render the changes with the faults of the whole document."""
        draft = self.current_draft()
        old = draft.base if draft.base_serial else None
        faults = find_faults(old, draft.document)
        self.render(
            'review.html',
            changes=draft.changes,
            faults=faults,
            forceable=all(fault.forceable for fault in faults),
            merge_conflicts=draft.merge_conflicts,
        )


class SubmitHandler(ReviewHandler):
    """Submits the draft."""

    async def post(self) -> None:
        """Submit the draft, then show the processes or the error."""
        draft = self.current_draft()
        if not draft.submission_id:
            draft.submission_id = self.context.new_id()
        submission = Submission(
            draft.document,
            draft.author,
            draft.submission_id,
            draft.base_serial,
            self.get_body_argument('force', '') == 'on',
        )
        outcome = await submit(self.context.kv, self.context.clock, submission)
        if isinstance(outcome, Err):
            return self._show_error(outcome.err_value)
        record = outcome.ok_value.record
        draft.reset_to(record)
        self.redirect(f'/status?accepted={record.serial}', status=303)

    def _show_error(self, error: SubmitError) -> None:
        match error:
            case Conflict():
                self.current_draft().conflict = error
                self.redirect('/conflict', status=303)
                return
            case Rejected():
                self.set_status(422)
                self.notice = f'Not accepted: {_first_fault(error.faults)}'
            case OutcomeUnknown():
                self.set_status(502)
                self.notice = (
                    'The reply of the key-value service was lost: the change '
                    'may have been accepted. Submit again to check; it '
                    'cannot be accepted twice.'
                )
            case _:
                self.set_status(503)
                self.notice = (
                    'The key-value service does not answer. Nothing was '
                    'written and your changes are kept.'
                )
        self.show_review()


class ConflictHandler(ConsoleHandler):
    """The two sides of a conflict."""

    def get(self) -> None:
        """Show the accepted changes and the draft's changes."""
        conflict = self.current_draft().conflict
        if conflict is None:
            self.redirect('/review', status=303)
            return
        changes = self.current_draft().changes
        self.render('conflict.html', conflict=conflict, changes=changes)

    def post(self) -> None:
        """Rebase the draft onto the accepted record."""
        self.current_draft().rebase()
        self.redirect('/review', status=303)


def _first_fault(faults: list[Fault]) -> str:
    return faults[0].line() if faults else ''
