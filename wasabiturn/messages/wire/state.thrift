// Resources of the replicated state machine, its commands and their outcomes.

include "batch.thrift"

struct Capacity {
  1: double cores,
  2: i64 memory_mb,
  3: i32 accelerators,
}

struct ServiceSpec {
  1: i32 replicas,
  2: Capacity size,
  3: i32 slots,
  4: i32 connections,
  5: double target_p99_ms,
  6: string task_kind,
  7: string command,
}

struct JobSpec {
  1: i32 tasks,
  2: Capacity size,
  3: double run_seconds,
  4: bool urgent,
  5: bool idempotent,
  6: i32 max_failures,
  7: string task_kind,
  8: string command,
  9: bool cancelled,
}

struct DataCentreSpec {
  1: bool out,
  2: string region,
}

struct ConfigurationSpec {
  1: map<string, string> settings,
}

struct TeamSpec {
  1: Capacity quota,
  2: double weight,
}

struct TaskSpec {
  1: i32 owner_kind,       // Kind.service or Kind.job
  2: string owner,
  3: i32 number,
  4: i32 state,            // TaskState
  5: i64 attempt,          // only increases; starts at the revision of creation
  6: string worker,
  7: string incarnation,   // of the agent of that worker
  8: string checkpoint,
  9: i32 evictions,
  10: i32 failures,
  11: string reason,
  12: Capacity size,       // capacity charged to the worker
  13: string task_kind,
  14: bool idempotent,
  15: bool urgent,
  16: list<string> crashed_workers,  // one for each crash under the task
}

struct Resource {
  1: i32 kind,             // Kind
  2: string name,
  3: string team,
  4: i64 revision,         // of its last change
  5: i64 created,          // revision that created it
  6: optional ServiceSpec service_spec,
  7: optional JobSpec job_spec,
  8: optional DataCentreSpec data_centre_spec,
  9: optional ConfigurationSpec configuration_spec,
  10: optional TeamSpec team_spec,
  11: optional TaskSpec task_spec,
}

struct PutResource {
  1: Resource resource,
  2: i64 expected_revision, // 0: resource must not exist; -1: any
  3: string actor_team,     // team whose resources the writer may change; "": any
}

struct DeleteResource {
  1: i32 kind,
  2: string name,
  3: i64 expected_revision, // -1: any
  4: string actor_team,     // team whose resources the writer may change; "": any
}

// One transition of a task, proposed by the scheduler of the leader.
struct TaskTransition {
  1: string task,
  2: i64 expected_attempt,
  3: i32 expected_state,
  4: TaskSpec task_spec,
}

struct UpdateTasks {
  1: list<TaskTransition> transitions,
  2: list<string> surplus_services, // services to get one replica more than declared
}

struct ClaimRequest {
  1: string service_name,
  2: string key,
  3: string agent,
  4: string agent_incarnation,
  5: string entry,
  6: string claim_id,
  7: string fingerprint,    // SHA-256 of method, path and body
}

struct ClaimRequests {
  1: list<ClaimRequest> claims,
}

struct Header {
  1: string name,
  2: string value,
}

struct RecordAnswer {
  1: string service_name,
  2: string key,
  3: string claim_id,
  4: i32 outcome,           // ClaimState
  5: i32 status,
  6: list<Header> headers,
  7: binary body,
  8: bool body_omitted,     // body was larger than the limit for recording
}

struct RecordAnswers {
  1: list<RecordAnswer> answers,
}

struct ClaimRecord {
  1: ClaimRequest claim,
  2: i32 state,             // ClaimState
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: bool body_omitted,
  7: i64 revision,
}

struct ExpireClaims {
  1: i64 before_revision,
}

// Exactly one of the optional fields is set.
struct Command {
  1: string request_id,     // "" if a resent command need not get the first outcome
  2: optional PutResource put,
  3: optional DeleteResource remove,
  4: optional UpdateTasks update_tasks,
  5: optional ClaimRequests claim,
  6: optional RecordAnswers record,
  7: optional ExpireClaims expire,
  8: optional batch.BatchChange batch,
}

struct Outcome {
  1: i32 code,              // OutcomeCode
  2: string text,
  3: string field,
  4: i64 revision,          // of the state after the command
  5: optional Resource resource,
  6: list<ClaimRecord> claims,
  7: list<i32> codes,       // one per transition, claim or answer
}

// Change of one resource, as sent to watches.
struct Change {
  1: i64 revision,
  2: bool removed,
  3: Resource resource,
}

// Outcome of the first command with a request id.
struct RememberedOutcome {
  1: string request_id,
  2: i64 digest,            // CRC-32 of the serialized command
  3: Outcome outcome,
}

// Complete state, as stored in a snapshot.
struct StateDump {
  1: i32 format,
  2: i64 revision,
  3: i64 claims_revision,
  4: list<Resource> resources,
  5: list<ClaimRecord> claims,
  6: list<RememberedOutcome> outcomes,
  7: list<Change> history,
  8: optional batch.BatchDump batch,
}
