# Messages between apricotpath processes; messages.py and its imports define the Python classes.
@0xc3a9d7f14b62e805;

struct Size {
  cpuMilli @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

struct Hello {
  protocol @0 :Int64;
  role @1 :Text;
  processId @2 :Text;
  incarnation @3 :Text;
  dataCentre @4 :Text;
}

struct DataCentreStatus {
  dataCentre @0 :Text;
  seq @1 :Int64;
  state @2 :Text;
}

struct Heartbeat {
  seq @0 :Int64;
  workerClockMs @1 :Int64;
  bundleVersion @2 :Int64;
  statuses @3 :List(DataCentreStatus);
}

struct Announce {
  host @0 :Text;
  rack @1 :Text;
  dataCentre @2 :Text;
  size @3 :Size;
  backend @4 :Text;
  service @5 :Text;
  slots @6 :Int64;
  connections @7 :Int64;
  leaving @8 :Bool;
  ready @9 :Bool;
  maturity @10 :Text;
}

struct Leaving {
  reason @0 :Text;
}

struct TaskReport {
  task @0 :Text;
  shard @1 :Int64;
  epoch @2 :Int64;
  attempt @3 :Int64;
  state @4 :Text;
  size @5 :Size;
  usage @6 :Size;
  checkpoint @7 :Text;
  progress @8 :Float64;
  team @9 :Text;
  activity @10 :Text;
}

struct TaskOutcome {
  task @0 :Text;
  shard @1 :Int64;
  attempt @2 :Int64;
  outcome @3 :Text;
  checkpoint @4 :Text;
  reason @5 :Text;
}

struct HostReport {
  host @0 :Text;
  workerClockMs @1 :Int64;
  ready @2 :Bool;
  committed @3 :Size;
  usage @4 :Size;
  pressure @5 :Float64;
  busySlots @6 :Int64;
  queued @7 :Int64;
  tasks @8 :List(TaskReport);
  outcomes @9 :List(TaskOutcome);
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct RequestStart {
  request @0 :Text;
  service @1 :Text;
  requestClass @2 :Text;
  team @3 :Text;
  key @4 :Text;
  idempotent @5 :Bool;
  deadlineMs @6 :Int64;
  method @7 :Text;
  path @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  bodyComplete @11 :Bool;
}

struct RequestBody {
  request @0 :Text;
  offset @1 :Int64;
  data @2 :Data;
  final @3 :Bool;
  total @4 :Int64;
}

struct ResponseStart {
  request @0 :Text;
  status @1 :Int64;
  headers @2 :List(Header);
  body @3 :Data;
  bodyComplete @4 :Bool;
}

struct ResponseBody {
  request @0 :Text;
  offset @1 :Int64;
  data @2 :Data;
  final @3 :Bool;
  total @4 :Int64;
}

struct ResponseAck {
  request @0 :Text;
  offset @1 :Int64;
}

struct RequestRefused {
  request @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :Int64;
}

struct RequestFailed {
  request @0 :Text;
  reason @1 :Text;
}

struct RequestCancel {
  request @0 :Text;
}

struct Settle {
  request @0 :Text;
  incarnation @1 :Text;
}

struct Settled {
  request @0 :Text;
  settlement @1 :Text;
  reason @2 :Text;
}

struct ReserveKey {
  key @0 :Text;
  service @1 :Text;
  request @2 :Text;
  home @3 :Text;
  homeIncarnation @4 :Text;
}

struct KeyReserved {
  key @0 :Text;
  state @1 :Text;
  maturity @2 :Text;
  request @3 :Text;
  home @4 :Text;
  homeIncarnation @5 :Text;
}

struct ReleaseKey {
  key @0 :Text;
  request @1 :Text;
}

struct ServiceFounders {
  service @0 :Text;
  incarnations @1 :List(Text);
}

struct ControlUpdate {
  bundleVersion @0 :Int64;
  bundle @1 :Data;
  statuses @2 :List(DataCentreStatus);
  founders @3 :List(ServiceFounders);
  freshAgeMs @4 :Int64;
}

struct ControlAck {
  bundleVersion @0 :Int64;
  statuses @1 :List(DataCentreStatus);
}

struct ClaimShard {
  shard @0 :Int64;
  epoch @1 :Int64;
}

struct ShardClaimed {
  shard @0 :Int64;
  epoch @1 :Int64;
  ready @2 :Bool;
  tasks @3 :List(TaskReport);
  outcomes @4 :List(TaskOutcome);
}

struct StartTask {
  shard @0 :Int64;
  epoch @1 :Int64;
  task @2 :Text;
  attempt @3 :Int64;
  team @4 :Text;
  activity @5 :Text;
  taskClass @6 :Text;
  size @7 :Size;
  command @8 :Text;
  runTimeS @9 :Float64;
  checkpoint @10 :Text;
  checkpointS @11 :Float64;
  anchorIncarnation @12 :Text;
  anchorClockMs @13 :Int64;
  bundleVersion @14 :Int64;
}

struct StopTask {
  shard @0 :Int64;
  epoch @1 :Int64;
  task @2 :Text;
  attempt @3 :Int64;
  reason @4 :Text;
}

struct EvictTask {
  shard @0 :Int64;
  epoch @1 :Int64;
  task @2 :Text;
  attempt @3 :Int64;
  reason @4 :Text;
}

struct ThrottleTask {
  shard @0 :Int64;
  epoch @1 :Int64;
  task @2 :Text;
  attempt @3 :Int64;
  share @4 :Float64;
}

struct RenewTasks {
  shard @0 :Int64;
  epoch @1 :Int64;
  tasks @2 :List(Text);
  anchorIncarnation @3 :Text;
  anchorClockMs @4 :Int64;
}

struct TaskReply {
  task @0 :Text;
  attempt @1 :Int64;
  accepted @2 :Bool;
  code @3 :Text;
  reason @4 :Text;
}

struct OutcomeAck {
  shard @0 :Int64;
  tasks @1 :List(Text);
  attempts @2 :List(Int64);
  epoch @3 :Int64;
}

struct JobCall {
  method @0 :Text;
  path @1 :Text;
  body @2 :Data;
}

struct JobReply {
  status @0 :Int64;
  body @1 :Data;
}

struct ShareRequest {
  team @0 :Text;
  amount @1 :Float64;
  kind @2 :Text;
}

struct ShareGrant {
  team @0 :Text;
  amount @1 :Float64;
  ttlMs @2 :Int64;
  kind @3 :Text;
}

struct Failure {
  code @0 :Text;
  text @1 :Text;
}

struct LeaderNotice {
  epoch @0 :Int64;
  entry @1 :Text;
}

struct StoreQuestion {
  epoch @0 :Int64;
}

struct StoreReached {
  epochRevision @0 :Int64;
}

struct HostHold {
  host @0 :Text;
  leftMs @1 :Int64;
}

struct TermHandover {
  epoch @0 :Int64;
  epochRevision @1 :Int64;
  formerEnded @2 :Bool;
  holds @3 :List(HostHold);
}

struct SupportRequest {
  epoch @0 :Int64;
  number @1 :Int64;
  formerMs @2 :Int64;
  holdsNumber @3 :Int64;
  holds @4 :List(HostHold);
  former @5 :Int64;
}

struct Supported {
  epoch @0 :Int64;
  number @1 :Int64;
  former @2 :Int64;
  formerMs @3 :Int64;
  formerHolds @4 :List(HostHold);
}

struct RunAtCrash {
  task @0 :Text;
  run @1 :Int64;
  ranMs @2 :Int64;
}

struct ExecutorCrash {
  instance @0 :Text;
  bornMs @1 :Int64;
  runs @2 :List(RunAtCrash);
  agoMs @3 :Int64 = -1;
}

struct HostAttach {
  host @0 :Text;
  instance @1 :Text;
  bornMs @2 :Int64;
  service @3 :Text;
  dataCentre @4 :Text;
  rack @5 :Text;
  labels @6 :List(Text);
  capacity @7 :Size;
  epoch @8 :Int64;
  crashes @9 :List(ExecutorCrash);
  fence @10 :Int64;
  leaseMs @11 :Int64 = -1;
}

struct HostSilent {
  fence @0 :Int64;
}

struct HostAttached {
  epoch @0 :Int64;
  fence @1 :Int64;
}

struct HostDetached {
  fence @0 :Int64;
}

struct RunStatus {
  task @0 :Text;
  run @1 :Int64;
  saved @2 :Text;
  percent @3 :Int64;
  load @4 :Float64;
  pace @5 :Int64;
}

struct RunEnding {
  number @0 :Int64;
  task @1 :Text;
  run @2 :Int64;
  result @3 :Text;
  saved @4 :Text;
}

struct HostRuns {
  fence @0 :Int64;
  renewal @1 :Int64;
  complete @2 :Bool;
  draining @3 :Bool;
  remainingMs @4 :Int64;
  runs @5 :List(RunStatus);
  endings @6 :List(RunEnding);
  fillerPercent @7 :Float64;
}

struct HostCapacity {
  fence @0 :Int64;
  capacity @1 :Size;
}

struct HostGrant {
  fence @0 :Int64;
  renewal @1 :Int64;
  noted @2 :Int64;
}

struct RunOrder {
  task @0 :Text;
  run @1 :Int64;
  command @2 :Text;
  saved @3 :Text;
  ticket @4 :Text;
  filler @5 :Bool;
  targetMs @6 :Float64;
  pressure @7 :Float64;
  size @8 :Size;
}

struct StartRuns {
  fence @0 :Int64;
  renewal @1 :Int64;
  orders @2 :List(RunOrder);
}

struct RunName {
  task @0 :Text;
  run @1 :Int64;
}

struct StopRuns {
  fence @0 :Int64;
  runs @1 :List(RunName);
}

struct RunTrait {
  task @0 :Text;
  run @1 :Int64;
  filler @2 :Bool;
  targetMs @3 :Float64;
  pressure @4 :Float64;
  size @5 :Size;
}

struct RunTraits {
  fence @0 :Int64;
  traits @1 :List(RunTrait);
}

struct OrderAnswer {
  task @0 :Text;
  run @1 :Int64;
  answer @2 :Text;
}

struct OrderAnswers {
  fence @0 :Int64;
  answers @1 :List(OrderAnswer);
}

struct JobAccepted {
  job @0 :Text;
  content @1 :Text;
}

struct JobCancelling {
  job @0 :Text;
}

struct JobStatus {
  job @0 :Text;
  queue @1 :Text;
  progress @2 :Text;
}

struct JobStatuses {
  epoch @0 :Int64;
  whole @1 :Bool;
  jobs @2 :List(JobStatus);
}

struct Envelope {
  version @0 :UInt16;
  id @1 :UInt64;
  replyTo @2 :UInt64;
  union {
    hello @3 :Hello;
    heartbeat @4 :Heartbeat;
    announce @5 :Announce;
    leaving @6 :Leaving;
    hostReport @7 :HostReport;
    requestStart @8 :RequestStart;
    requestBody @9 :RequestBody;
    responseStart @10 :ResponseStart;
    responseBody @11 :ResponseBody;
    requestRefused @12 :RequestRefused;
    requestFailed @13 :RequestFailed;
    requestCancel @14 :RequestCancel;
    settle @15 :Settle;
    settled @16 :Settled;
    reserveKey @17 :ReserveKey;
    keyReserved @18 :KeyReserved;
    releaseKey @19 :ReleaseKey;
    controlUpdate @20 :ControlUpdate;
    controlAck @21 :ControlAck;
    claimShard @22 :ClaimShard;
    shardClaimed @23 :ShardClaimed;
    startTask @24 :StartTask;
    stopTask @25 :StopTask;
    evictTask @26 :EvictTask;
    throttleTask @27 :ThrottleTask;
    renewTasks @28 :RenewTasks;
    taskReply @29 :TaskReply;
    outcomeAck @30 :OutcomeAck;
    jobCall @31 :JobCall;
    jobReply @32 :JobReply;
    shareRequest @33 :ShareRequest;
    shareGrant @34 :ShareGrant;
    failure @35 :Failure;
    responseAck @36 :ResponseAck;
    leaderNotice @37 :LeaderNotice;
    hostAttach @38 :HostAttach;
    hostAttached @39 :HostAttached;
    hostRuns @40 :HostRuns;
    hostGrant @41 :HostGrant;
    startRuns @42 :StartRuns;
    stopRuns @43 :StopRuns;
    runTraits @44 :RunTraits;
    orderAnswers @45 :OrderAnswers;
    jobAccepted @46 :JobAccepted;
    jobCancelling @47 :JobCancelling;
    jobStatuses @48 :JobStatuses;
    hostSilent @49 :HostSilent;
    hostCapacity @50 :HostCapacity;
    hostDetached @51 :HostDetached;
    storeQuestion @52 :StoreQuestion;
    storeReached @53 :StoreReached;
    termHandover @54 :TermHandover;
    supportRequest @55 :SupportRequest;
    supported @56 :Supported;
  }
}
