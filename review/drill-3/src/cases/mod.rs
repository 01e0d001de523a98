//! The cases.

pub mod attempts;
pub mod foreign;
pub mod head;
pub mod quota_again;
pub mod quota_stale;
