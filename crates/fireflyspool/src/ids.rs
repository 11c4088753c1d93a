//! Identifiers as type aliases.
//!
//! Identifiers are aliases rather than newtypes in this code base. The compiler
//! does not detect two swapped aliases of one type, so signatures take at most
//! one identifier of a kind where they can and name their parameters in full.

/// Number of a VM of the tier, unique in a site and set in the VM's settings.
pub type NodeId = u64;

/// Random number drawn once by a process or data folder; a different one means a new start.
pub type Incarnation = u64;

/// Name of a backend server.
pub type ServerName = String;

/// Version of the program that a backend server runs; empty if it reports none.
pub type ServerVersion = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a service that reads collections.
pub type ServiceName = String;

/// Name of a client account.
pub type AccountName = String;

/// Name of a searchable collection.
pub type CollectionName = String;

/// Name of an operator who issues commands.
pub type OperatorName = String;

/// Number that an operator assigns to a command.
pub type CommandNumber = u64;

/// Identifier that a caller assigns to a request.
pub type RequestId = String;

/// Version of the index of a collection.
pub type IndexVersion = u64;

/// Number of a shard, from zero.
pub type ShardNumber = u32;

/// Number of changes accepted into the catalog so far.
pub type Revision = u64;

/// Election term of the replicated log.
pub type Term = u64;

/// Position in the replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Number of a sub-request, unique within one entry VM's incarnation.
pub type SubRequestId = u64;

/// Number of an attempt at a backend server, unique within one owner's incarnation.
pub type AttemptId = u64;

/// Hash of the content of a request.
pub type Fingerprint = u64;

/// Correlates a result of a state machine with the request that waits for it.
pub type Ticket = u64;

/// Version of the routing configuration, assigned by its operator.
pub type ConfigVersion = u64;

/// Position in the change log of a registry.
pub type ChangePosition = u64;

/// Start time of a backend server in milliseconds since the Unix epoch; grows with each incarnation.
pub type BornMillis = u64;
