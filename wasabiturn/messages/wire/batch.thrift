// Jobs of several steps that queues take, and the runs of their tasks.
// Names of tasks are "JOB.OCCURRENCE.STEP.INDEX", each number counted from 0.

struct Step {
  1: i32 tasks,
  2: i32 millicores,
  3: i32 memory_mb,
  4: i32 accelerators,
  5: i32 estimate_ms,       // of one task; rough
  6: list<i32> after,       // steps whose tasks must all be done first
  7: bool checkpoints,
  8: bool gang,             // the tasks work only together
  9: bool same_rack,        // slower on more than one rack
  10: string required_label,
  11: string preferred_rack,
  12: i32 max_per_worker,   // of one occurrence; 0: no limit
  13: bool speculative,     // copies may run side by side
  14: bool lasting,         // run until the job is cancelled
  15: string image,         // tasks of one image behave alike
  16: i32 tail_goal_ms,     // of the response times of a lasting task; 0: none
  17: bool fills,           // takes the processors that others leave unused
  18: i32 max_unavailable,  // lasting tasks away by our own doing; 0: no limit
}

// What the queue promised when it took the job.
struct Terms {
  1: string service_name,
  2: i32 priority,          // 0 comes first
  3: i32 attempts,          // runs of one task that may fail
  4: double stretch,        // of the objective: times the chain of work
  5: i32 slack_ms,          // of the objective: on top
}

struct JobDeclaration {
  1: string job_id,
  2: string queue,          // host and prefix
  3: string payload,        // handed to each task
  4: list<Step> steps,
  5: i32 occurrences,       // 0: once, at once
  6: i64 first_ms,          // wall clock, of occurrence 0
  7: i64 interval_ms,
}

struct AcceptJob {
  1: JobDeclaration declaration,
  2: Terms terms,
  3: i64 accepted_ms,       // wall clock of the leader
}

struct StartRun {
  1: string task,
  2: i64 run,
  3: string worker,
  4: i64 born_ms,           // life of the worker
  5: string agent,          // instance of the agent beside it
}

struct EndRun {
  1: string task,
  2: i64 run,
  3: i32 ending,            // RunEnding
  4: string checkpoint,
}

struct Queue {
  1: string name,
  2: string host,
  3: string prefix,
  4: i32 timeout_ms,
  5: Terms terms,
}

// Queues and their services, as the operator wrote them.
struct Routing {
  1: i64 version,
  2: list<Queue> queues,
  3: binary document,       // what the operator wrote, kept unread
}

struct DataCentreMark {
  1: string data_centre,
  2: bool out,
}

// How far a filling image raises the load of a lasting one.
struct PressureRecord {
  1: string lasting,
  2: string filling,
  3: double level,          // for the use of a whole worker
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
  7: list<string> forgets,  // ended jobs
  8: list<PressureRecord> pressures, // all that are known, if any is given
}

struct TaskRecord {
  1: string name,
  2: i32 state,             // BatchTaskState
  3: i64 run,               // of the newest start; 0: none
  4: string worker,
  5: i64 born_ms,
  6: i32 failures,
  7: string checkpoint,
  8: string agent,
}

struct JobRecord {
  1: AcceptJob accepted,
  2: i32 state,             // JobState
  3: list<TaskRecord> tasks, // those that are not as created
}

struct BatchDump {
  1: optional Routing routing,
  2: list<string> out_data_centres,
  3: list<JobRecord> jobs,
  4: list<PressureRecord> pressures,
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
  3: i64 pending,           // jobs of the queue that have not begun
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

struct LeaderStatus {
  1: bool is_configured,
}

// Calls of agents to the leader.

struct RunningRow {
  1: string task,
  2: i64 run,
  3: string checkpoint,
  4: i32 percent,
  5: double figure,         // tail in ms of a lasting task, else cores in use
}

struct EndedRow {
  1: i64 number,            // grows within one life of the worker
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
  11: i64 fence,            // under which the lists were taken
  12: bool listed,          // the lists hold what the worker said
  13: bool refuses,         // nothing listens at the worker's address
  14: list<RunningRow> running,
  15: list<EndedRow> ended,
  16: list<StartResult> results,
}

struct StartOrder {
  1: string task,
  2: i64 run,
  3: string payload,
  4: string checkpoint,
  5: i32 percent,           // pace from the start on
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

// Each lists all that the worker is to do.
struct WorkerOrders {
  1: i64 fence,             // term of the leader
  2: i64 acknowledged,      // ends up to here are stored
  3: i64 lease_ms,          // granted from when the report was sent; 0: none
  4: list<StartOrder> starts,
  5: list<StopOrder> stops,
  6: list<PaceOrder> paces,
  7: string worker,
  8: i64 born_ms,
}
