// Jobs of several steps that queues accept, and the runs of their tasks.
// Names of tasks are "JOB.OCCURRENCE.STEP.INDEX", each number counted from 0.

struct Step {
  1: i32 tasks,
  2: i32 millicores,
  3: i32 memory_mb,
  4: i32 accelerators,
  5: i32 estimate_ms,       // rough estimate for one task
  6: list<i32> after,       // steps whose tasks must be done before
  7: bool checkpoints,      // tasks can resume from a checkpoint
  8: bool gang,             // the tasks must run at the same time
  9: bool same_rack,        // the tasks are slower on several racks
  10: string required_label,
  11: string preferred_rack,
  12: i32 max_per_worker,   // tasks of one occurrence; 0: no limit
  13: bool speculative,     // copies of a task may run in parallel
  14: bool lasting,         // the tasks run until the job is cancelled
  15: string image,         // tasks of one image have a similar load
  16: i32 tail_goal_ms,     // tail latency goal of a lasting task; 0: none
  17: bool fills,           // uses the CPU that other tasks leave idle
  18: i32 max_unavailable,  // lasting tasks that may be stopped at a time; 0: no limit
}

// Terms under which the queue accepted a job. The objective for its duration
// is stretch times the estimated critical path, plus slack_ms.
struct Terms {
  1: string service_name,
  2: i32 priority,          // 0 is the highest
  3: i32 attempts,          // failed runs of one task before the job fails
  4: double stretch,        // factor of the critical path
  5: i32 slack_ms,          // added to the objective
}

struct JobDeclaration {
  1: string job_id,
  2: string queue,          // host and path prefix
  3: string payload,        // passed to each task
  4: list<Step> steps,
  5: i32 occurrences,       // 0: one, due at once
  6: i64 first_ms,          // Unix time at which occurrence 0 is due
  7: i64 interval_ms,
}

struct AcceptJob {
  1: JobDeclaration declaration,
  2: Terms terms,
  3: i64 accepted_ms,       // Unix time on the clock of the leader
}

struct StartRun {
  1: string task,
  2: i64 run,
  3: string worker,
  4: i64 born_ms,           // start of the worker; tells its incarnations apart
  5: string agent,          // instance name of the agent of the worker
  6: i64 order_limit_ms,    // clock of the state; no order leaves after it;
                            // 0: not known
}

struct EndRun {
  1: string task,
  2: i64 run,
  3: i32 ending,            // RunEnding
  4: string checkpoint,
  5: bool has_open_order,   // an order to start it may still be carried out
  6: i32 crash_role,        // CrashRole
  7: i32 worked_ms,         // how long the run had worked at the crash
  8: i32 open_ms,           // for how long yet; negative: expired so long ago
}

// A run that has begun, so that no more orders for it are sent.
struct SettledStart {
  1: string task,
  2: i64 run,
  3: i32 open_ms,           // how long one may yet begin it again; 0: none can
}

// A start an order for which has long been out without an answer.
struct OverdueStart {
  1: string task,
  2: i64 run,
}

// Moves the limit of a start that has no answer yet.
struct MoveLimit {
  1: string task,
  2: i64 run,
  3: i64 order_limit_ms,    // as in StartRun
}

// Gives a task up for the crashes of the workers that ran it; its job fails.
struct GiveUp {
  1: string task,
  2: string reason,
}

struct Queue {
  1: string name,
  2: string host,
  3: string prefix,
  4: i32 timeout_ms,
  5: Terms terms,
}

// Queues and their services, as declared by the operator.
struct Routing {
  1: i64 version,
  2: list<Queue> queues,
  3: binary document,       // declaration as received, stored unparsed
}

struct DataCentreMark {
  1: string data_centre,
  2: bool out,
}

// Estimated pressure of a filling image on a lasting image: the relative rise
// of the load of a lasting task.
struct PressureRecord {
  1: string lasting,
  2: string filling,
  3: double level,          // if the filling image used the whole CPU of a worker
  4: double variance,
}

// Applied in the order of the fields.
struct BatchChange {
  1: optional Routing routing,
  2: list<DataCentreMark> marks,
  3: list<AcceptJob> accepts,
  4: list<string> cancels,  // job ids
  5: list<EndRun> ends,
  6: list<StartRun> starts,
  7: list<string> forgets,  // ids of ended jobs to remove
  8: list<PressureRecord> pressures, // empty, or all that are known
  9: list<GiveUp> give_ups,
  10: list<SettledStart> settled, // independent of the other fields
  11: list<string> cleared, // tasks that are no suspects any more
  12: i64 clock_ms,         // clock of the state, of the leader
  13: list<OverdueStart> overdue, // independent of the other fields
  14: list<MoveLimit> limits, // independent of the other fields
  15: bool keeps_limits,    // a leader takes over that keeps these limits
}

struct TaskRecord {
  1: string name,
  2: i32 state,             // BatchTaskState
  3: i64 run,               // newest started run; 0: none
  4: string worker,
  5: i64 born_ms,
  6: i32 failures,
  7: string checkpoint,
  8: string agent,
  9: bool is_bound,         // an order to start it at worker was open
  10: i32 crashes,          // crashes of workers that count against the task
  11: bool is_suspect,      // it starts only in isolation
  12: bool is_settled,      // all orders to start the newest run were answered
  13: bool is_completed,    // an older run than the newest has ended done
  14: i64 failed_run,       // newest run of which a failure was counted
  15: i32 late_crashes,     // those of the crashes before which a run had worked
  16: i32 worked_ms,        // how long the run had worked at the newest crash
  17: i64 bound_until_ms,   // clock of the state; 0: not known
  18: i64 orders_end_ms,    // likewise, of orders for the newest run
  19: list<string> crash_agents, // agents whose workers crashed so
  20: bool has_overdue_order, // an order for the newest run has long been out
  21: i64 order_limit_ms,   // as in StartRun, of the newest run
}

struct JobRecord {
  1: AcceptJob accepted,
  2: i32 state,             // JobState
  3: list<TaskRecord> tasks, // tasks that have changed since their creation
  4: i64 ended_ms,          // on the clock of the state; 0 if not known
  5: optional i64 idle_since_ms, // likewise, of an open job
}

struct BatchDump {
  1: optional Routing routing,
  2: list<string> out_data_centres,
  3: list<JobRecord> jobs,
  4: list<PressureRecord> pressures,
  5: i64 clock_ms,          // clock of the state
}

// Calls of entries and operators to the leader.

struct JobCall {
  1: i32 action,            // JobAction
  2: string host,
  3: string path,
  4: string request_id,
  5: optional JobDeclaration declaration,
}

struct JobAnswer {
  1: i32 outcome,           // JobOutcome
  2: i32 state,             // JobState
  3: i64 pending,           // jobs of the queue that have not started
  4: i64 retry_after_ms,
}

struct PutRouting {
  1: Routing routing,
}

struct RoutingAnswer {
  1: optional Routing routing,
}

struct MemberList {
  1: list<string> names,
}

// Limits on callers; 0 means that the configuration sets none.
struct ClientLimits {
  1: i32 max_head_bytes,
  2: i32 max_body_bytes,
  3: i32 head_timeout_ms,
  4: i32 idle_timeout_ms,
}

struct LeaderStatus {
  1: bool is_configured,
  2: optional ClientLimits client_limits,
}

// Calls of agents to the leader.

struct RunningRow {
  1: string task,
  2: i64 run,
  3: string checkpoint,
  4: i32 percent,
  5: double figure,         // lasting task: tail latency in ms; other: cores in use
}

struct EndedRow {
  1: i64 number,            // increases within one incarnation of the worker
  2: string task,
  3: i64 run,
  4: i32 ending,            // RunEnding
  5: string checkpoint,
}

struct StartResult {
  1: string task,
  2: i64 run,
  3: i32 result,            // StartOutcome
  4: string reason,
  5: bool has_unanswered_order, // an order for the run may still be carried out
}

// Order to start a run that the worker's incarnation has not answered.
struct OpenOrder {
  1: string task,
  2: i64 run,
  3: string worker,         // name of the worker that it was sent to
  4: i64 age_ms,            // since it was sent
  5: bool is_answered,      // by a later incarnation, which has the run
}

// Orders without an answer that an agent has sent, to any of its workers.
struct OpenOrders {
  1: i64 known_ms,          // older orders are unknown; age of the process
  2: list<OpenOrder> orders,
}

struct WorkerReport {
  1: string worker,
  2: i64 born_ms,
  3: string service_name,
  4: string data_centre,
  5: string rack,
  6: list<string> labels,
  7: i32 millicores,
  8: i32 memory_mb,
  9: i32 accelerators,
  10: bool leaving,
  11: i64 fence,            // fence in force when the lists were read
  12: bool listed,          // the lists are an answer of the worker
  13: bool refuses,         // the worker refuses connections: nothing listens
  14: list<RunningRow> running,
  15: list<EndedRow> ended,
  16: list<StartResult> results,
  17: bool truncated,       // more ended runs than the lists have
  18: optional OpenOrders open_orders,
  19: i64 sequence,         // of the announcement that the capacity is from
  20: bool sends_receipts,  // the agent answers orders with OrderReceipt
  21: i64 agent_clock_ms,   // when it was sent; 0: the agent keeps no limits
  22: i64 followed_fence,   // the agent ignores orders with a lower one
  23: bool is_unresponsive, // the worker leaves a probe unanswered
}

// Request for a token that a worker accepts; says nothing about its life.
struct TokenRequest {
  1: string worker,
  2: bool needs_token,      // else the request only tells the next
  3: bool refuses_holds,    // the worker is up, and its life unknown
}

struct WorkerToken {
  1: i64 fence,             // above all that the worker can have seen; 0: none
}

struct StartOrder {
  1: string task,
  2: i64 run,
  3: string payload,
  4: string checkpoint,
  5: i32 percent,           // initial pace
  6: bool reports_at_once,  // the agent reports as soon as it is answered
  7: i64 send_until_ms,     // clock of the agent; 0: no limit
}

struct StopOrder {
  1: string task,
  2: i64 run,
}

struct PaceOrder {
  1: string task,
  2: i64 run,
  3: i32 percent,
}

// Each message contains all current orders for the worker.
struct WorkerOrders {
  1: i64 fence,             // fencing token of the leader for this worker
  2: i64 acknowledged,      // ended runs up to this number are committed
  3: i64 lease_ms,          // lease from the time the report was sent; 0: none
  4: list<StartOrder> starts,
  5: list<StopOrder> stops,
  6: list<PaceOrder> paces,
  7: string worker,
  8: i64 born_ms,
  9: i64 number,            // increases under one fence; 0: not numbered
  10: bool is_service_unknown, // no configured queue uses the service
  11: i32 offered,          // further starts, which follow after a receipt
}

// Answer of an agent to orders with offered starts: what it knows now.
struct OrderReceipt {
  1: string worker,
  2: i64 born_ms,
  3: i64 fence,
  4: i64 number,            // of the newest orders that it has
}
