@0xb6f2d19c0e7a4c35;
# Messages of daemons to the control leader and its answers. Version 1.

enum Status {
  ok @0;
  # The member is not the leader; call the member in the field leader.
  notLeader @1;
  # The daemon must first register with this leader.
  notRegistered @2;
  # A later call of the same daemon has arrived meanwhile, or a later process
  # of its VM is registered.
  superseded @3;
}

struct Announcement {
  group @0 :Text;
  database @1 :Text;
  dataCentre @2 :Text;
  address @3 :Text;
  adminAddress @4 :Text;
  term @5 :UInt64;
  logTerm @6 :UInt64;
  index @7 :UInt64;
  role @8 :Text;
  slots @9 :UInt32;
  connections @10 :UInt32;
  leaving @11 :Bool;
  # Seconds since the daemon received the announcement.
  ageS @12 :Float64;
  # Increases with each start of the database; 0 if unknown.
  incarnation @13 :UInt64;
  # Number of the announcement within the incarnation; 0 if unknown.
  sequence @14 :UInt64;
}

struct Evidence {
  database @0 :Text;
  # Seconds since the event.
  ageS @1 :Float64;
  # True: the database answered. False: a connection was refused or reset.
  answered @2 :Bool;
}

struct Balance {
  account @0 :Text;
  tokens @1 :Float64;
  spent @2 :Float64;
}

struct LoanReport {
  account @0 :Text;
  spent @1 :Float64;
  returned @2 :Float64;
  received @3 :Float64;
  wanted @4 :Float64;
  waitedS @5 :Float64;
}

struct LoanGrant {
  account @0 :Text;
  granted @1 :Float64;
  empty @2 :Bool;
  retryAfterS @3 :Float64;
}

struct ConnectionReport {
  database @0 :Text;
  allowed @1 :UInt32;
  open @2 :UInt32;
  wanted @3 :UInt32;
}

struct Allowance {
  database @0 :Text;
  allowed @1 :UInt32;
}

struct UsageEntry {
  window @0 :UInt64;
  account @1 :Text;
  requests @2 :UInt64;
}

struct SyncRequest {
  incarnation @0 :Text;
  dataCentre @1 :Text;
  sequence @2 :UInt64;
  # Term of the leader that the daemon is registered with; 0 registers it.
  leaderTerm @3 :UInt64;
  viewVersion @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  balances @7 :List(Balance);
  reports @8 :List(LoanReport);
  announcements @9 :List(Announcement);
  evidence @10 :List(Evidence);
  connections @11 :List(ConnectionReport);
  # True: connections has only the entries that changed since the last call,
  # which the leader answered with ok. False: connections has all entries.
  changesOnly @12 :Bool;
  # Sequence of the last call whose answer arrived; 0 if there is none.
  answeredSequence @13 :UInt64;
  # In a registration: seconds since the last answer in which the daemon
  # admitted requests at its own share of each rate, without tokens.
  usedShareS @14 :Float64;
  # In a registration: host:port at which other daemons call this one; empty
  # if it runs no statements for them.
  peerAddress @15 :Text;
  # In a registration: digests of the view, empty if the leader must send the
  # whole view unless it knows the version.
  viewDigests @16 :Data;
  # Wall clock of the daemon in seconds; 0 if it does not count usage.
  wallS @17 :Float64;
  # All counts of earlier windows are in this call and those before it.
  usageWindow @18 :UInt64;
  # Counts that changed since the last call that was answered. Counts are
  # cumulative for the process.
  usage @19 :List(UsageEntry);
}

struct SyncAnswer {
  status @0 :Status;
  leader @1 :Text;
  leaderTerm @2 :UInt64;
  # View delta in MessagePack; empty if nothing changed.
  view @3 :Data;
  grants @4 :List(LoanGrant);
  # Connections lent for all databases; valid only with hasAllowances.
  hasAllowances @5 :Bool;
  allowances @6 :List(Allowance);
  # Number of daemons that may hold leases.
  daemons @7 :UInt32;
  # Names of the control members, one on each line.
  members @8 :Text;
  # True time in seconds at the leader; 0 if it is not known.
  trueS @9 :Float64;
  # Last window whose counts are decided; 0 if there is none.
  usageClosed @10 :UInt64;
}

struct BorrowRequest {
  incarnation @0 :Text;
  leaderTerm @1 :UInt64;
  reports @2 :List(LoanReport);
  # Sequence of the sync call that registered the daemon.
  registration @3 :UInt64;
}

struct BorrowAnswer {
  status @0 :Status;
  leader @1 :Text;
  grants @2 :List(LoanGrant);
}

struct ReportRequest {
  announcements @0 :List(Announcement);
  evidence @1 :List(Evidence);
  # Databases that were stopped as planned.
  departed @2 :List(Departure);
}

struct Departure {
  database @0 :Text;
  incarnation @1 :UInt64;
}

struct ReportAnswer {
  status @0 :Status;
  leader @1 :Text;
}

struct OperatorRequest {
  method @0 :Text;
  path @1 :Text;
  body @2 :Data;
}

struct OperatorAnswer {
  status @0 :Status;
  leader @1 :Text;
  httpStatus @2 :UInt16;
  body @3 :Data;
}

enum RelayStatus {
  ok @0;
  # The daemon has no lease, or the leader did not answer its last call.
  unavailable @1;
  # The daemon relays calls for as many others as it may.
  full @2;
  # The origin is not the caller, or the method is not relayed.
  forbidden @3;
  # The leader did not answer the relayed call.
  unanswered @4;
}

# A call of control.relay, by the origin at a daemon, and of control.relayed,
# by that daemon at a control member. The answer to control.relayed is the
# answer to the method.
struct RelayRequest {
  method @0 :Text;
  payload @1 :Data;
  # Name of the daemon that makes the call.
  origin @2 :Text;
  # Seconds until the origin stops waiting.
  timeoutS @3 :Float64;
}

struct RelayAnswer {
  status @0 :RelayStatus;
  # The answer of the control member; valid only with ok.
  payload @1 :Data;
}
