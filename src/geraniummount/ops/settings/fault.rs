//! Faults of a settings file.

use std::fmt;
use std::io;

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line, counted from 1; `None` if a key is missing or the file can't be read.
    pub line: Option<usize>,
    /// Key with its section; `(line)` or `(file)` if the fault has no key.
    pub key: String,
    /// Value or text found in the file.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All faults of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// Faults sorted by line; those without a line come first.
    pub faults: Vec<Fault>,
}

impl Faults {
    pub(super) fn new(file: &str) -> Faults {
        Faults {
            file: file.to_string(),
            faults: Vec::new(),
        }
    }

    /// Creates the fault for a file that can't be read.
    pub(super) fn unreadable(file: &str, cause: &io::Error) -> Faults {
        let fault = Fault {
            line: None,
            key: "(file)".to_string(),
            found: cause.to_string(),
            allowed: "a readable INI file in UTF-8".to_string(),
        };
        Faults {
            file: file.to_string(),
            faults: vec![fault],
        }
    }

    pub(super) fn push(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(super) fn sort(&mut self) {
        self.faults.sort_by_key(|fault| fault.line);
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings have {} fault(s)", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n{}:", self.file)?;
            if let Some(line) = fault.line {
                write!(f, "{line}:")?;
            }
            let Fault {
                key,
                found,
                allowed,
                ..
            } = fault;
            write!(f, " {key}: found {found}; allowed: {allowed}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
