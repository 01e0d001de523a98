//! Header fields of the requests and responses between two VMs, in addition to those of the
//! caller's request and of its response.

#![deny(clippy::disallowed_methods)]

use std::time::Duration;

use crate::core::delegation::{Decline, Purpose, Terms};
use crate::core::tenant::Credential;
use crate::platform::headers;
use crate::prelude::*;
use crate::util::bounded;
use crate::util::h1::{self, Field};

/// Name of the VM that delegates the request.
const FROM: &str = "Geraniummount-From";
/// Secret of the VM that receives the request.
const KEY: &str = "Geraniummount-Key";
/// Oldest version of the routes by which the request may be served.
const MIN_VERSION: &str = "Geraniummount-Min-Version";
/// Time that the request has taken so far, in milliseconds.
const ELAPSED_MS: &str = "Geraniummount-Elapsed-Ms";
/// Number of leaves of each shard that may have received the request.
const SENDS: &str = "Geraniummount-Sends";
/// Present if the VM that delegates the request could serve it itself.
const OFFLOADED: &str = "Geraniummount-Offloaded";
/// Digest of the key of the caller's request, or [`MALFORMED_KEY`]; absent if the request has none.
const KEY_DIGEST: &str = "Geraniummount-Key-Digest";
/// Value of [`KEY_DIGEST`] if the request has several keys, or one that cannot be read.
const MALFORMED_KEY: &str = "malformed";
/// Id of the handoff. The responses to the request repeat it.
const HANDOFF: &str = "Geraniummount-Handoff";
/// In a response: version of the routes by which the request was served.
const VERSION: &str = "Geraniummount-Version";
/// In a response: reason for which the VM does not serve the request.
const DECLINE: &str = "Geraniummount-Decline";

const ALL: [&str; 10] = [
    FROM,
    KEY,
    MIN_VERSION,
    ELAPSED_MS,
    SENDS,
    OFFLOADED,
    KEY_DIGEST,
    HANDOFF,
    VERSION,
    DECLINE,
];

/// Terms of a request, and the secret that it contains.
#[derive(Debug)]
pub(super) struct Credentials {
    pub(super) terms: Terms,
    pub(super) key: String,
}

/// Removes the fields of this module.
pub(in crate::edge::gateway) fn strip(fields: &mut Vec<Field>) {
    fields.retain(|field| !is_own(field));
}

/// Returns whether a field is one of this module, which no caller and no leaf may set.
pub(in crate::edge::gateway) fn is_own(field: &Field) -> bool {
    ALL.iter().any(|name| field.name.eq_ignore_ascii_case(name))
}

/// Writes the terms of a request to the VM with a secret.
pub(super) fn write_terms(out: &mut Vec<u8>, terms: &Terms, key: &str) {
    let elapsed_ms = u64::try_from(terms.elapsed.as_millis()).unwrap_or(u64::MAX);
    h1::write_field(out, FROM, terms.from.as_bytes());
    h1::write_field(out, KEY, key.as_bytes());
    h1::write_number_field(out, MIN_VERSION, terms.min_version);
    h1::write_number_field(out, ELAPSED_MS, elapsed_ms);
    h1::write_number_field(out, SENDS, terms.sends.into());
    match terms.purpose {
        Purpose::Necessity => {}
        Purpose::Offload => h1::write_field(out, OFFLOADED, b"1"),
    }
    match terms.credential {
        Credential::Absent => {}
        Credential::Key(digest) => h1::write_field(out, KEY_DIGEST, digest.to_string().as_bytes()),
        Credential::Malformed => h1::write_field(out, KEY_DIGEST, MALFORMED_KEY.as_bytes()),
    }
}

/// Reads the terms of a request; `None` if a field is missing or malformed.
pub(super) fn read_terms(fields: &[Field]) -> Option<Credentials> {
    Some(Credentials {
        terms: Terms {
            from: h1::field_text(fields, FROM)?.to_string(),
            min_version: read_number(fields, MIN_VERSION)?,
            elapsed: h1::field_text(fields, ELAPSED_MS).and_then(bounded::parse_millis)?,
            sends: u32::try_from(read_number(fields, SENDS)?).ok()?,
            purpose: match h1::field_values(fields, OFFLOADED).next() {
                Some(_) => Purpose::Offload,
                None => Purpose::Necessity,
            },
            credential: read_credential(fields),
        },
        key: h1::field_text(fields, KEY)?.to_string(),
    })
}

fn read_credential(fields: &[Field]) -> Credential {
    if h1::field_values(fields, KEY_DIGEST).next().is_none() {
        return Credential::Absent;
    }
    let digest = h1::field_text(fields, KEY_DIGEST).and_then(|text| text.trim().parse().ok());
    digest.map_or(Credential::Malformed, Credential::Key)
}

/// Writes the id of a handoff, in the request and in each response to it.
pub(in crate::edge::gateway) fn write_handoff(out: &mut Vec<u8>, handoff: HandoffId) {
    h1::write_number_field(out, HANDOFF, handoff);
}

/// Returns the handoff that a request or a response names; `None` if it names none, as those of older
/// builds.
pub(in crate::edge::gateway) fn read_handoff(fields: &[Field]) -> Option<HandoffId> {
    read_number(fields, HANDOFF)
}

/// Writes the version of the routes by which a request was served.
pub(in crate::edge::gateway) fn write_version(out: &mut Vec<u8>, version: u64) {
    h1::write_number_field(out, VERSION, version);
}

/// Writes the reason for which a request is not served, and when it may be.
pub(super) fn write_decline(out: &mut Vec<u8>, decline: Decline, retry_after: Option<Duration>) {
    h1::write_field(out, DECLINE, decline.as_str().as_bytes());
    if let Some(wait) = retry_after {
        headers::write_retry_after(out, wait);
    }
}

/// Returns the reason for which a request was not served, if the response states one.
pub(super) fn read_decline(fields: &[Field]) -> Option<Decline> {
    h1::field_text(fields, DECLINE)?.parse().ok()
}

/// Returns the version of the routes by which a request was served; 0 if the response does not
/// state it.
pub(super) fn read_version(fields: &[Field]) -> u64 {
    read_number(fields, VERSION).unwrap_or_default()
}

fn read_number(fields: &[Field], name: &str) -> Option<u64> {
    h1::field_text(fields, name)?.trim().parse().ok()
}
