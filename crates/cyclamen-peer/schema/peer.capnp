@0xb1c7f2a4d9e05361;
# Calls between entry instances.

struct Owner {
  entry @0 :Text;
  incarnation @1 :UInt64;
}

struct Summary {
  pool @0 :Text;
  domain @1 :Text;
  serving @2 :UInt32;
  free @3 :UInt32;
  waitMs @4 :UInt64;
}

struct Strike {
  fingerprint @0 :Text;
  domain @1 :Text;
  group @2 :Text;
  fence @3 :UInt64;
  parts @4 :List(Text);
  # The parts of the prompt that other requests may share.
}

struct Answered {
  part @0 :Text;
  ageMs @1 :UInt64;
}

struct Row {
  key @0 :Text;
  revision @1 :UInt64;
  present @2 :Bool;
  value @3 :Text;
  revisionEra @4 :UInt64;
  # How often the store had come back from a copy at this revision.
}

struct Delta {
  since @0 :UInt64;
  asOf @1 :UInt64;
  rows @2 :List(Row);
  sinceEra @3 :UInt64;
  asOfEra @4 :UInt64;
}

struct Load {
  instance @0 :Text;
  fence @1 :UInt64;
  running @2 :UInt32;
  backlog @3 :UInt64;
  # Prompt tokens of those that have not begun to answer.
}

struct Start {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Capability {
  service @0 :Text;
  model @1 :Text;
  # Empty for a service without models.
}

struct News {
  sender @0 :Owner;
  asOf @1 :UInt64;
  summaries @2 :List(Summary);
  strikes @3 :List(Strike);
  delta @4 :Delta;
  # Rows that the receiver lacks, as far as the sender knows.
  loads @5 :List(Load);
  # Requests of the sender in progress on each worker.
  suspected @6 :List(Start);
  # Starts of workers that do not answer the sender.
  operatorsAsOf @7 :UInt64;
  # The revision up to which the sender knows what operators wrote.
  answered @8 :List(Answered);
  # When requests with the parts of these strikes were last answered.
  asOfEra @9 :UInt64;
  operatorsAsOfEra @10 :UInt64;
  catalogVersion @11 :UInt64;
  # The version of the operators' configuration that is in force at the sender.
  storeEra @12 :UInt64;
  # The highest era of the store that the sender knows.
  leaving @13 :List(Start);
  # Starts of workers that said lately that they are leaving.
  reached @14 :List(Start);
  # Starts of workers that others suspect and that answered the sender lately.
  handoverAddress @15 :Text;
  # Where the sender takes requests that other entries hand over; empty if it takes none.
  unserved @16 :List(Capability);
  # Configured services and models for which the sender has no worker to send requests to.
  cutOff @17 :List(Text);
  # Services whose workers the sender doesn't reach although others do.
  limits @18 :List(Limit);
  # Rate limits of workers that the sender knows of.
  issues @19 :List(Text);
  # The domains, and services without domains, for whose workers the sender issues permits.
  usesPermits @20 :Bool;
  # Whether the sender sends to a limited worker only with a permit.
  draining @21 :Bool;
  storeAgeMs @22 :UInt64;
  # The time since the store last answered the sender.
  demands @23 :List(Demand);
  # The work that callers lately asked of the sender for each model.
  observations @24 :List(Observation);
  # What is known of workers' loads and speeds, from reports and responses of any entry.
  teamWork @25 :List(TeamWork);
  # The work that the sender lately admitted for each team.
}

struct Demand {
  service @0 :Text;
  model @1 :Text;
  requests @2 :Float64;
  promptTokens @3 :Float64;
  answerTokens @4 :Float64;
  refused @5 :Float64;
  # All of them a second.
}

struct Observation {
  instance @0 :Text;
  fence @1 :UInt64;
  running @2 :UInt32;
  queued @3 :UInt32;
  pace @4 :Float64;
  # The time that the worker takes, as a multiple of the forecast.
  ageMs @5 :UInt64;
}

struct TeamWork {
  service @0 :Text;
  model @1 :Text;
  # Empty for a service without models.
  team @2 :Text;
  tokens @3 :Float64;
  # A second.
}

struct Limit {
  instance @0 :Text;
  incarnation @1 :UInt64;
  perSecond @2 :Float64;
  lifted @3 :Bool;
  # Whether the worker names no limit any more.
  ageMs @4 :UInt64;
}

struct PermitAsk {
  scope @0 :Text;
  # The domain, or the service without domains, of the worker.
  instance @1 :Text;
  incarnation @2 :UInt64;
  perSecond @3 :Float64;
  priority @4 :UInt8;
}

struct PermitAnswer {
  union {
    notIssuer @0 :Void;
    issued @1 :Void;
    deniedMs @2 :UInt64;
  }
}

struct Ask {
  domain @0 :Text;
  pool @1 :Text;
  team @2 :Text;
  share @3 :UInt32;
  interactive @4 :Bool;
  deadlineMs @5 :UInt64;
  suspect @6 :Bool;
  patient @7 :Bool;
  holder @8 :Owner;
  traceparent @9 :Text;
  ticket @10 :UInt64;
}

struct Grant {
  ticket @0 :UInt64;
  group @1 :Text;
  fence @2 :UInt64;
  instance @3 :Text;
  address @4 :Text;
  startWithinMs @5 :UInt64;
}

struct Answer {
  union {
    granted @0 :Grant;
    notServing @1 :Void;
    notOwner @2 :Void;
    busyMs @3 :UInt64;
    lateMs @4 :UInt64;
  }
  summary @5 :Summary;
  # The state of the pool after this answer.
  hasSummary @6 :Bool;
}

struct Release {
  domain @0 :Text;
  ticket @1 :UInt64;
  union {
    wholeMs @2 :UInt64;
    unused @3 :Void;
    failed @4 :Void;
  }
}

enum Fate {
  claiming @0;
  sent @1;
  abandoned @2;
  forgotten @3;
}

interface Gate {
  # The first object of a connection.
  enter @0 (secret :Text) -> (entry :Entry);
}

interface Entry {
  gossip @0 (news :News) -> (news :News);
  admit @1 (ask :Ask) -> (answer :Answer);
  release @2 (releases :List(Release)) -> ();
  fate @3 (attempt :UInt64) -> (fate :Fate);
  permit @4 (ask :PermitAsk) -> (answer :PermitAnswer);
}
