//! Implementation of the subcommands and of the processes that they run.

pub mod apply;
pub mod check;
pub mod check_routes;
pub mod control;
pub mod delete;
pub mod dump;
pub mod exit;
pub mod gateway;
pub mod get;
pub mod load;
pub mod logs;
pub mod operator_client;
pub mod output;
pub mod query;
pub mod serve;
pub mod settings;
pub mod status;
pub mod trace;
pub mod watch;
