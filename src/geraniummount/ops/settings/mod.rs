//! Settings of one process, read from an INI file.
//!
//! The whole file is checked before anything starts: [`Settings::parse`] returns
//! either valid settings or all faults of the file at once, each with its line,
//! its key, what was found and what is allowed.

mod caller;
mod document;
mod fault;
mod gateway;
mod limits;
mod log;
mod node;
mod operator;
mod platform;
mod section;

use std::path::Path;

use error_stack::{Report, ResultExt};

pub use self::caller::Caller;
pub use self::fault::{Fault, Faults};
pub use self::gateway::Gateway;
pub use self::limits::Limits;
pub use self::log::Log;
pub use self::node::Node;
pub use self::operator::Operator;
pub use self::platform::Platform;

use self::document::Document;
use self::section::Section;

/// Names of the sections that a settings file may have.
const SECTIONS: &[&str] = &["node", "caller", "operator", "platform", "limits", "log"];

/// Settings of the process of an entry VM, a VM that takes requests from callers (`serve`).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity of this process and its addresses for peers.
    pub node: Node,
    /// Callers' listener.
    pub caller: Caller,
    /// Operators' listener.
    pub operator: Operator,
    /// Access to the platform, which consists of two services that the users run: a key-value
    /// service and the membership list.
    pub platform: Platform,
    /// Limits on requests, replies and a planned stop.
    pub limits: Limits,
    /// Settings of the log.
    pub log: Log,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Settings, Report<Faults>> {
        let (file, text) = load_text(path)?;
        Ok(Settings::parse(&file, &text)?)
    }

    /// Parses and checks the text of a settings file; `file` is its name in faults.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
        let mut faults = Faults::new(file);
        let document = Document::parse(text, &mut faults);
        let settings = read(&document, &mut faults);
        faults.sort();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

/// Reads a file and returns the name that it has in faults, and its text.
fn load_text(path: &Path) -> Result<(String, String), Report<Faults>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Faults::unreadable(&file, &cause))
        .attach("do: pass the path of a readable INI file with --settings")?;
    Ok((file, text))
}

/// Reads all sections, even after a fault, to report the faults of all of them.
fn read(document: &Document, faults: &mut Faults) -> Option<Settings> {
    reject_unknown_sections(document, SECTIONS, faults);
    let node = Node::read(&mut Section::new(document, "node", faults));
    let caller = Caller::read(&mut Section::new(document, "caller", faults));
    let operator = Operator::read(&mut Section::new(document, "operator", faults));
    let platform = Platform::read(&mut Section::new(document, "platform", faults));
    let limits = Limits::read(&mut Section::new(document, "limits", faults));
    let log = Log::read(&mut Section::new(document, "log", faults));
    let settings = Settings {
        node: node?,
        caller: caller?,
        operator: operator?,
        platform: platform?,
        limits: limits?,
        log: log?,
    };
    reject_shared_addresses(document, &settings, faults);
    Some(settings)
}

fn reject_unknown_sections(document: &Document, known: &[&str], faults: &mut Faults) {
    for header in &document.headers {
        if !known.contains(&header.section.as_str()) {
            faults.push(Fault {
                line: Some(header.line),
                key: format!("[{}]", header.section),
                found: "an unknown section".to_string(),
                allowed: format!("one of the sections {}", known.join(", ")),
            });
        }
    }
}

/// Adds a fault for each listener that has the address and port of another one, because two
/// listeners can't bind the same. Port 0 stands for any free port and is not compared.
fn reject_shared_addresses(document: &Document, settings: &Settings, faults: &mut Faults) {
    let listeners = [
        ("node", "peer_listen", settings.node.peer_listen),
        ("caller", "listen", settings.caller.listen),
        ("operator", "listen", settings.operator.listen),
    ];
    for (index, (section, key, address)) in listeners.iter().enumerate() {
        let is_same = |other: &&(&str, &str, _)| address.port() != 0 && other.2 == *address;
        if let Some((other_section, other_key, _)) = listeners[..index].iter().find(is_same) {
            faults.push(Fault {
                line: document.line_of(section, key),
                key: format!("[{section}] {key}"),
                found: format!("{address}, which [{other_section}] {other_key} has too"),
                allowed: "an address and port of its own for each listener".to_string(),
            });
        }
    }
}
