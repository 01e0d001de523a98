//! `trace`: shows the log lines of several gateways about one request, in order of time.
//!
//! A gateway is a process that `geraniummount gateway` runs. Its log lines are structured: pairs
//! `key=value`, of which the first has the key `t`, the time.

use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use serde_json::{Map, Value};

use crate::ops::exit::Exit;
use crate::ops::output;

/// Keys that the text output does not repeat among the remaining pairs: `t`, `vm` and `event` have
/// columns, `level` is left out.
const COLUMNS: [&str; 4] = ["t", "level", "vm", "event"];

/// A structured line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Pairs of key and value, in the order of the line.
    pub pairs: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; text before the key `t` is skipped. Returns `None` if the
    /// line is not a structured line of a gateway.
    pub fn parse(text: &str) -> Option<Line> {
        let start = text.find("t=")?;
        let mut left = &text[start..];
        let mut pairs = Vec::new();
        while let Some((key, rest)) = left.split_once('=') {
            let (value, rest) = match rest.strip_prefix('"') {
                Some(quoted) => split_quoted(quoted),
                None => rest.split_once(' ').unwrap_or((rest, "")),
            };
            let key = key.rsplit(' ').next().unwrap_or(key);
            // The first `event` is the kind of the line. Some kinds have a further key `event`,
            // which is renamed to `what` to keep both.
            let is_repeated_event = key == "event" && pairs.iter().any(|(name, _)| name == "event");
            let key = if is_repeated_event { "what" } else { key };
            pairs.push((key.to_string(), value.to_string()));
            left = rest.trim_start();
        }
        let line = Line { pairs };
        line.get("event").is_some().then_some(line)
    }

    /// Returns the value of a key, if the line has it.
    pub fn get(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        let pair = pairs.find(|(name, _)| name == key)?;
        Some(&pair.1)
    }

    /// Returns the time of the line in seconds since the Unix epoch; 0 without a valid time.
    fn time(&self) -> f64 {
        let time = self.get("t").and_then(|time| time.parse().ok());
        time.unwrap_or(0.0)
    }
}

/// Splits a text at the quote that ends its first value, and leaves the quote out. A quote after a
/// backslash belongs to the value, and the value of a line that was cut has no end.
fn split_quoted(text: &str) -> (&str, &str) {
    let mut is_escaped = false;
    let end = text.find(|character| {
        let is_end = character == '"' && !is_escaped;
        is_escaped = character == '\\' && !is_escaped;
        is_end
    });
    end.map_or((text, ""), |end| (&text[..end], &text[end + 1..]))
}

/// Writes all lines about a request in order of time. Reads standard input if `files` is empty.
///
/// # Errors
///
/// Fails if a file can't be read or no line has the id of the request.
pub fn run(
    id: &str,
    files: &[PathBuf],
    as_json: bool,
    out: &mut impl Write,
) -> Result<(), Report<Exit>> {
    let mut lines = Vec::new();
    for text in read_all(files)? {
        let parsed = text.lines().filter_map(Line::parse);
        lines.extend(parsed.filter(|line| line.get("id") == Some(id)));
    }
    if lines.is_empty() {
        let advice = format!(
            "no line has the request id {id}; check the id, and that the logs cover the time of \
             the request"
        );
        return Err(Report::new(Exit::NotFound).attach(advice));
    }
    lines.sort_by(|a, b| a.time().total_cmp(&b.time()));
    let text = if as_json {
        as_json_lines(&lines)
    } else {
        as_text(&lines)
    };
    output::text(out, &text)
}

fn read_all(files: &[PathBuf]) -> Result<Vec<String>, Report<Exit>> {
    if files.is_empty() {
        let mut text = Vec::new();
        io::stdin()
            .read_to_end(&mut text)
            .change_context(Exit::Other)?;
        return Ok(vec![String::from_utf8_lossy(&text).into_owned()]);
    }
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(file: &Path) -> Result<String, Report<Exit>> {
    let bytes = fs::read(file).change_context(Exit::Other);
    let advice = || {
        format!(
            "{}: can't be read; pass the path of a log file",
            file.display()
        )
    };
    Ok(String::from_utf8_lossy(&bytes.attach_with(advice)?).into_owned())
}

fn as_text(lines: &[Line]) -> String {
    let start = lines.first().map_or(0.0, Line::time);
    let width = lines
        .iter()
        .filter_map(|line| line.get("vm"))
        .map(str::len)
        .max();
    let width = width.unwrap_or(0);
    let mut text = String::new();
    for line in lines {
        let after_ms = (line.time() - start) * 1000.0;
        let (vm, event) = (
            line.get("vm").unwrap_or(""),
            line.get("event").unwrap_or(""),
        );
        let rest = line.pairs.iter();
        let rest = rest.filter(|(key, _)| !COLUMNS.contains(&key.as_str()) && key != "id");
        let rest: Vec<String> = rest.map(|(key, value)| format!("{key}={value}")).collect();
        let rest = rest.join(" ");
        text.push_str(&format!(
            "{after_ms:>8.0} ms  {vm:<width$}  {event:<8}  {rest}\n"
        ));
    }
    text
}

fn as_json_lines(lines: &[Line]) -> String {
    let mut text = String::new();
    for line in lines {
        let pairs = line.pairs.iter();
        let object: Map<String, Value> = pairs
            .map(|(key, value)| (key.clone(), Value::String(value.clone())))
            .collect();
        text.push_str(&Value::Object(object).to_string());
        text.push('\n');
    }
    text
}
