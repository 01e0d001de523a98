//! Types of the names and numbers that identify requests, resources and VMs.

/// Id of one attempt, one try to run one part of a request (its share for one shard) at one leaf.
/// The id is drawn at random, which makes it unique across the fleet with very high probability.
pub type AttemptId = u64;

/// Random id of one proposed configuration change.
pub type ChangeId = u64;

/// Name of a failure domain.
pub type DomainName = String;

/// Number of times that the platform's store has come back from an older copy of itself.
pub type Era = u64;

/// Revision at which a resource was last changed; 0 means that the resource does not exist.
/// Because revisions never repeat, a generation stays unique even if a resource is deleted and
/// created again.
pub type Generation = u64;

/// Id of one handoff, the passing of a caller's request to another VM. The id is drawn at random, as an
/// [`AttemptId`] is.
pub type HandoffId = u64;

/// Key that a caller repeats whenever it resends the same non-idempotent request.
pub type IdempotencyKey = String;

/// Number that a VM increases at each start and each time it refutes a suspicion of failure.
pub type Incarnation = u64;

/// Name of a leaf, the process on a backend server that holds shard replicas.
pub type LeafName = String;

/// Name of a region, which contains failure domains.
pub type RegionName = String;

/// Id of a request, chosen by the caller or generated if the caller gives none.
pub type RequestId = String;

/// Processor share in thousandths of a core; 0 if it is not known.
pub type Millicores = u32;

/// Position in the log of all accepted changes; 0 is the empty configuration.
pub type Revision = u64;

/// Name of a query service.
pub type ServiceName = String;

/// Name of a shard within its service, or `service/shard` in an answer of another service that
/// includes this service.
pub type ShardName = String;

/// Version of the index that a shard serves; a larger number is a newer version.
pub type SnapshotId = u64;

/// Name of a tenant (workspace).
pub type TenantName = String;

/// Name of a VM.
pub type VmName = String;
