//! Integration tests.

mod settings;
mod stand_ins;
