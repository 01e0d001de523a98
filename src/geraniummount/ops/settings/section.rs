//! Reads and checks the values of one section.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::document::{Document, Entry};
use super::fault::{Fault, Faults};
use crate::core::config::validation;

const MAX_PREFIX_BYTES: usize = 63;

/// Reader of one section. It records each fault and continues, to report all faults at once;
/// methods that read a value return `None` if they record a fault.
pub(super) struct Section<'a> {
    name: &'static str,
    entries: Vec<&'a Entry>,
    faults: &'a mut Faults,
}

impl<'a> Section<'a> {
    pub(super) fn new(
        document: &'a Document,
        name: &'static str,
        faults: &'a mut Faults,
    ) -> Section<'a> {
        let entries = document.entries.iter();
        Section {
            name,
            entries: entries.filter(|entry| entry.section == name).collect(),
            faults,
        }
    }

    /// Records a fault for each key that is not in `keys` or that is repeated.
    pub(super) fn check_keys(&mut self, keys: &[&str]) {
        let mut seen: Vec<&str> = Vec::new();
        for entry in self.entries.clone() {
            if !keys.contains(&entry.key.as_str()) {
                let allowed = format!("one of the keys {}", keys.join(", "));
                self.fault(entry, "an unknown key".to_string(), allowed);
            } else if seen.contains(&entry.key.as_str()) {
                let found = "the key a second time".to_string();
                self.fault(entry, found, "each key once".to_string());
            }
            seen.push(&entry.key);
        }
    }

    /// Reads a required name, which has to be a valid name of a resource.
    pub(super) fn name(&mut self, key: &str) -> Option<String> {
        let entry = self.required(key, "a name")?;
        let value = &entry.value;
        if validation::is_valid_name(value) {
            return Some(value.clone());
        }
        self.fault(entry, format!("'{value}'"), validation::name_rule());
        None
    }

    /// Reads a prefix of the keys that are written to the platform's store: ASCII letters, digits,
    /// hyphens, dots and slashes.
    pub(super) fn prefix(&mut self, key: &str, default: &str) -> Option<String> {
        let Some(entry) = self.entry(key) else {
            return Some(default.to_string());
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-./".contains(c);
        let value = &entry.value;
        if !value.is_empty() && value.len() <= MAX_PREFIX_BYTES && value.chars().all(is_allowed) {
            return Some(value.clone());
        }
        let allowed = format!("1 to {MAX_PREFIX_BYTES} letters, digits, dots, hyphens or slashes");
        self.fault(entry, format!("'{value}'"), allowed);
        None
    }

    /// Reads a required address to listen on; port 0 stands for any free port.
    pub(super) fn listener(&mut self, key: &str) -> Option<SocketAddr> {
        let entry = self.required(key, "an IP address and port, such as 10.0.0.5:8080")?;
        self.parse_listener(entry)
    }

    /// Reads a required address to connect to; its IP and port must be specified.
    pub(super) fn target(&mut self, key: &str) -> Option<SocketAddr> {
        let entry = self.required(key, "an IP address and port, such as 10.0.0.5:8080")?;
        self.parse_target(entry, &entry.value)
    }

    /// Reads an optional address to connect to; `Some(None)` if the key is missing.
    pub(super) fn optional_target(&mut self, key: &str) -> Option<Option<SocketAddr>> {
        match self.entry(key) {
            Some(entry) => self.parse_target(entry, &entry.value).map(Some),
            None => Some(None),
        }
    }

    /// Reads an optional IP address of this machine; `Some(None)` if the key is missing.
    pub(super) fn optional_ip(&mut self, key: &str) -> Option<Option<IpAddr>> {
        let Some(entry) = self.entry(key) else {
            return Some(None);
        };
        let is_specific = |ip: &IpAddr| !ip.is_unspecified();
        let ip = entry.value.parse().ok().filter(is_specific);
        if ip.is_none() {
            let allowed = "an IP address of this machine, such as 10.0.0.5".to_string();
            self.fault(entry, format!("'{}'", entry.value), allowed);
        }
        ip.map(Some)
    }

    /// Reads a comma-separated list of addresses to connect to; empty if the key is missing.
    pub(super) fn targets(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        let Some(entry) = self.entry(key) else {
            return Some(Vec::new());
        };
        let items = entry.value.split(',').map(str::trim);
        let items: Vec<&str> = items.filter(|item| !item.is_empty()).collect();
        let read: Vec<_> = items
            .iter()
            .map(|item| self.parse_target(entry, item))
            .collect();
        read.into_iter().collect()
    }

    /// Reads an integer in `range`; `default` if the key is missing.
    pub(super) fn number(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(entry) = self.entry(key) else {
            return Some(default);
        };
        if let Some(value) = entry.value.parse().ok().filter(|v| range.contains(v)) {
            return Some(value);
        }
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        self.fault(entry, format!("'{}'", entry.value), allowed);
        None
    }

    /// Reads an optional integer in `range`; `Some(None)` if the key is missing.
    pub(super) fn optional_number(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        match self.entry(key) {
            Some(_) => self.number(key, 0, range).map(Some),
            None => Some(None),
        }
    }

    /// Reads a decimal number in `range`; `default` if the key is missing.
    pub(super) fn decimal(
        &mut self,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let Some(entry) = self.entry(key) else {
            return Some(default);
        };
        if let Some(value) = entry.value.parse().ok().filter(|v| range.contains(v)) {
            return Some(value);
        }
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        self.fault(entry, format!("'{}'", entry.value), allowed);
        None
    }

    /// Reads a comma-separated list of `name=value` pairs, and sorts it; empty if the key is
    /// missing.
    pub(super) fn pairs(&mut self, key: &str) -> Option<Vec<(String, String)>> {
        let Some(entry) = self.entry(key) else {
            return Some(Vec::new());
        };
        let items = entry.value.split(',').map(str::trim);
        let items = items.filter(|item| !item.is_empty());
        let pairs: Option<Vec<(String, String)>> = items.map(parse_pair).collect();
        if pairs.is_none() {
            let allowed = "pairs such as domain-a=region-a,domain-b=region-a".to_string();
            self.fault(entry, format!("'{}'", entry.value), allowed);
        }
        let mut pairs = pairs?;
        pairs.sort();
        Some(pairs)
    }

    /// Reads an integer in `range` as `usize`; `default` if the key is missing.
    pub(super) fn count(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<usize> {
        let number = self.number(key, default, range)?;
        usize::try_from(number).ok()
    }

    /// Reads a duration in milliseconds; `default` if the key is missing.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.number(key, default, range).map(Duration::from_millis)
    }

    /// Reads one of `choices`; `default` if the key is missing.
    pub(super) fn choice<T: FromStr>(
        &mut self,
        key: &str,
        default: T,
        choices: &[&str],
    ) -> Option<T> {
        let Some(entry) = self.entry(key) else {
            return Some(default);
        };
        let is_known = choices.contains(&entry.value.as_str());
        let value = entry.value.parse().ok().filter(|_| is_known);
        if value.is_none() {
            let allowed = format!("one of {}", choices.join(", "));
            self.fault(entry, format!("'{}'", entry.value), allowed);
        }
        value
    }

    /// Records a fault of a key whose value was read but is not usable.
    pub(super) fn reject(&mut self, key: &str, found: String, allowed: &str) {
        let line = self.entry(key).map(|entry| entry.line);
        self.push(line, key, found, allowed.to_string());
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.entries.iter().copied().find(|entry| entry.key == key)
    }

    fn required(&mut self, key: &str, allowed: &str) -> Option<&'a Entry> {
        let entry = self.entry(key);
        if entry.is_none() {
            self.push(None, key, "no such key".to_string(), allowed.to_string());
        }
        entry
    }

    fn parse_listener(&mut self, entry: &Entry) -> Option<SocketAddr> {
        let address = entry.value.parse();
        if address.is_err() {
            let allowed = "an IP address and port, such as 10.0.0.5:8080".to_string();
            self.fault(entry, format!("'{}'", entry.value), allowed);
        }
        address.ok()
    }

    fn parse_target(&mut self, entry: &Entry, value: &str) -> Option<SocketAddr> {
        let is_dialable =
            |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        let address = value.parse().ok().filter(is_dialable);
        if address.is_none() {
            let allowed = "an IP address and port that others can dial, such as 10.0.0.5:8080";
            self.fault(entry, format!("'{value}'"), allowed.to_string());
        }
        address
    }

    fn fault(&mut self, entry: &Entry, found: String, allowed: String) {
        self.push(Some(entry.line), &entry.key, found, allowed);
    }

    fn push(&mut self, line: Option<usize>, key: &str, found: String, allowed: String) {
        self.faults.push(Fault {
            line,
            key: format!("[{}] {key}", self.name),
            found,
            allowed,
        });
    }
}

/// Splits `name=value`; `None` if one of them is missing.
fn parse_pair(item: &str) -> Option<(String, String)> {
    let (name, value) = item.split_once('=')?;
    let (name, value) = (name.trim(), value.trim());
    (!name.is_empty() && !value.is_empty()).then(|| (name.to_string(), value.to_string()))
}
