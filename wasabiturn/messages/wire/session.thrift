// Messages between entries, agents and control.
include "state.thrift"

struct BackendRecord {
  1: string service_name,
  2: i32 slots,
  3: i32 connections,
  4: bool leaving,
  5: string address,        // ip:port of the backend server
  6: string incarnation,
}

// Record of one agent in the directory.
struct AgentRecord {
  1: string name,
  2: string incarnation,
  3: string data_centre,
  4: string rack,
  5: string region,
  6: string address,        // ip:port for connections of entries
  7: list<BackendRecord> backends,
  8: bool leaving,
  9: i64 sequence,          // increases with each change of this record
}

struct Announce {
  1: AgentRecord record,
}

struct Subscribe {
  1: i64 since,             // revision of the subscriber; -1 if it has none
  2: list<i32> kinds,       // Kind
  3: bool directory,        // also subscribe to the directory of agents
}

struct Subscribed {
  1: i64 revision,
}

// Sent by control to a subscriber. A snapshot replaces all resources of the
// subscribed kinds that the subscriber has.
struct Changes {
  1: bool snapshot,
  2: bool complete,         // last part of a snapshot
  3: i64 revision,          // of the view once this message is applied
  4: list<state.Change> changes,
}

struct DirectoryChanges {
  1: bool snapshot,
  2: list<AgentRecord> agents,
  3: list<string> gone,
}

// Reply of a control instance that has confirmed with a quorum, within the
// freshness period, that its revision is current.
struct Fresh {
  1: i64 revision,
}

struct Submit {
  1: state.Command command,
}

struct LookUpClaim {
  1: string service_name,
  2: string key,
}

struct ClaimLookup {
  1: optional state.ClaimRecord record,
}

struct AttemptReport {
  1: string task,
  2: i64 attempt,
  3: i32 state,             // AttemptState
  4: string checkpoint,
  5: string reason,
  6: double run_seconds,
  7: i32 crash,             // CrashSuspicion
}

struct UsageReport {
  1: string task,
  2: state.Capacity used,
  3: double lag_seconds,
  4: double progress,       // share of full speed; 1.0: as if alone on the worker
}

struct ServiceReport {
  1: string service_name,
  2: double p99_ms,
  3: double load,           // share of slots in use
  4: i64 answered,          // requests answered in the last 30 s
}

// Agent heartbeat to the control leader.
struct Heartbeat {
  1: string agent,
  2: string incarnation,
  3: i64 sequence,
  4: string data_centre,
  5: string rack,
  6: state.Capacity capacity,
  7: list<AttemptReport> attempts,
  8: list<UsageReport> usage,
  9: list<ServiceReport> services,
  10: bool leaving,
  11: bool reconciled,      // the agent has the worker's list of runs
}

struct Order {
  1: string task,
  2: i64 attempt,
  3: i32 action,            // OrderAction
  4: optional state.TaskSpec spec, // set for starts and evictions
  5: string command,
  6: double throttle,       // share of full speed; 1.0: no limit
  7: double run_seconds,
}

// Reply to a heartbeat; also pushed when orders change in between. They list
// every attempt that the agent is to hold; it stops any other attempt.
struct Orders {
  1: i64 sequence,          // of the newest heartbeat received
  2: i64 revision,          // of the state from which the orders derive
  3: bool may_start,        // this heartbeat permits starts
  4: list<Order> orders,
  5: double permit_seconds, // validity of the start permit, from the heartbeat on
  6: double lease_seconds,  // duration of task leases, from the heartbeat on
  7: i64 serial,            // increases with each message of one leader
}

// First message of a stream from entry to agent, which carries one HTTP request.
struct RequestHead {
  1: string request_id,
  2: i64 attempt,
  3: string service_name,
  4: string method,
  5: string path,
  6: list<state.Header> headers,
  7: double timeout_ms,     // time left when the entry sent the request
  8: bool idempotent,
  9: string claim_id,
  10: string claim_key,
  11: string caller,
  12: i32 crashes,          // backend servers that crashed under earlier attempts
}

struct LoadReport {
  1: string service_name,
  2: i32 running,
  3: i32 waiting,
  4: i32 slots,
  5: double mean_service_ms,
  6: double p95_ms,
}

// First message of the agent on such a stream.
struct ResponseHead {
  1: i32 verdict,           // Verdict
  2: i32 status,
  3: list<state.Header> headers,
  4: double retry_after_ms,
  5: string reason,
  6: LoadReport load,
  7: i32 crash,             // CrashSuspicion
}

struct RefuseClaim {
  1: string claim_id,
  2: string agent_incarnation,
}

struct ClaimVerdict {
  1: i32 state,             // AgentClaimState
}

// Operator's HTTP request, relayed to the leader.
struct ApiRequest {
  1: string method,
  2: string path,
  3: string request_id,
  4: string if_match,
  5: string authorization,
  6: binary body,
  7: string after,          // name after which a page of a list begins
}

struct ApiResponse {
  1: i32 status,
  2: list<state.Header> headers,
  3: binary body,
}

// First message of a stream of changes as newline-delimited JSON.
struct WatchRequest {
  1: i32 kind,              // Kind
  2: i64 since,             // -1 for a snapshot first
  3: string authorization,
}
