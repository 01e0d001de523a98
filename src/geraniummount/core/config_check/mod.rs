//! Checks a configuration document before an operator sends it.
//!
//! Load pattern: some thousand changes of configuration a day, each in force everywhere within
//! seconds. A document that can be read may still name a service that does not exist, or contain a
//! route that no request reaches; the gateways do what it says, and callers notice.

mod candidate;
mod difference;
mod finding;
mod kind;
mod limits;
mod routes;
mod severity;
mod unreachable;

pub use self::candidate::Candidate;
pub use self::finding::Finding;
pub use self::kind::Kind;
pub use self::severity::Severity;

use crate::core::route::Table;
use crate::prelude::*;

/// Returns the findings on a document, the most severe first. `in_force` is the version that it
/// replaces, if it is known. `regions` are the regions of the failure domains; nothing is said about
/// lists of regions if there are none.
pub fn check(
    candidate: &Candidate,
    in_force: Option<&Table>,
    regions: &[(DomainName, RegionName)],
) -> Vec<Finding> {
    let table = &candidate.table;
    let mut findings = routes::check(table);
    findings.extend(unreachable::check(table, regions));
    findings.extend(limits::check(candidate));
    if let Some(old) = in_force {
        findings.extend(difference::check(old, table));
    }
    findings.sort_by_key(|finding| finding.kind.severity());
    findings
}
