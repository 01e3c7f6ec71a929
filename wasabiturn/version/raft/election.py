"""Elections: pre-vote, votes and the role changes that follow."""

from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import (
    Entry,
    Envelope,
    VoteReply,
    VoteRequest,
)
from wasabiturn.version.raft import membership
from wasabiturn.version.raft.lease import must_refuse_votes
from wasabiturn.version.raft.replication import append, broadcast
from wasabiturn.version.raft.state import (
    Leadership,
    Progress,
    RaftRole,
    RaftState,
    send,
    set_term,
)
from wasabiturn.version.raft.timing import (
    CHECK_QUORUM_SECONDS,
    ELECTION_JITTER_SECONDS,
    ELECTION_TIMEOUT_SECONDS,
    NEVER,
)


def become_follower(
    state: RaftState,
    term: int,
    leader_id: str,
    now: float,
) -> None:
    """Become a follower in ``term``."""
    if term > state.ballot.term:
        set_term(state, term, '')
    state.role = RaftRole.follower
    state.leader_id = leader_id
    state.leadership = None
    state.votes = set()
    reset_election_timer(state, now)


def reset_election_timer(state: RaftState, now: float) -> None:
    """Restart the election timer with a random jitter."""
    jitter = state.random.random() * ELECTION_JITTER_SECONDS
    state.election_due_at = now + ELECTION_TIMEOUT_SECONDS + jitter


def leave_turn_to_others(state: RaftState, now: float) -> None:
    """Let each other voter campaign first.

    For a leader that stood still for so long that it was deposed: it would
    probably do so again, as what it does to take over takes too long.
    """
    others = len(membership.voters(state)) - 1
    state.leaves_turn_until = now + others * CHECK_QUORUM_SECONDS


def start_pre_vote(state: RaftState, now: float) -> None:
    """Ask whether a quorum would grant a vote, without entering a new term."""
    state.role = RaftRole.pre_candidate
    state.leader_id = ''
    state.votes = {state.member_id}
    reset_election_timer(state, now)
    request = VoteRequest(
        pre_vote=True,
        proposed_term=state.ballot.term + 1,
    )
    _request_votes(state, request)
    _tally_votes(state, now)


def start_election(state: RaftState, now: float, transfer: bool) -> None:
    """Enter the next term as a candidate and request votes."""
    state.role = RaftRole.candidate
    state.leader_id = ''
    set_term(state, state.ballot.term + 1, state.member_id)
    state.votes = {state.member_id}
    reset_election_timer(state, now)
    request = VoteRequest(proposed_term=state.ballot.term, transfer=transfer)
    _request_votes(state, request)
    _tally_votes(state, now)


def handle_vote_request(
    state: RaftState,
    request: VoteRequest,
    envelope: Envelope,
    now: float,
) -> None:
    """Grant or refuse a vote; ignore the request while a leader is heard.

    A leadership transfer is not ignored: the leader gave up its lease before
    it asked its successor to campaign.
    """
    if must_refuse_votes(state, now) and not request.transfer:
        return
    if not request.pre_vote and request.proposed_term > state.ballot.term:
        become_follower(state, request.proposed_term, '', now)
    granted = _would_grant(state, request, envelope.sender)
    if not _has_whole_log(state, request):
        # That one cannot lead, and perhaps nobody else is there.
        state.leaves_turn_until = NEVER
    if granted and not request.pre_vote:
        set_term(state, request.proposed_term, envelope.sender)
        reset_election_timer(state, now)
    reply = VoteReply(
        pre_vote=request.pre_vote,
        proposed_term=request.proposed_term,
        granted=granted,
    )
    send(state, Envelope(receiver=envelope.sender, vote_reply=reply))


def handle_vote_reply(
    state: RaftState,
    reply: VoteReply,
    envelope: Envelope,
    now: float,
) -> None:
    """Count a granted vote."""
    expected = RaftRole.candidate
    term = state.ballot.term
    if reply.pre_vote:
        expected = RaftRole.pre_candidate
        term += 1
    if state.role is not expected or reply.proposed_term != term:
        return
    if reply.granted:
        state.votes.add(envelope.sender)
        _tally_votes(state, now)


def _would_grant(
    state: RaftState,
    request: VoteRequest,
    candidate: str,
) -> bool:
    if not _has_whole_log(state, request):
        return False
    if request.pre_vote:
        return request.proposed_term > state.ballot.term
    if request.proposed_term != state.ballot.term:
        return False
    return state.ballot.voted_for in {'', candidate}


def _has_whole_log(state: RaftState, request: VoteRequest) -> bool:
    """Return whether the candidate's log is not behind that of this member."""
    candidate_position = (request.last_term, request.last_index)
    return candidate_position >= (state.log.last_term, state.log.last_index)


def _request_votes(state: RaftState, request: VoteRequest) -> None:
    request.last_index = state.log.last_index
    request.last_term = state.log.last_term
    for voter in membership.voters(state):
        if voter != state.member_id:
            send(state, Envelope(receiver=voter, vote_request=request))


def _tally_votes(state: RaftState, now: float) -> None:
    if not membership.is_quorum(state, state.votes):
        return
    if state.role is RaftRole.pre_candidate:
        start_election(state, now, transfer=False)
    else:
        _become_leader(state, now)


def _become_leader(state: RaftState, now: float) -> None:
    state.role = RaftRole.leader
    state.leader_id = state.member_id
    first_index = state.log.last_index + 1
    state.leadership = Leadership(
        since=now,
        first_index=first_index,
        progress_by_id={
            peer: Progress(next_index=first_index)
            for peer in membership.peers(state)
        },
    )
    append(state, [Entry(kind=EntryKind.noop)])
    broadcast(state, now)
