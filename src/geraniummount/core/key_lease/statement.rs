//! What another VM states about its newest confirmation.

use std::time::Duration;

use crate::prelude::*;

/// What another VM states about its newest confirmation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Statement {
    /// Version of the configuration in force at the other VM.
    pub version: u64,
    /// Era of the store, as the other VM knows it.
    pub era: Era,
    /// Time since its newest confirmation began; `None` if it has none.
    pub age: Option<Duration>,
}
