//! Case 3: one of two replicas is killed amid the events of streams that have no length and may be resumed.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::replica::{self, ReplicaProcess};
use crate::{configuration, Verdict};

const SERVICE: &str = "guide";
/// The streams that are in flight at once: as many as one replica works on.
const REQUESTS: usize = replica::CAPACITY;
/// How long a stream lasts.
const WORK_MS: u64 = 4_000;
/// The kill comes when each client has this many events.
const EVENTS_BEFORE_KILL: usize = 2;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let error = |error: std::io::Error| error.to_string();
    let mut killed = ReplicaProcess::start("i-1", SERVICE, folder, record).map_err(error)?;
    let kept = ReplicaProcess::start("i-2", SERVICE, folder, record).map_err(error)?;
    let replicas = [killed.replica.clone(), kept.replica.clone()];
    let deployment = Deployment::start(root, folder, &replicas, record).map_err(error)?;
    deployment.configure(&configuration(SERVICE))?;
    let mut clients = Vec::new();
    let mut requests = Vec::new();
    for number in 1..=REQUESTS {
        let name = format!("client-{number}");
        let mut client = Client::connect(&name, deployment.front_door(), record).map_err(error)?;
        let attempt_id = format!("{:016x}", 0xa3_0000 + number);
        let request = Request::new(&attempt_id, &format!("/resumable/{WORK_MS}"), "12000");
        requests.push(request.clone());
        clients.push(thread::spawn(move || client.send(&request)));
        // The second replica is chosen while the first one has more to do.
        thread::sleep(Duration::from_millis(20));
    }
    if has_trouble {
        await_beginnings(&requests)?;
        record.line("disruption: the process of the replica i-1 gets SIGKILL");
        killed.child.kill().map_err(error)?;
    }
    let (mut broken, mut whole) = (0, 0);
    for (client, request) in clients.into_iter().zip(&requests) {
        let outcome = client.join().map_err(|_| "a client failed".to_owned())?;
        whole += usize::from(outcome.is_whole(&request.attempt_id));
        if outcome.looks_complete() && !outcome.is_whole(&request.attempt_id) {
            broken += 1;
            record.line(&format!(
                "ORDER: the stream {} ended as complete before its last piece: {:?}",
                request.attempt_id,
                outcome.tail(40)
            ));
        }
    }
    record.line(&format!("{broken} of {REQUESTS} streams broke the rule, {whole} were whole"));
    if !has_trouble && whole < REQUESTS {
        return Err(format!("without the disruption only {whole} of {REQUESTS} were whole"));
    }
    if has_trouble && broken == 0 && whole == REQUESTS {
        record.line("no stream was broken, or all were resumed");
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits until each client has the first events of its stream.
fn await_beginnings(requests: &[Request]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(6);
    let event = replica::whole_body(&requests[0].attempt_id).len() / replica::PIECES as usize;
    while requests
        .iter()
        .any(|request| request.received.load(Ordering::SeqCst) < event * EVENTS_BEFORE_KILL)
    {
        if Instant::now() > until {
            return Err("the streams did not begin".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}
