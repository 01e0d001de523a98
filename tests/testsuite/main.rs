//! Integration tests.

mod bad_input;
mod command_line;
mod memory_backend;
mod settings;
mod stand_ins;
