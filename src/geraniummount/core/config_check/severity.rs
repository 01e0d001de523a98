//! How severe a finding is.

/// How severe a finding is, the most severe first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The document must not be sent.
    Error,
    /// The document can be sent, but a part of it has no effect or is probably a mistake.
    Warning,
    /// The document differs from the version in force.
    Difference,
}

impl Severity {
    /// Returns the name used in output.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Difference => "difference",
        }
    }
}
