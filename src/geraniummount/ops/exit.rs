//! Kinds of failure of a subcommand and their exit codes.

use std::fmt;
use std::process::ExitCode;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Kind of failure of a subcommand; each kind has its own exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Any other failure.
    Other,
    /// The arguments of the command line are invalid.
    Usage,
    /// The settings, a resource or a request are invalid.
    Invalid,
    /// The resource was changed by another client.
    Conflict,
    /// The server can't be reached or did not answer a read; nothing was changed.
    Unreachable,
    /// The change was sent, but its outcome is unknown.
    Undecided,
    /// The request or change was rejected and did not run.
    NotRun,
    /// The request failed and may have run.
    MayHaveRun,
    /// The resource does not exist.
    NotFound,
    /// The request ran, but its response was lost.
    Ran,
    /// The input is valid, but a part of it has no effect or is probably a mistake.
    Warned,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Other => 1,
            Exit::Usage => 2,
            Exit::Invalid => 3,
            Exit::Conflict => 4,
            Exit::Unreachable => 5,
            Exit::Undecided => 6,
            Exit::NotRun => 7,
            Exit::MayHaveRun => 8,
            Exit::NotFound => 9,
            Exit::Ran => 10,
            Exit::Warned => 11,
        }
    }
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Exit::Other => "the command failed",
            Exit::Usage => "the command line can't be understood",
            Exit::Invalid => "the input is not valid",
            Exit::Conflict => "the resource was changed by someone else",
            Exit::Unreachable => "the server can't be reached",
            Exit::Undecided => "the outcome of the change is not known",
            Exit::NotRun => "refused; it was not run",
            Exit::MayHaveRun => "failed; it may have run",
            Exit::NotFound => "there is no such resource",
            Exit::Ran => "it ran, but the answer was lost",
            Exit::Warned => "the input is valid, but has warnings",
        })
    }
}

impl std::error::Error for Exit {}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}

/// Returns a failure as readable text: its kind, followed by causes and advice.
pub fn describe(report: &Report<Exit>) -> String {
    let mut text = format!("error: {}\n", report.current_context());
    let details = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) if frame.downcast_ref::<Exit>().is_none() => {
            Some(context.to_string())
        }
        FrameKind::Attachment(AttachmentKind::Printable(detail)) => Some(detail.to_string()),
        _ => None,
    });
    // Frames are ordered newest first, but a reader needs the cause before the advice.
    let mut details: Vec<String> = details.collect();
    details.reverse();
    for line in details.iter().flat_map(|detail| detail.lines()) {
        text.push_str("  ");
        text.push_str(line);
        text.push('\n');
    }
    text
}
