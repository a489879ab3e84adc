//! Case 2: the processes of an edge machine are killed, and later stopped, while answers without a length pass through
//! them.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::{self, Answer, Replica};
use crate::{configuration, Verdict};

const SERVICE: &str = "teller";
/// The requests that are in flight at once.
const REQUESTS: usize = 6;
/// The signal comes when each client has this many pieces of its answer.
const PIECES_BEFORE_SIGNAL: usize = 2;
/// The signals, and how long the replica works on the requests meanwhile: in milliseconds, for SIGTERM more than
/// `leewayS`.
const SIGNALS: [(&str, u64); 2] = [("KILL", 3_000), ("TERM", 12_000)];

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let replica = Replica::start("i-1", SERVICE, Answer::WithoutLength, record).map_err(error)?;
    let mut deployment = Deployment::start(root, folder, &[replica], record).map_err(error)?;
    deployment.configure(&configuration(SERVICE))?;
    let mut broken = 0;
    for (round, (signal, work_ms)) in SIGNALS.into_iter().enumerate() {
        if has_trouble && round > 0 {
            deployment.forget_edge();
            deployment.start_edge().map_err(error)?;
            deployment.await_ready(Duration::from_secs(20))?;
        }
        let signal = if has_trouble { Some(signal) } else { None };
        let outcomes = play_round(&mut deployment, round, work_ms, signal, record)?;
        let is_broken =
            |(id, outcome): &&(String, Outcome)| outcome.looks_complete() && !outcome.is_whole(id);
        let whole = outcomes.iter().filter(|(id, outcome)| outcome.is_whole(id)).count();
        let broken_here = outcomes.iter().filter(is_broken).count();
        for (attempt_id, _) in outcomes.iter().filter(is_broken) {
            record.line(&format!("MIXED: {attempt_id} got a success that looks complete and is not whole"));
        }
        record.line(&format!(
            "round {}: {broken_here} of {REQUESTS} requests broke the rule, {whole} were answered whole",
            round + 1
        ));
        if !has_trouble && whole < REQUESTS {
            return Err(format!("without the disruption only {whole} of {REQUESTS} were answered whole"));
        }
        broken += broken_here;
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends the requests of a round, and the signal amid their answers.
fn play_round(
    deployment: &mut Deployment,
    round: usize,
    work_ms: u64,
    signal: Option<&str>,
    record: &Arc<Record>,
) -> Result<Vec<(String, Outcome)>, String> {
    let mut clients = Vec::new();
    let mut requests = Vec::new();
    for number in 1..=REQUESTS {
        let name = format!("client-{number}");
        let mut client =
            Client::connect(&name, deployment.front_door(), record).map_err(|error| error.to_string())?;
        let attempt_id = format!("{:016x}", 0xa2_0000 + round * 0x100 + number);
        // Every second request is a stream that can't be resumed, the others are calls.
        let route = if number % 2 == 0 { "events" } else { "work" };
        let request = Request::new(&attempt_id, &format!("/{route}/{work_ms}"), "14500");
        requests.push(request.clone());
        clients.push(thread::spawn(move || (attempt_id, client.send(&request))));
    }
    if let Some(signal) = signal {
        await_beginnings(&requests)?;
        deployment.signal_edge(signal).map_err(|error| error.to_string())?;
    }
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    Ok(outcomes)
}

/// Waits until each client has the beginning of its answer.
fn await_beginnings(requests: &[Request]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(5);
    let beginning = replica::whole_body(&requests[0].attempt_id).len() * PIECES_BEFORE_SIGNAL
        / replica::PIECES as usize;
    while requests.iter().any(|request| request.received.load(Ordering::SeqCst) < beginning) {
        if Instant::now() > until {
            return Err("the answers did not begin".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}
