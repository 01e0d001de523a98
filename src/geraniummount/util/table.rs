//! Text tables with aligned columns, for terminals.

use serde_json::Value;

/// Separator of columns, and indent of nested values.
const GAP: &str = "  ";

/// Table whose columns are aligned when it is written.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading row.
    pub fn new(heading: &[&str]) -> Table {
        let mut table = Table::default();
        table.push(heading.iter().map(|cell| (*cell).to_string()));
        table
    }

    /// Adds a row.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the rows, each after `indent` and without trailing spaces.
    pub fn text(&self, indent: &str) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(cell, w)| format!("{cell:<w$}")).collect();
            text.push_str(format!("{indent}{}", line.join(GAP)).trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats JSON as aligned text: objects as keys with values, lists of objects as tables, and all
/// other values on one line.
pub fn outline(value: &Value) -> String {
    let mut text = String::new();
    write_outline(value, "", &mut text);
    text
}

fn write_outline(value: &Value, indent: &str, text: &mut String) {
    match value {
        Value::Object(fields) => write_object(fields, indent, text),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            text.push_str(&rows(items).text(indent));
        }
        other => {
            text.push_str(&format!("{indent}{}\n", cell(other)));
        }
    }
}

/// Writes an object: first its single-line fields, aligned, then each nested field below its name.
fn write_object(fields: &serde_json::Map<String, Value>, indent: &str, text: &mut String) {
    let mut short = Table::default();
    for (key, value) in fields.iter().filter(|(_, value)| !is_nested(value)) {
        short.push([key.clone(), cell(value)]);
    }
    text.push_str(&short.text(indent));
    for (key, value) in fields.iter().filter(|(_, value)| is_nested(value)) {
        text.push_str(&format!("{indent}{key}\n"));
        write_outline(value, &format!("{indent}{GAP}"), text);
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => items.iter().any(Value::is_object),
        _ => false,
    }
}

/// Builds a table with one column for each key that occurs in any item.
fn rows(items: &[Value]) -> Table {
    let mut keys: Vec<&str> = Vec::new();
    for key in items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|i| i.keys())
    {
        if !keys.contains(&key.as_str()) {
            keys.push(key);
        }
    }
    let mut table = Table::new(&keys);
    for item in items {
        table.push(
            keys.iter()
                .map(|key| item.get(*key).map_or("-".to_string(), cell)),
        );
    }
    table
}

/// Formats a value on one line, as in a cell of a table.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".to_string(),
        Value::Array(items) if !items.iter().any(Value::is_object) => {
            items.iter().map(cell).collect::<Vec<_>>().join(",")
        }
        Value::Object(fields) if fields.is_empty() => "none".to_string(),
        Value::Number(number) if number.is_f64() => number
            .as_f64()
            .map_or_else(String::new, |value| format!("{value:.2}")),
        other => other.to_string(),
    }
}
