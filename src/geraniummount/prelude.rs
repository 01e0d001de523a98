//! Re-exports of the types that most modules use.

pub use crate::core::config::catalog::{Catalog, Record};
pub use crate::core::failure::Failure;
pub use crate::core::holding::Holding;
pub use crate::core::id::{
    AttemptId, ChangeId, DomainName, Era, Generation, HandoffId, Incarnation, LeafName, Millicores,
    RegionName, RequestId, Revision, ServiceName, ShardName, SnapshotId, TenantName, VmName,
};
pub use crate::core::leaf::Leaf;
pub use crate::core::outcome::Outcome;
pub use crate::core::part::Part;
pub use crate::core::reason::Reason;
pub use crate::core::reply::Reply;
pub use crate::core::report::Report;
pub use crate::core::service::Service;
pub use crate::core::verdict::Verdict;
pub use crate::core::view::View;
pub use crate::core::vm::Vm;
