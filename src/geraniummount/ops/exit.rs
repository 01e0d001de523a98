//! Kinds of failure of a subcommand, and the exit codes that tell them apart.

use std::fmt;
use std::process::ExitCode;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Why a subcommand failed; each kind has an exit code of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Anything else.
    Other,
    /// The command line can't be understood.
    Usage,
    /// Settings, a resource or a request are not valid.
    Invalid,
    /// The resource was changed by someone else.
    Conflict,
    /// The server did not answer; nothing was sent.
    Unreachable,
    /// The change was sent, but its outcome is not known.
    Undecided,
    /// The request or change was refused and has not run.
    NotRun,
    /// The request failed and may have run.
    MayHaveRun,
    /// There is no such resource.
    NotFound,
    /// The request ran, but its answer was lost.
    Ran,
}

impl Exit {
    /// Exit code of the process.
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
        })
    }
}

impl std::error::Error for Exit {}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}

/// Writes a failure for a person: the kind first, then causes and advice.
pub fn describe(report: &Report<Exit>) -> String {
    let mut text = format!("error: {}\n", report.current_context());
    let details = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) if frame.downcast_ref::<Exit>().is_none() => {
            Some(context.to_string())
        }
        FrameKind::Attachment(AttachmentKind::Printable(detail)) => Some(detail.to_string()),
        _ => None,
    });
    // Frames come with the newest first; a reader wants the cause before the advice.
    let mut details: Vec<String> = details.collect();
    details.reverse();
    for line in details.iter().flat_map(|detail| detail.lines()) {
        text.push_str("  ");
        text.push_str(line);
        text.push('\n');
    }
    text
}
