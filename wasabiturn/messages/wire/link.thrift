// Messages of a link between two processes.
// On the wire: length (u32), CRC-32 of the payload (u32), payload = Frame.

struct Frame {
  1: i32 kind,        // FrameKind
  2: i64 exchange,    // call or stream number; odd from the dialling side
  3: i32 method,      // Method
  4: binary body,     // serialized message, or bytes of a stream
  5: i64 revision,    // newest revision that the sender has applied
  6: i64 sent_ms,     // on the sender's clock
  7: i64 expires_ms,  // of a call, on the receiver's clock; 0: not known
}

// Room for jobs in the state of a member of the control group.
struct StateBudget {
  1: i64 memory_bytes,  // for all copies that a member may have at a time
  2: i64 stored_bytes,  // of one snapshot
}

struct Hello {
  1: string name,
  2: i32 role,        // Role
  3: string incarnation,
  4: string data_centre,
  5: i32 protocol_version,
  6: optional StateBudget state_budget,  // of a member of the control group
}

struct Failure {
  1: i32 code,        // FailureCode
  2: string text,
  3: string leader,   // name of the leader, if known to the sender
}

struct Credit {
  1: i64 amount,
}

struct Nothing {
}
