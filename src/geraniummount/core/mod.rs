//! The decision logic: domain types and the state machines that work on them.
//!
//! This layer opens no sockets, starts no threads, reads no clock and writes no log lines. The
//! current time is passed in as an argument and randomness as a seeded generator, which lets tests
//! and benchmarks drive every decision step by step.

pub mod answer;
pub mod boot_time;
pub mod call;
pub mod claims;
pub mod concurrency;
pub mod config;
pub mod connection_share;
pub mod coverage;
pub mod delegation;
pub mod duration_window;
pub mod execution;
pub mod failure;
pub mod fan_out;
pub mod fingerprint;
pub mod fleet;
pub mod gossip;
pub mod holding;
pub mod holdings;
pub mod id;
pub mod instance;
pub mod isolation;
pub mod layout;
pub mod leaf;
pub mod leaf_links;
pub mod leaf_queue;
pub mod load_shedder;
pub mod low_discrepancy;
pub mod margin;
pub mod members;
pub mod membership;
pub mod memory_account;
pub mod not_run;
pub mod outcome;
pub mod ownership;
pub mod part;
pub mod placement;
pub mod quarantine;
pub mod ranking;
pub mod readiness;
pub mod reason;
pub mod records;
pub mod relays;
pub mod reply;
pub mod reply_size;
pub mod report;
pub mod request_rate;
mod response_tracker;
pub mod retry_budget;
pub mod route;
pub mod service;
mod shard_state;
pub mod status;
pub mod store;
pub mod survey;
pub mod tenant;
pub mod tolerance;
pub mod top_k;
pub mod traffic;
pub mod updates;
pub mod verdict;
pub mod view;
pub mod vm;
