@0xb7d3f0c59a1e4c62;
# Bodies of the frames between processes. Fields may be added, but never changed or removed.

struct Hello {
  version @0 :UInt16;
  name @1 :Text;
  role @2 :Text;
  incarnation @3 :UInt64;
  attempt @4 :UInt64;
  nonce @5 :Data;
  windowBytes @6 :UInt32;
}

struct Proof {
  mac @0 :Data;
}

struct Goodbye {
  message @0 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
  # The value if it is no UTF-8; `value` is then without what is none.
  raw @2 :Data;
}

struct PoolLoad {
  mean @0 :Float64;
  known @1 :UInt32;
  members @2 :UInt32;
  ageMs @3 :Int64;
}

struct Open {
  requestId @0 :Text;
  kind @1 :Text;
  pool @2 :Text;
  workspace @3 :Text;
  callerClass @4 :Text;
  method @5 :Text;
  path @6 :Text;
  headers @7 :List(Header);
  body @8 :Data;
  stream @9 :Bool;
  deadlineMs @10 :Int64;
  waitedMs @11 :Int64;
  digest @12 :UInt64;
  model @13 :Text;
  chat @14 :Text;
  returning @15 :Bool;
  idempotencyKey @16 :Text;
  attempt @17 :UInt32;
  promptBytes @18 :UInt64;
  maxOutputTokens @19 :UInt64;
  configurationVersion @20 :UInt64;
  poolLoad @21 :PoolLoad;
  holders @22 :List(Text);
  parts @23 :List(UInt64);
}

struct Head {
  status @0 :UInt16;
  headers @1 :List(Header);
  replayed @2 :Bool;
}

struct End {
  length @0 :UInt64;
  checksum @1 :UInt64;
}

struct Failure {
  reason @0 :Text;
  message @1 :Text;
  retryAfterMs @2 :Int64 = -1;
  elsewhere @3 :Bool;
}

struct Confirm {
  offset @0 :UInt64;
}

struct Resume {
  offset @0 :UInt64;
  hasHead @1 :Bool;
  ageMs @2 :UInt64;
}

struct Status {
  load @0 :UInt32;
  running @1 :UInt32;
  weight @2 :Float64;
  leaving @3 :Bool;
  ready @4 :Bool;
  models @5 :List(Text);
  poolLoad @6 :PoolLoad;
  batchWaiting @7 :UInt32;
}

struct ConfigurationNews {
  version @0 :UInt64;
  digest @1 :UInt64;
}

struct PartsRequest {
  version @0 :UInt64;
  parts @1 :List(UInt64);
}

struct Parts {
  version @0 :UInt64;
  manifest @1 :List(UInt64);
  parts @2 :List(Data);
}

struct PrefixNews {
  chat @0 :UInt64;
  promptBytes @1 :UInt32;
}

struct SuspectNews {
  digest @0 :UInt64;
  implication @1 :UInt64;
  alone @2 :Bool;
}

struct HeldModel {
  name @0 :Text;
  version @1 :Text;
  nextVersion @2 :Text;
  serving @3 :Bool;
  load @4 :Float32;
  failures @5 :UInt16;
}

struct Holding {
  name @0 :Text;
  stampMs @1 :UInt64;
  engine @2 :Text;
  up @3 :Bool;
  role @4 :Text;
  models @5 :List(HeldModel);
}

struct Holdings {
  pool @0 :Text;
  entries @1 :List(Holding);
}

struct RouterLoad {
  upstream @0 :Text;
  running @1 :UInt32;
  pendingTokens @2 :UInt64;
}

struct PlacedPart {
  part @0 :UInt64;
  upstream @1 :Text;
}

# No longer sent: SuspectEvidence and SuspectVerdicts take its place.
struct Implication {
  digest @0 :UInt64;
  upstream @1 :Text;
}

struct RouterNews {
  address @0 :Text;
  routers @1 :List(Text);
  routingVersion @2 :UInt64;
  listRevision @3 :UInt64;
  loads @4 :List(RouterLoad);
  placed @5 :List(PlacedPart);
  implications @6 :List(Implication);
  dataCentre @7 :Text;
  known @8 :List(RouterAt);
  evacuations @9 :List(EvacuationTold);
  refused @10 :List(Text);
  usage @11 :WorkspaceUsage;
  verdictsDigest @12 :UInt64;
}

struct WorkspaceWork {
  name @0 :Text;
  work @1 :Float32;
  sent @2 :Float32;
}

struct WorkspaceUsage {
  entries @0 :List(WorkspaceWork);
  total @1 :Float32;
  served @2 :Float32;
}

struct EvacuationTold {
  dataCentre @0 :Text;
  revision @1 :UInt64;
  active @2 :Bool;
}

struct RouterAt {
  address @0 :Text;
  dataCentre @1 :Text;
}

struct DataCentreLoads {
  dataCentre @0 :Text;
  alive @1 :UInt32;
  routers @2 :List(Text);
  loads @3 :List(RouterLoad);
  usage @4 :WorkspaceUsage;
}

struct DataCentreNews {
  address @0 :Text;
  loads @1 :DataCentreLoads;
  routingVersion @2 :UInt64;
  listRevision @3 :UInt64;
  placed @4 :List(PlacedPart);
  implications @5 :List(Implication);
  evacuations @6 :List(EvacuationTold);
  refused @7 :List(Text);
  verdictsDigest @8 :UInt64;
}

struct RelayedNews {
  loads @0 :List(DataCentreLoads);
  placed @1 :List(PlacedPart);
  implications @2 :List(Implication);
  refused @3 :List(Text);
}

struct CatchUp {
  routing @0 :Bool;
  upstreams @1 :Bool;
  since @2 :UInt64;
  # Not 0: ask the store for changes first, and answer with this number.
  confirm @3 :UInt64;
}

struct StoreWatched {
  routingVersion @0 :UInt64;
  routingAsOf @1 :UInt64;
  listNewest @2 :UInt64;
  listAsOf @3 :UInt64;
  evacuations @4 :List(EvacuationTold);
  listAgeMs @5 :UInt32;
  listChanges @6 :UInt64;
  # The monotonic clock of the sender, 0 if it doesn't state it.
  sentMs @7 :UInt64;
}

struct RoutingDocument {
  version @0 :UInt64;
  document @1 :Data;
  evacuations @2 :List(EvacuationTold);
}

struct ListedUpstream {
  revision @0 :UInt64;
  upstream @1 :Text;
  state @2 :Text;
  service @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  slots @6 :UInt32;
  startedMs @7 :UInt64;
  warmUpMs @8 :UInt32;
  version @9 :Text;
}

struct ListedUpstreams {
  entries @0 :List(ListedUpstream);
  asOf @1 :UInt64;
  complete @2 :Bool;
  changes @3 :UInt64;
  # The number of the request after which the store was asked, 0 without such a question.
  confirms @4 :UInt64;
}

struct BegunStreams {
  # For each stream its digest and that of its origin, 8 and 4 bytes, little-endian.
  streams @0 :Data;
}

struct OriginRequest {
  stream @0 :UInt64;
  service @1 :Text;
}

struct OriginReply {
  stream @0 :UInt64;
  origin @1 :UInt32;
  knowledge @2 :UInt8;
  # How long ago the store last responded as to the list of the sender.
  listAgeMs @3 :UInt32;
  # The revision up to which the sender knows the list.
  listAsOf @4 :UInt64;
}

struct HeldAt {
  upstream @0 :Text;
  parts @1 :List(UInt64);
}

struct HeldNews {
  complete @0 :Bool;
  engines @1 :List(HeldAt);
}

struct SuspectImplication {
  subject @0 :UInt64;
  workspace @1 :UInt32;
  content @2 :UInt16;
  # 16-bit fingerprints, little-endian.
  companions @3 :Data;
}

# The implications of one crash of an upstream, as one router saw it.
struct CrashReport {
  upstream @0 :Text;
  ageMs @1 :UInt32;
  implications @2 :List(SuspectImplication);
}

struct Survival {
  subject @0 :UInt64;
  workspace @1 :UInt32;
  ageMs @2 :UInt32;
}

struct SuspectEvidence {
  crashes @0 :List(CrashReport);
  survivals @1 :List(Survival);
}

struct CrashSeen {
  upstream @0 :Text;
  router @1 :Text;
  ageMs @2 :UInt32;
}

struct SuspectVerdict {
  subject @0 :UInt64;
  generation @1 :UInt32;
  state @2 :UInt8;
  workspace @3 :UInt32;
  ageMs @4 :UInt32;
  known @5 :Bool;
  trials @6 :UInt16;
  implications @7 :UInt16;
  origin @8 :Text;
  crashes @9 :List(CrashSeen);
}

struct SuspectVerdicts {
  dataCentre @0 :Text;
  verdicts @1 :List(SuspectVerdict);
}
