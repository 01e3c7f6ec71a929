"""Sessions of entries and agents at one control instance.

Every member serves ``subscribe``, ``announce`` and ``fresh``. Only the leader
serves ``submit``, ``claim``, ``record_answer`` and ``look_up_claim``; on other
members they fail with ``not_leader`` and the leader's name. Messages and
replies:

- ``claim``: ``ClaimRequest``, ``ClaimRecord``. The sender holds the claim if
  the record has its ``claim_id``. The failure ``invalid`` means that the key
  was used for another request.
- ``record_answer``: ``RecordAnswer``, ``ClaimRecord``.
- ``look_up_claim``: ``LookUpClaim``, ``ClaimLookup``.
- ``submit``: ``Submit``, ``Outcome``.
"""

from typing import Any, final

from twisted.internet.defer import Deferred, succeed

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.link import Link
from wasabiturn.messages.kinds import FailureCode, Method
from wasabiturn.messages.link import Nothing
from wasabiturn.messages.session import (
    Announce,
    ClaimLookup,
    DirectoryChanges,
    Fresh,
    LookUpClaim,
    Submit,
    Subscribe,
    Subscribed,
)
from wasabiturn.messages.state import ClaimRequest, Outcome, RecordAnswer
from wasabiturn.process.control.api_core import ApiCore, register_api
from wasabiturn.process.control.claim_batches import (
    create_answer_batcher,
    create_claim_batcher,
)
from wasabiturn.process.control.directory import (
    Directory,
    create_directory,
    snapshot_directory,
)
from wasabiturn.process.control.housekeeping import Housekeeping
from wasabiturn.process.control.submission import read_barrier, submit
from wasabiturn.process.control.subscribers import Subscribers
from wasabiturn.process.control.tokens import read_tokens
from wasabiturn.process.control.watches import Watches, create_watches
from wasabiturn.process.daemon import Context
from wasabiturn.process.freshness import FRESH_SECONDS
from wasabiturn.utils.ticker import Ticker
from wasabiturn.version.apply_claims import claim_key
from wasabiturn.version.replica import AppliedCommand, Replica

EXPIRE_PERIOD_SECONDS = 0.5


@final
class Sessions:
    """Serve entries and agents on the links of one control instance."""

    def __init__(self, replica: Replica, directory: Directory, clock: Any):
        """Create the sessions; ``register`` makes them available."""
        self.directory = directory
        self.subscribers = Subscribers()
        self.watches: Watches | None = None
        self._housekeeping = Housekeeping(replica, clock)
        self._replica = replica
        self._clock = clock
        self._claim_batcher = create_claim_batcher(replica)
        self._answer_batcher = create_answer_batcher(replica)
        self._was_complete = False
        self._ticker = Ticker(self._tick, clock)

    def register(self, dispatch: Dispatch) -> None:
        """Register the handlers on ``dispatch``."""
        dispatch.revision = lambda: self._replica.state.revision
        dispatch.on_close.append(self.subscribers.remove)
        dispatch.handle(Method.subscribe, Subscribe, self._subscribe)
        dispatch.handle(Method.announce, Announce, self._announce)
        dispatch.handle(Method.fresh, Nothing, self._confirm_freshness)
        dispatch.handle(Method.submit, Submit, self._submit)
        dispatch.handle(Method.claim, ClaimRequest, self._claim)
        dispatch.handle(Method.record_answer, RecordAnswer, self._record_answer)
        dispatch.handle(Method.look_up_claim, LookUpClaim, self._look_up_claim)
        self._replica.on_applied.append(self._publish_changes)
        self._replica.on_restored.append(self._publish_restored)

    def start(self) -> None:
        """Start expiring agents, housekeeping and watches."""
        self._ticker.start(EXPIRE_PERIOD_SECONDS, now=False)
        self._housekeeping.start()
        if self.watches is not None:
            self.watches.start()

    def drain(self) -> Deferred[None]:
        """Do nothing: entries and agents reconnect to other members."""
        return succeed(None)

    def close(self) -> None:
        """Stop expiring agents, housekeeping and watches."""
        if self._ticker.running:
            self._ticker.stop()
        self._housekeeping.stop()
        if self.watches is not None:
            self.watches.stop()

    def _publish_changes(self, applied: AppliedCommand) -> None:
        if applied.changes:
            self.subscribers.publish(self._replica.state)

    def _publish_restored(self) -> None:
        self.subscribers.publish(self._replica.state)

    def _subscribe(self, link: Link, message: Subscribe) -> Subscribed:
        state = self._replica.state
        self.subscribers.add(link, message, state)
        if message.directory:
            agents = snapshot_directory(self.directory, self._clock.seconds())
            link.notify(Method.directory_changes, agents)
        return Subscribed(revision=state.revision)

    def _announce(self, link: Link, message: Announce) -> None:
        if self.directory.update(message.record, self._clock.seconds()):
            change = DirectoryChanges(agents=[message.record])
            self.subscribers.publish_directory(change)

    def _confirm_freshness(self, link: Link, message: Nothing) -> Fresh:
        # The subscriber relies on this reply until then.
        needed_until = self._clock.seconds() + FRESH_SECONDS
        if not self._replica.is_fresh(needed_until):
            text = 'no quorum has confirmed the state lately'
            raise CallError(FailureCode.unavailable, text)
        return Fresh(revision=self._replica.state.revision)

    def _submit(self, link: Link, message: Submit) -> Deferred[Outcome]:
        return submit(self._replica, message.command)

    def _claim(self, link: Link, message: ClaimRequest) -> Deferred[Any]:
        return self._claim_batcher.add(message)

    def _record_answer(
        self,
        link: Link,
        message: RecordAnswer,
    ) -> Deferred[Any]:
        return self._answer_batcher.add(message)

    def _look_up_claim(
        self,
        link: Link,
        message: LookUpClaim,
    ) -> Deferred[ClaimLookup]:
        key = claim_key(message.service_name, message.key)
        return read_barrier(self._replica).addCallback(
            lambda _: ClaimLookup(
                record=self._replica.state.claims_by_key.get(key),
            ),
        )

    def _tick(self) -> None:
        now = self._clock.seconds()
        expired = self.directory.expire(now)
        if expired:
            self.subscribers.publish_directory(DirectoryChanges(gone=expired))
        if self.directory.is_complete(now) and not self._was_complete:
            self._was_complete = True
            directory_snapshot = snapshot_directory(self.directory, now)
            self.subscribers.publish_directory(directory_snapshot)


def create_sessions(
    context: Context,
    replica: Replica,
    dispatch: Dispatch,
) -> Sessions:
    """Create the sessions of a control instance and register them."""
    clock = context.reactor
    directory = create_directory(clock)
    sessions = Sessions(replica, directory, clock)
    sessions.register(dispatch)
    section = context.settings.control
    tokens = read_tokens(section.token_file if section else None)
    core = ApiCore(replica, directory, tokens)
    register_api(core, dispatch)
    sessions.watches = create_watches(replica, tokens, clock, dispatch)
    return sessions
