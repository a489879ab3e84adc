//! Case 2: a replica crashes in the middle of an event of a stream that may be resumed, and whose answer has no length.

use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::ReplicaProcess;
use crate::{configuration, Verdict};

/// Requests before the disruption, which earn the proxy's budget for repeats.
const WARM_UP: usize = 30;
const CLIENTS: usize = 9;
/// The end of the ids of the requests that are on their way at the disruption.
const STREAM_ID: &str = "b41d07be2a35f6";

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let start = |ident| ReplicaProcess::start(ident, "application", folder, record).map_err(text);
    let mut processes = [start("i-1")?, start("i-2")?, start("i-3")?];
    let replicas: Vec<_> = processes.iter().map(|process| process.replica.clone()).collect();
    let deployment = Deployment::start(root, folder, &replicas, record).map_err(text)?;
    deployment.configure(&configuration("application"))?;
    thread::sleep(Duration::from_secs(4));

    for number in 0..WARM_UP {
        let mut client = Client::connect("client-w", deployment.front_door(), record).map_err(text)?;
        client.send(&Request::new(&format!("{number:02}a41d07be2a35f6"), "/resumable/10", "8000"));
    }
    record.line("streams of 10 events, 3 s each");
    let mut running = Vec::new();
    for number in 0..CLIENTS {
        let request = Request::new(&format!("{number:02}{STREAM_ID}"), "/resumable/3000", "15000");
        let mut client =
            Client::connect(&format!("client-{number}"), deployment.front_door(), record).map_err(text)?;
        let sent = request.clone();
        running.push((request, thread::spawn(move || client.send(&sent))));
    }
    let until = Instant::now() + Duration::from_secs(5);
    while running.iter().any(|(request, _)| request.received.load(Ordering::SeqCst) == 0) {
        if Instant::now() > until {
            return Err("not every client received a part of its answer".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(150));
    if has_trouble {
        let busiest = busiest(&mut processes, record).map_err(text)?;
        record.line(&format!(
            "disruption: the process of {} gets SIGKILL and stays down",
            busiest.replica.ident
        ));
        busiest.child.kill().map_err(text)?;
    }
    let outcomes: Vec<(Request, Outcome)> =
        running.into_iter().filter_map(|(request, client)| Some((request, client.join().ok()?))).collect();
    let is_cut = |(request, outcome): &&(Request, Outcome)| {
        outcome.looks_complete() && !outcome.is_whole(&request.attempt_id)
    };
    let whole = outcomes.iter().filter(|(request, outcome)| outcome.is_whole(&request.attempt_id)).count();
    let cut = outcomes.iter().filter(is_cut).count();
    record.line(&format!(
        "streams: {} in all, {whole} whole, {cut} that looked complete and were not whole",
        outcomes.len()
    ));
    Ok(if cut > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The replica that runs the most streams, by the record.
fn busiest<'a>(processes: &'a mut [ReplicaProcess], record: &Record) -> io::Result<&'a mut ReplicaProcess> {
    let text = std::fs::read_to_string(record.path())?;
    let streams = |ident: &str| {
        let runs = text.lines().filter(|line| line.contains(STREAM_ID));
        runs.filter(|line| line.contains(&format!("{ident}: runs"))).count()
    };
    let busiest = processes.iter_mut().max_by_key(|process| streams(&process.replica.ident));
    busiest.ok_or_else(|| io::Error::other("there is no replica"))
}

fn text(error: io::Error) -> String {
    error.to_string()
}
