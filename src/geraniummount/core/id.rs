//! Names and numbers that identify things.

/// Number of one try to run one part of a request; unique across the fleet
/// with very high probability, as it is drawn at random.
pub type AttemptId = u64;

/// Random number of one proposed change of the configuration.
pub type ChangeId = u64;

/// Name of a failure domain.
pub type DomainName = String;

/// Revision at which a resource was last changed, so that no generation comes
/// twice, also when a resource is deleted and created again; 0 means none.
pub type Generation = u64;

/// Key with which a caller marks repeated sends of one non-idempotent request.
pub type IdempotencyKey = String;

/// Number that a VM raises with each start and each refuted suspicion.
pub type Incarnation = u64;

/// Name of a leaf, the process of a backend server that holds shard replicas.
pub type LeafName = String;

/// Name that a caller gives to a request, or that is drawn for it.
pub type RequestId = String;

/// Position in the log of accepted changes; 0 is the empty configuration.
pub type Revision = u64;

/// Name of a query service.
pub type ServiceName = String;

/// Name of a shard within its service; `service/shard` in a composed service.
pub type ShardName = String;

/// Version of an index; a larger number is a newer index.
pub type SnapshotId = u64;

/// Name of a VM.
pub type VmName = String;
