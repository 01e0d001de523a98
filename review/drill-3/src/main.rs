//! Stand-ins and checks for the cases of the third review.
//!
//! `drill-3 CASE RECORD` plays a case and writes what was sent, answered and run to the file RECORD.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod http;
mod json;
mod leaf;
mod machine;
mod record;
mod scene;
mod store;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: drill-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = std::sync::Arc::new(record::Record::new());
    record.say(format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "quota-stale" => cases::quota_stale::play(&record, trouble),
        "quota-again" => cases::quota_again::play(&record, trouble),
        "head" => cases::head::play(&record, trouble),
        "foreign" => cases::foreign::play(&record, trouble),
        "attempts" => cases::attempts::play(&record, trouble),
        _ => Verdict::NotRun("no such case".to_string()),
    };
    let code = match &verdict {
        Verdict::Broken => 1,
        Verdict::Held => 0,
        Verdict::NotRun(why) => {
            record.say(format!("the case could not run: {why}"));
            2
        }
    };
    record.say(format!("exit {code}"));
    if let Err(error) = record.write(path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
