//! What each subcommand does.

pub mod settings;
