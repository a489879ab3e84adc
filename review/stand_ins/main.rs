//! Plays a case of the review with the project's own programs and stand-ins for clients, replicas and the platform.
//!
//! Usage: stand_ins CASE ROOT FOLDER RECORD, where ROOT is the repository, FOLDER a temporary folder and RECORD the
//! file of the record. With TROUBLE=0 the case is played without its disruption. Exit code: 1 if the rule was broken,
//! 0 if it held, 2 if the case couldn't run.

mod case_1;
mod case_2;
mod case_3;

mod client;
mod deployment;
mod http;
mod record;
mod replica;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use deployment::{HOST, KEY, TENANT};
use record::Record;

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// The operator's configuration: four routes, the services, and a tenant. The routes `work`, `events` and `resumable`
/// lead to `service`, and the route `other` to a service of its own. The streams of `resumable` have `pickUp`.
pub fn configuration(service: &str) -> String {
    let route = |label: &str, sort: &str, service: &str| {
        format!(
            "{{\"label\":\"r-{label}\",\"hostname\":\"{HOST}\",\"pathStart\":\"/{label}/\",\"sort\":\"{sort}\",\
             \"timeLimitMs\":15000,\"targetMs\":2000,\"rank\":1,\"backend\":\"{service}\",\"tries\":2,\
             \"public\":false,\"pinned\":false,\"pickUp\":{},\"gap_aim_ms\":2000}}",
            label == "resumable"
        )
    };
    let backend = |label: &str| {
        format!("{{\"label\":\"{label}\",\"checkPath\":\"/health\",\"connLimit\":100,\"protocol\":\"h1\",\"encryption\":false}}")
    };
    format!(
        "{{\"revision\":1,\"routes\":[{},{},{},{}],\"backends\":[{},{}],\
         \"caps\":{{\"headSizeBytes\":16384,\"bodySizeBytes\":4194304,\"headWaitMs\":3000,\"quietMs\":15000}},\
         \"customers\":[{{\"label\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"rank\":1,\"isolated\":false}}]}}",
        route("work", "risky", service),
        route("events", "stream", service),
        route("resumable", "stream", service),
        route("other", "risky", "other"),
        backend(service),
        backend("other"),
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|verb| verb == "replica") {
        let ended = replica::run_process(&arguments[2..]);
        eprintln!("a replica ended: {ended:?}");
        return ExitCode::from(2);
    }
    let [_, case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: stand_ins CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let result = match case.as_str() {
        "1" => case_1::run(&root, &folder, &record, has_trouble),
        "2" => case_2::run(&root, &folder, &record, has_trouble),
        "3" => case_3::run(&root, &folder, &record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(verdict) => {
            record.line(&format!("verdict: {verdict:?} (TROUBLE={})", u8::from(has_trouble)));
            ExitCode::from(u8::from(verdict == Verdict::Broken))
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
