//! Parses an INI file into entries with line numbers.

use ini::{Ini, ParseOption};

use super::fault::{Fault, Faults};

/// Section headers and entries of a file, in the order of the file.
#[derive(Debug, Default)]
pub(super) struct Document {
    /// Section headers.
    pub(super) headers: Vec<Header>,
    /// Keys with their values and lines.
    pub(super) entries: Vec<Entry>,
}

/// A section header with its line, counted from 1.
#[derive(Debug)]
pub(super) struct Header {
    pub(super) section: String,
    pub(super) line: usize,
}

/// A key with its section, value and line, counted from 1.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) section: String,
    pub(super) key: String,
    pub(super) value: String,
    pub(super) line: usize,
}

impl Document {
    /// Parses a file; lines that can't be parsed become faults.
    ///
    /// The INI library returns values without line numbers. A first pass therefore
    /// finds the line of each key, and the parsed values are matched to these lines.
    pub(super) fn parse(text: &str, faults: &mut Faults) -> Document {
        let mut document = Document::default();
        let mut keys = document.scan(text, faults);
        let parsed = match Ini::load_from_str_opt(text, plain_values()) {
            Ok(parsed) => parsed,
            Err(error) => {
                faults.push(Fault {
                    line: Some(error.line),
                    key: "(line)".to_string(),
                    found: error.msg.to_string(),
                    allowed: "'[section]', 'key = value' or a comment".to_string(),
                });
                return document;
            }
        };
        for (section, properties) in &parsed {
            for (key, value) in properties.iter() {
                document.set_value(&mut keys, section.unwrap_or(""), key, value);
            }
        }
        document.entries.sort_by_key(|entry| entry.line);
        document
    }

    /// Returns the line of a key, if the file has it.
    pub(super) fn line_of(&self, section: &str, key: &str) -> Option<usize> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.section == section && entry.key == key);
        entry.map(|entry| entry.line)
    }

    /// Adds the section headers and returns an entry with an empty value for each key. Lines that
    /// are neither become faults.
    fn scan(&mut self, text: &str, faults: &mut Faults) -> Vec<Entry> {
        let mut section = String::new();
        let mut keys = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            let text = text.trim();
            if text.is_empty() || text.starts_with([';', '#']) {
                continue;
            }
            if let Some(name) = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')) {
                section = name.trim().to_string();
                self.headers.push(Header {
                    section: section.clone(),
                    line,
                });
                continue;
            }
            match text.split_once(['=', ':']) {
                Some((key, _)) => keys.push(Entry {
                    section: section.clone(),
                    key: key.trim().to_string(),
                    value: String::new(),
                    line,
                }),
                None => faults.push(Fault {
                    line: Some(line),
                    key: "(line)".to_string(),
                    found: format!("'{text}'"),
                    allowed: "'[section]', 'key = value' or a comment".to_string(),
                }),
            }
        }
        keys
    }

    /// Moves the first matching key from `keys` to the entries and sets its value.
    fn set_value(&mut self, keys: &mut Vec<Entry>, section: &str, key: &str, value: &str) {
        let is_same = |entry: &Entry| entry.section == section && entry.key == key;
        let Some(index) = keys.iter().position(is_same) else {
            return;
        };
        let mut entry = keys.remove(index);
        entry.value = value.trim().to_string();
        self.entries.push(entry);
    }
}

/// Returns options with which quotes and backslashes in values are kept as they are.
fn plain_values() -> ParseOption {
    ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    }
}
