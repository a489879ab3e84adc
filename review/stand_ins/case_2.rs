//! Case 2: the processes of an edge machine are killed while answers without a length pass through them.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::{self, Answer, Replica};
use crate::{configuration, Verdict};

const SERVICE: &str = "teller";
/// The requests that are in flight at once.
const REQUESTS: usize = 6;
/// How long the replica works on each of them.
const WORK_MS: u64 = 3_000;
/// The kill comes when each client has this many bytes of its answer.
const PIECES_BEFORE_KILL: usize = 3;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let replica = Replica::start("i-1", SERVICE, Answer::WithoutLength, record).map_err(error)?;
    let mut deployment = Deployment::start(root, folder, &[replica], record).map_err(error)?;
    deployment.configure(&configuration(SERVICE))?;
    let mut clients = Vec::new();
    let mut requests = Vec::new();
    for number in 1..=REQUESTS {
        let name = format!("client-{number}");
        let mut client = Client::connect(&name, deployment.front_door(), record).map_err(error)?;
        let attempt_id = format!("{:016x}", 0xa2_0000 + number);
        // Every second request is a stream that can't be resumed, the others are calls.
        let route = if number % 2 == 0 { "events" } else { "work" };
        let request = Request::new(&attempt_id, &format!("/{route}/{WORK_MS}"), "8000");
        requests.push(request.clone());
        clients.push(thread::spawn(move || client.send(&request)));
    }
    if has_trouble {
        await_beginnings(&requests)?;
        deployment.signal_edge("KILL").map_err(error)?;
    }
    let (mut broken, mut whole) = (0, 0);
    for (client, request) in clients.into_iter().zip(&requests) {
        let outcome = client.join().map_err(|_| "a client failed".to_owned())?;
        whole += usize::from(outcome.is_whole(&request.attempt_id));
        if outcome.looks_complete() && !outcome.is_whole(&request.attempt_id) {
            broken += 1;
            record.line(&format!(
                "MIXED: {} got a success that looks complete and is not whole",
                request.attempt_id
            ));
        }
    }
    record.line(&format!("{broken} of {REQUESTS} requests broke the rule, {whole} were answered whole"));
    if !has_trouble && whole < REQUESTS {
        return Err(format!("without the disruption only {whole} of {REQUESTS} were answered whole"));
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits until each client has the beginning of its answer.
fn await_beginnings(requests: &[Request]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(5);
    let beginning =
        replica::whole_body(&requests[0].attempt_id).len() * PIECES_BEFORE_KILL / replica::PIECES as usize;
    while requests.iter().any(|request| request.received.load(Ordering::SeqCst) < beginning) {
        if Instant::now() > until {
            return Err("the answers did not begin".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}
