//! What each subcommand does.
