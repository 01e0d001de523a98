//! The verdict on a request: whether it ran, may have run or did not run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request, ordered from "certainly not run" to "run".
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No leaf has started the request, and none will.
    NotRun,
    /// A leaf may have run the request or may still run it.
    MayHaveRun,
    /// A leaf ran the request.
    Ran,
}

impl Verdict {
    /// Returns the verdict as it is written in HTTP headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
