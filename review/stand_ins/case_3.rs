//! Case 3: a replica that is full for a moment announces a very long idle time of its connections.

use std::io;
use std::path::Path;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use crate::client::{Client, Outcome, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::{Answer, Replica};
use crate::{configuration, Verdict};

/// The announced idle time with and without the disruption, in whole seconds.
const LONG: &str = "timeout=18446744073709551615";
const USUAL: &str = "timeout=60";

/// The rule is broken by more than this number of closed connections.
const ALLOWED: usize = 3;
const CLIENTS: usize = 40;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let keep_alive = if has_trouble { LONG } else { USUAL };
    let start = |ident, service, keep_alive| {
        Replica::start(ident, service, Answer::WithLength { keep_alive }, record).map_err(text)
    };
    let replicas = [
        start("i-1", "application", USUAL)?,
        start("i-2", "application", USUAL)?,
        start("i-3", "other", keep_alive)?,
    ];
    let mut deployment = Deployment::start(root, folder, &replicas, record).map_err(text)?;
    deployment.configure(&configuration("application"))?;
    // The machine is in touch after contactMs without trouble.
    thread::sleep(Duration::from_secs(4));

    let mut connected = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(&format!("client-{number:02}"), deployment.front_door(), record)
            .map_err(text)?;
        let first = Request::new(&format!("{number:02}a0d07be2a35f68"), "/work/10", "8000");
        if client.send(&first).is_whole(&first.attempt_id) {
            connected.push((number, client));
        }
    }
    record.line(&format!(
        "{} clients have a kept connection; all send at once to the other service",
        connected.len()
    ));
    let barrier = Arc::new(Barrier::new(connected.len()));
    let running: Vec<_> = connected
        .into_iter()
        .map(|(number, mut client)| {
            let barrier = barrier.clone();
            let request = Request::new(&format!("{number:02}b1d07be2a35f68"), "/other/1000", "8000");
            thread::spawn(move || {
                barrier.wait();
                client.send(&request)
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = running.into_iter().filter_map(|client| client.join().ok()).collect();
    for ended in deployment.take_ended() {
        record.line(&ended);
    }
    let closed = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::NoAnswer(_))).count();
    record.line(&format!(
        "requests on kept connections: {} answered, {closed} closed without an answer",
        outcomes.len() - closed
    ));
    if outcomes.len() <= ALLOWED {
        return Err("too few clients have a kept connection".to_owned());
    }
    Ok(if closed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

fn text(error: io::Error) -> String {
    error.to_string()
}
