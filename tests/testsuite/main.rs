//! Integration tests.

mod bad_input;
mod callers_listener;
mod command_line;
mod control_change_log;
mod control_claims;
mod control_membership;
mod control_ownership;
mod control_validation;
mod leaf_edge;
mod operators_listener;
mod peer_edge;
mod settings;
mod stand_ins;
