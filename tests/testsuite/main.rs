//! Integration tests.

use geraniummount_test_support::{balanced, load, scene, trouble};

mod bad_input;
mod callers_listener;
mod command_line;
mod control_change_log;
mod control_claims;
mod control_claims_forward;
mod control_membership;
mod control_ownership;
mod control_store;
mod control_validation;
mod fan_out;
mod fan_out_losses;
mod fuzz;
mod leaf_edge;
mod leaf_queue;
mod node;
mod operators_listener;
mod path;
mod peer_edge;
mod platform;
mod promise_at_most_once;
mod promise_configuration;
mod promise_coverage;
mod promise_graceful_stop;
mod promise_leaving;
mod promise_not_run;
mod promise_reply;
mod promise_snapshot;
mod readiness;
mod sample;
mod seeded;
mod settings;
mod stand_ins;
mod survey;
mod takeover;
