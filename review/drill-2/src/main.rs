//! Stand-ins and cases of the second review. `drill-2 CASE ROOT FOLDER` plays a case: ROOT is the
//! repository, and the record is written to FOLDER. With `TROUBLE=0` in the environment, the case is
//! played without its disruption. Exits with 0 if the rule held, 1 if it was broken, and 2 if the case
//! could not run.

mod base64;
mod client;
mod failed_order;
mod fleet;
mod http;
mod json;
mod last_tenant;
mod leaf;
mod mixed_answers;
mod record;
mod restored_key;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Where a case is played.
pub struct Place {
    /// The repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub scratch: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        println!("usage: drill-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("drill-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        println!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let place = Place {
        root: PathBuf::from(root),
        scratch: scratch.clone(),
        record: Record::new(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "mixed-answers" => mixed_answers::play(&place),
        "last-tenant" => last_tenant::play(&place),
        "failed-order" => failed_order::play(&place),
        "restored-key" => restored_key::play(&place),
        _ => Verdict::NotRun,
    };
    place.record.say(&format!(
        "verdict={verdict:?} trouble={}",
        place.has_trouble
    ));
    place.record.write(&Path::new(folder).join("record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
