//! Case 1: answers that have no length, while the edge machine's processes are killed or stopped.

use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::{Answer, Replica};
use crate::{configuration, Verdict};

type Running = Vec<(Request, JoinHandle<Outcome>)>;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let start = |ident| Replica::start(ident, "application", Answer::WithoutLength, record);
    let replicas: Vec<Replica> =
        ["i-1", "i-2", "i-3"].into_iter().map(start).collect::<io::Result<_>>().map_err(text)?;
    let mut deployment = Deployment::start(root, folder, &replicas, record).map_err(text)?;
    deployment.configure(&configuration("application"))?;
    thread::sleep(Duration::from_secs(4));

    record.line("part A: SIGKILL while answers of 3 s are on their way");
    let running = start_requests(&deployment, record, "a", 3000)?;
    await_first_pieces(&running)?;
    if has_trouble {
        deployment.signal_edge("KILL").map_err(text)?;
    }
    let cut_by_kill = cut_answers(running);
    if has_trouble {
        if !deployment.await_end_of_edge(Duration::from_secs(5)) {
            return Err("the processes did not end".to_owned());
        }
        deployment.start_edge().map_err(text)?;
    }
    deployment.await_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(4));

    record.line("part B: SIGTERM while answers of 12 s are on their way; leewayS is 8");
    let running = start_requests(&deployment, record, "b", 12_000)?;
    await_first_pieces(&running)?;
    if has_trouble {
        deployment.signal_edge("TERM").map_err(text)?;
    }
    let cut_by_stop = cut_answers(running);

    record.line(&format!(
        "answers that looked complete and were not whole: {cut_by_kill} after SIGKILL, {cut_by_stop} after SIGTERM"
    ));
    Ok(if cut_by_kill + cut_by_stop > 0 { Verdict::Broken } else { Verdict::Held })
}

fn text(error: io::Error) -> String {
    error.to_string()
}

/// Starts three requests of a risky route and three of a stream route without `pickUp`, each on its own connection.
fn start_requests(
    deployment: &Deployment,
    record: &Arc<Record>,
    part: &str,
    time_ms: u64,
) -> Result<Running, String> {
    let mut running = Vec::new();
    for number in 0..6 {
        let route = if number < 3 { "work" } else { "events" };
        let request = Request::new(
            &format!("{part}{number}c41d07be2a35f68"),
            &format!("/{route}/{time_ms}"),
            "15000",
        );
        let mut client =
            Client::connect(&format!("client-{part}{number}"), deployment.front_door(), record)
                .map_err(text)?;
        let sent = request.clone();
        running.push((request, thread::spawn(move || client.send(&sent))));
    }
    Ok(running)
}

/// Waits until each client has received a part of its answer.
fn await_first_pieces(running: &Running) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(5);
    while running.iter().any(|(request, _)| request.received.load(Ordering::SeqCst) == 0) {
        if Instant::now() > until {
            return Err("not every client received a part of its answer".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Waits for the answers. Returns how many look complete to their clients but are not the replica's whole body.
fn cut_answers(running: Running) -> usize {
    let outcomes = running.into_iter().filter_map(|(request, client)| Some((request, client.join().ok()?)));
    outcomes
        .filter(|(request, outcome)| outcome.looks_complete() && !outcome.is_whole(&request.attempt_id))
        .count()
}
