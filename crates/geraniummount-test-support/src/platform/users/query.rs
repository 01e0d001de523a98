//! Query of a call on the stand-in store, decoded as strictly as the users' store may do it.

use percent_encoding::percent_decode_str;

use crate::http::Request;

/// Parameters that the calls of the store have.
const NAMES: [&str; 5] = ["after", "allowStale", "key", "prefix", "waitMs"];

/// Characters other than letters and digits that a query may contain as they are, without those
/// that separate parameters.
const PLAIN: &[u8] = b"-._~/?:@!$'()*,;+";

/// Decoded parameters of a call.
#[derive(Debug)]
pub(super) struct Query {
    parameters: Vec<(String, String)>,
}

impl Query {
    /// Decodes the query of a request; `None` if it contains a character that has to be encoded, an
    /// incomplete encoding, or a parameter without a value, twice or of another name.
    pub(super) fn of(request: &Request) -> Option<Query> {
        let (_, query) = request.target.split_once('?').unwrap_or_default();
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let mut parameters: Vec<(String, String)> = Vec::new();
        for pair in pairs {
            let (name, value) = pair.split_once('=')?;
            let is_repeated = parameters.iter().any(|(known, _)| known == name);
            if is_repeated || !NAMES.contains(&name) {
                return None;
            }
            parameters.push((name.to_string(), decode(value)?));
        }
        Some(Query { parameters })
    }

    /// Returns the value of a parameter, empty if it is absent.
    pub(super) fn text(&self, name: &str) -> &str {
        let mut found = self.parameters.iter().filter(|(known, _)| known == name);
        found.next().map_or("", |(_, value)| value)
    }

    /// Returns whether the answer must not be outdated.
    pub(super) fn is_current(&self) -> bool {
        self.text("allowStale").is_empty()
    }

    /// Returns the value of a parameter as a number; `None` if it is absent or not a number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

/// Decodes a value. `+` is a blank, as in the queries of forms.
fn decode(value: &str) -> Option<String> {
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = match first {
            b'%' if after.len() >= 2 && after[..2].iter().all(u8::is_ascii_hexdigit) => &after[2..],
            byte if byte.is_ascii_alphanumeric() || PLAIN.contains(byte) => after,
            _ => return None,
        };
    }
    let blanks = value.replace('+', " ");
    let decoded = percent_decode_str(&blanks).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
