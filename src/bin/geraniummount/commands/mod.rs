//! One subcommand a file: its arguments and `exec`.

pub mod apply;
pub mod caller;
pub mod check;
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
