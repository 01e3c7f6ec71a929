// Consensus between control instances, and records of the durable log.
// Times are seconds on the reactor clock of the member named in the comment.

struct Member {
  1: string member_id,      // "name/incarnation"
  2: bool voter,            // false: learner
}

struct Membership {
  1: list<Member> members,
}

struct Entry {
  1: i64 term,
  2: i64 index,
  3: i32 kind,              // EntryKind
  4: binary payload,        // serialized Command or Membership
}

struct Ballot {
  1: string cluster,        // "" until the member belongs to a cluster
  2: i64 term,
  3: string voted_for,
}

struct VoteRequest {
  1: bool pre_vote,
  2: i64 proposed_term,
  3: i64 last_index,
  4: i64 last_term,
  5: bool transfer,         // the leader gave up its lease in favour of the sender
}

// Sent by a leader that stops, to the member that is to become leader.
struct TransferLeadership {
}

struct VoteReply {
  1: bool pre_vote,
  2: i64 proposed_term,
  3: bool granted,
}

struct AppendRequest {
  1: i64 previous_index,
  2: i64 previous_term,
  3: list<Entry> entries,
  4: i64 commit_index,
  5: double sent_at,        // leader
  6: double echoed_stamp,   // receiver: newest stamp known to the leader
  7: bool confirmed,        // the leader held its lease when it sent this
  8: i64 echoed_life,       // receiver: its `life` when it took that stamp
}

struct AppendReply {
  1: bool accepted,
  2: i64 match_index,       // if refused: index from which to try again
  3: double sent_at,        // leader: from the request
  4: double stamp,          // replying member
  5: i64 life,              // replying member: differs after a restart
}

struct SnapshotChunk {
  1: i64 index,
  2: i64 term,
  3: Membership membership,
  4: i64 offset,
  5: i64 size,              // of the whole snapshot
  6: binary content,
  7: double sent_at,        // leader
}

struct SnapshotReply {
  1: i64 index,
  2: i64 offset,            // next byte expected; the whole size once installed
  3: double sent_at,        // leader: from the chunk
  4: double stamp,          // replying member
  5: i64 life,              // replying member: differs after a restart
}

// Sent to each peer by a member without a cluster or a vote.
struct Introduce {
}

struct Introduced {
  1: bool initialised,      // the replying member belongs to a cluster
  2: list<string> names,    // instances known to the replying member
}

// Exactly one of the optional fields is set.
struct Envelope {
  1: string cluster,
  2: string sender,         // member id
  3: string receiver,       // member id, or "name/" for any incarnation
  4: i64 term,              // current term of the sender
  5: optional VoteRequest vote_request,
  6: optional VoteReply vote_reply,
  7: optional AppendRequest append_request,
  8: optional AppendReply append_reply,
  9: optional SnapshotChunk snapshot_chunk,
  10: optional SnapshotReply snapshot_reply,
  11: optional Introduce introduce,
  12: optional Introduced introduced,
  13: optional TransferLeadership transfer_leadership,
}

// One record of the durable log: all that one batch saved.
struct LogRecord {
  1: optional Ballot ballot,
  2: list<Entry> entries,   // the first replaces any entries from its index on
  3: i64 reset_index,       // if not 0: a snapshot up to this index replaced the log
}

struct SnapshotHead {
  1: i64 index,
  2: i64 term,
  3: Membership membership,
}

struct Identity {
  1: string name,
  2: string incarnation,
}
