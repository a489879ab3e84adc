//! The scripts of review/4 and later: `cases NAME`. Exit code 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.
mod late_body;
mod unknown_service;
mod uploads;
mod harness;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let outcome = harness::Record::create().map_err(Into::into).and_then(|record| {
        let outcome = match name.as_str() {
            "late-body" => late_body::run(&record),
            "unknown-service" => unknown_service::run(&record),
            "uploads" => uploads::run(&record),
            _ => Err(format!("there is no case '{name}'").into()),
        };
        match &outcome {
            Ok(None) => record.line("verdict: the rule held"),
            Ok(Some(broken)) => record.line(format!("verdict: the rule was broken: {broken}")),
            Err(error) => record.line(format!("verdict: the case could not run: {error}")),
        }
        outcome
    });
    std::process::exit(match outcome {
        Ok(None) => 0,
        Ok(Some(broken)) => {
            println!("{broken}");
            1
        }
        Err(error) => {
            println!("could not run: {error}");
            2
        }
    });
}
