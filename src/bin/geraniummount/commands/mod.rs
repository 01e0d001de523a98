//! Subcommands, one per module: their arguments and an `exec` method.
//!
//! [`caller`] and [`operator`] hold arguments that several subcommands share.

pub mod apply;
pub mod caller;
pub mod check;
pub mod check_routes;
pub mod delete;
pub mod dump;
pub mod gateway;
pub mod get;
pub mod load;
pub mod operator;
pub mod query;
pub mod serve;
pub mod status;
pub mod trace;
pub mod watch;
