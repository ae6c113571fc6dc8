@0xb6f2d19c0e7a4c35;
# Calls of daemons to the control leader. Version 1.

enum Status {
  ok @0;
  # The member does not lead; ask the one named by leader.
  notLeader @1;
  # The daemon must register with this leader first.
  notRegistered @2;
  # A later call of the same daemon has arrived.
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
  # Time since the daemon heard it.
  ageS @12 :Float64;
  # Grows with each start of the database, 0 if not stated.
  incarnation @13 :UInt64;
  # Counts the announcements of an incarnation, 0 if not stated.
  sequence @14 :UInt64;
}

struct Evidence {
  database @0 :Text;
  # Time since the event.
  ageS @1 :Float64;
  # False: a connection was refused or reset.
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

struct SyncRequest {
  incarnation @0 :Text;
  dataCentre @1 :Text;
  sequence @2 :UInt64;
  # Term of the leader that the daemon is registered with, 0 to register.
  leaderTerm @3 :UInt64;
  viewVersion @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  balances @7 :List(Balance);
  reports @8 :List(LoanReport);
  announcements @9 :List(Announcement);
  evidence @10 :List(Evidence);
  connections @11 :List(ConnectionReport);
  # True: connections are those that differ from the last call, which the
  # leader answered with ok. False: all of them.
  changesOnly @12 :Bool;
  # Sequence of the last call whose answer arrived, 0 before any.
  answeredSequence @13 :UInt64;
  # With a registration: seconds for which the daemon admitted at its part of
  # each rate by itself since the last answer.
  usedShareS @14 :Float64;
}

struct SyncAnswer {
  status @0 :Status;
  leader @1 :Text;
  leaderTerm @2 :UInt64;
  # A view delta in MessagePack, empty when nothing changed.
  view @3 :Data;
  grants @4 :List(LoanGrant);
  # Connections lent, all databases; meaningful only with hasAllowances.
  hasAllowances @5 :Bool;
  allowances @6 :List(Allowance);
  # Daemons that hold leases.
  daemons @7 :UInt32;
  # Names of the control members, a line each.
  members @8 :Text;
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
  # Databases that have ended in a planned way.
  departed @2 :List(Departure);
}

struct Departure {
  database @0 :Text;
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
