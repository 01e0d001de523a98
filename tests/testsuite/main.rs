//! Integration tests.

mod settings;
