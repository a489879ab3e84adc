//! Case 1: replicas answer long requests early and without a length. One breaks its answers off by a reset; another
//! answers whole and reads the bodies of its requests only then.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;

use crate::client::{Client, Outcome, Request};
use crate::deployment::{Deployment, HOST};
use crate::http::{self, End};
use crate::record::Record;
use crate::replica::{self, Answer, Replica, Rest};
use crate::{configuration, Verdict};

/// The service whose replica breaks off; the other one is `other`.
const SERVICE: &str = "breaker";
/// The requests that are sent at once to each of the services.
const REQUESTS: usize = 5;
/// The length of their bodies, a quarter of `bodySizeBytes`.
const BODY_BYTES: usize = 1 << 20;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let error = |error: io::Error| error.to_string();
    let (breaker, reader) =
        if has_trouble { (Rest::BreaksOff, Rest::ReadsLate) } else { (Rest::ReadsSoon, Rest::ReadsFirst) };
    let breaker = Replica::start("i-1", SERVICE, Answer::Early(breaker), record).map_err(error)?;
    let reader = Replica::start("i-2", "other", Answer::Early(reader), record).map_err(error)?;
    if has_trouble {
        show_without_proxy(&breaker, &reader, record)?;
    }
    let deployment = Deployment::start(root, folder, &[breaker, reader], record).map_err(error)?;
    deployment.configure(&configuration(SERVICE))?;
    let mut broken = 0;
    for (route, number) in [("work", 1), ("other", 2)] {
        let outcomes = send_all(&deployment, route, 0xa1_0000 + number * 0x100, record)?;
        let whole = outcomes.iter().filter(|(id, outcome)| outcome.is_whole(id)).count();
        let is_broken =
            |(id, outcome): &&(String, Outcome)| outcome.looks_complete() && !outcome.is_whole(id);
        let broken_here = outcomes.iter().filter(is_broken).count();
        for (attempt_id, _) in outcomes.iter().filter(is_broken) {
            record.line(&format!("MIXED: {attempt_id} got a success that looks complete and is not whole"));
        }
        record.line(&format!(
            "route {route}: {broken_here} of {REQUESTS} requests broke the rule, {whole} were answered whole"
        ));
        if !has_trouble && whole < REQUESTS {
            return Err(format!("without the disruption only {whole} of {REQUESTS} were answered whole"));
        }
        broken += broken_here;
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends all requests of a route at once.
fn send_all(
    deployment: &Deployment,
    route: &str,
    first_id: usize,
    record: &Arc<Record>,
) -> Result<Vec<(String, Outcome)>, String> {
    let mut clients = Vec::new();
    for number in 1..=REQUESTS {
        let name = format!("client-{route}-{number}");
        let mut client =
            Client::connect(&name, deployment.front_door(), record).map_err(|e| e.to_string())?;
        let attempt_id = format!("{:016x}", first_id + number);
        let request = Request::new(&attempt_id, &format!("/{route}/0"), "14000").with_body(BODY_BYTES);
        clients.push(thread::spawn(move || (attempt_id, client.send(&request))));
    }
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    Ok(outcomes)
}

/// Records how the replicas' answers end for a caller without a proxy between: the first replica resets the connection,
/// and the second one answers whole.
fn show_without_proxy(breaker: &Replica, reader: &Replica, record: &Record) -> Result<(), String> {
    let cut = call_directly(breaker.address, "00000000000000d1", 32 * 1024).map_err(|e| e.to_string())?;
    record.line(&format!("a caller without the proxy sees the first replica break off: {:?}", cut.end));
    let id = "00000000000000d2";
    let whole = call_directly(reader.address, id, BODY_BYTES).map_err(|e| e.to_string())?;
    let is_whole = whole.end == End::Complete && whole.body == replica::whole_body(id);
    record.line(&format!(
        "a caller without the proxy gets the whole answer of the second replica: {is_whole}"
    ));
    if cut.end != End::Failed || !is_whole {
        return Err("the replicas don't answer as they should".to_owned());
    }
    Ok(())
}

/// Sends a request with a part of its body, or all of it, and reads the answer meanwhile.
fn call_directly(replica: SocketAddr, attempt_id: &str, sent_bytes: usize) -> io::Result<http::Response> {
    let mut stream = http::connect(replica)?;
    let mut sender = stream.get_ref().try_clone()?;
    let head = format!(
        "POST /work/0 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let sending = thread::spawn(move || {
        sender.write_all(head.as_bytes())?;
        sender.write_all(&vec![b'x'; sent_bytes])
    });
    let response = http::read_response(&mut stream, |_| {})?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let _ = sending.join();
    Ok(response)
}
