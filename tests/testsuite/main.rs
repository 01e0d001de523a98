//! Integration tests.

mod bad_input;
mod command_line;
mod leaf_edge;
mod memory_backend;
mod settings;
mod stand_ins;
