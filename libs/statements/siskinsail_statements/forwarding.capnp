@0xd3a1c6f07be24915;
# Calls of daemons that have one of them run a statement. Version 1.

enum Action {
  # A statement outside a transaction.
  run @0;
  # Opens a transaction; the answer has its number.
  begin @1;
  # A statement in a transaction.
  runInTransaction @2;
  commit @3;
  rollback @4;
  # Asks for the log position of a primary.
  position @5;
}

enum Outcome {
  # The database answered; error is empty if the statement succeeded.
  answered @0;
  # The statement certainly did not run.
  notRun @1;
  # The statement was sent to the database and not answered.
  unanswered @2;
}

enum Reason {
  none @0;
  overloaded @1;
  deadlineExceeded @2;
  # The database is not served there, or was replaced as the primary.
  notServed @3;
  connectionRefused @4;
  connectionFailed @5;
  # No recent position of the primary is known.
  positionUnknown @6;
  transactionUnknown @7;
  draining @8;
}

struct Pair {
  name @0 :Text;
  value @1 :Text;
}

struct Row {
  text @0 :Text;
}

struct ForwardedCall {
  action @0 :Action;
  service @1 :Text;
  database @2 :Text;
  account @3 :Text;
  requestId @4 :Text;
  # Text of a statement, or of the prepared statement that is executed.
  text @5 :Text;
  isWrite @6 :Bool;
  isPrepared @7 :Bool;
  # Arguments of the prepared statement.
  arguments @8 :Text;
  values @9 :List(Pair);
  # Whether the database must be the primary.
  needsPrimary @10 :Bool;
  isReadOnly @11 :Bool;
  # Greatest age of a read on a replica, and the time since the request
  # arrived, in seconds.
  maxAgeS @12 :Float64;
  elapsedS @13 :Float64;
  # Position of the last commit of the session; term 0 for none.
  sessionTerm @14 :UInt64;
  sessionIndex @15 :UInt64;
  timeoutS @16 :Float64;
  objectiveS @17 :Float64;
  # Weight of the account and priority of the request in the queue. A weight
  # that is no positive number, such as 0 for none, is the smallest one.
  weight @18 :Float64;
  priority @19 :Int32;
  # Number of an open transaction.
  transaction @20 :UInt64;
  # Whether the request may have been counted for usage reports before.
  isCounted @21 :Bool;
}

struct ForwardedAnswer {
  outcome @0 :Outcome;
  rows @1 :List(Row);
  receipt @2 :Text;
  # Error code of the database; empty for a success.
  error @3 :Text;
  message @4 :Text;
  # Recommended delay before another attempt, in seconds; negative for none.
  retryAfterS @5 :Float64 = -1;
  state @6 :Text;
  # Position of the answer; term 0 for none.
  term @7 :UInt64;
  index @8 :UInt64;
  # How long before the call the position was known to be current.
  positionAgeS @9 :Float64;
  transaction @10 :UInt64;
  # Whether a connection to the database timed out, and did not break.
  isTimeout @11 :Bool;
  # Why the statement did not run.
  reason @12 :Reason;
  # Load of the database at the holder, if there are figures: expected wait
  # for a connection, mean time at the database, statements that run,
  # connections that are idle or may be opened, and refused statements.
  hasLoad @13 :Bool;
  loadRunning @14 :UInt16;
  loadWaitMicros @15 :UInt32;
  loadServiceMicros @16 :UInt32;
  loadFree @17 :UInt16;
  loadRefusedPermille @18 :UInt16;
  # Time that the holder spent on the call.
  spentMicros @19 :UInt32;
  # Number of holders that the account needs; 0 or 1 for this one alone.
  accountHolders @20 :UInt8;
}
