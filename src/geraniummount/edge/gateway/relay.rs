//! Shards that one VM collects for another: the fields of such a query, and of
//! its answer.
//!
//! Shards are named by their places in the route, so both VMs have to know the
//! same version of the routes. It also keeps a caller from seeing a version
//! come and go.

use std::time::Duration;

use crate::core::call::{Parts, Reply, Response};
use crate::util::h1::{self, Field};

/// Version of the routes that the query was planned with.
const VERSION: &str = "Gateway-Routes";

/// Milliseconds within which the answer is wanted.
const AIM: &str = "Gateway-Aim-Ms";

/// Places of the shards, separated by commas.
const SHARDS: &str = "Gateway-Shards";

/// Places and signatures of the parts in an answer, separated by commas.
const PARTS: &str = "Gateway-Parts";

/// Time kept back from the aim for the answer's way between VMs.
const WAY_BACK: Duration = Duration::from_millis(7);

/// What another VM asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Query {
    /// Time within which the answer is wanted.
    pub(super) aim: Duration,
    /// Places of the shards.
    pub(super) shards: Vec<usize>,
}

/// Reads what another VM asks for; `None` where it planned with another
/// version, or where it makes no sense.
pub(super) fn read(fields: &[Field], version: u64) -> Option<Query> {
    let planned: u64 = h1::text(fields, VERSION)?.parse().ok()?;
    let aim = h1::text(fields, AIM)?.parse().ok()?;
    let shards = h1::text(fields, SHARDS)?.split(',');
    let shards = shards.map(|place| place.parse().ok());
    let query = Query {
        aim: Duration::from_millis(aim),
        shards: shards.collect::<Option<Vec<usize>>>()?,
    };
    (planned == version).then_some(query)
}

/// Adds the fields of a query for another VM.
pub(super) fn write(out: &mut Vec<u8>, version: u64, aim: Duration, shards: &[usize]) {
    let aim = aim.saturating_sub(WAY_BACK).as_millis();
    h1::number_field(out, VERSION, version);
    h1::number_field(out, AIM, u64::try_from(aim).unwrap_or(u64::MAX));
    let places: Vec<String> = shards.iter().map(usize::to_string).collect();
    h1::field(out, SHARDS, places.join(",").as_bytes());
}

/// Removes the fields that concern VMs only.
pub(super) fn strip(fields: &mut Vec<Field>) {
    let own = [VERSION, AIM, SHARDS];
    fields.retain(|field| {
        let mut names = own.iter();
        !names.any(|name| field.name.eq_ignore_ascii_case(name))
    });
}

/// Adds the fields of an answer to another VM.
pub(super) fn write_parts(out: &mut Vec<u8>, asked: &[usize], parts: &[(usize, Response)]) {
    let entries = parts.iter().map(|(place, part)| {
        let place = asked.get(*place).copied().unwrap_or_default();
        format!("{place} {}", part.signature)
    });
    let entries: Vec<String> = entries.collect();
    h1::field(out, PARTS, entries.join(",").as_bytes());
}

/// Reads another VM's answer. A refusal means that it did not run the query.
pub(super) fn read_answer(response: h1::Response) -> Reply {
    match response.head.status {
        200 => read_parts(response).map_or(Reply::Lost, Reply::Parts),
        503 => Reply::Rejected,
        _ => Reply::Lost,
    }
}

fn read_parts(response: h1::Response) -> Option<Parts> {
    let entries = h1::text(&response.head.fields, PARTS)?;
    let entries = entries.split(',').filter(|entry| !entry.is_empty());
    let signatures = entries.map(|entry| {
        let (place, signature) = entry.split_once(' ')?;
        Some((place.parse().ok()?, signature.to_string()))
    });
    Some(Parts {
        signatures: signatures.collect::<Option<Vec<_>>>()?,
        records: response.content,
    })
}
