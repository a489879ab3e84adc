//! The operator sends an invalid configuration: a route names a service that there is not, in one part of its `shares`.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::harness::*;

const REQUESTS: usize = 60;

pub fn run(record: &Record) -> Any<Option<String>> {
    let deployment = Deployment::start(record, 3, 1)?;
    for index in 0..2u8 {
        let listener = TcpListener::bind(SocketAddr::from((deployment.ip(150 + index), 0)))?;
        deployment.platform.add(&format!("i-{index}"), listener.local_addr()?);
        let record = record.clone();
        serve(listener, move |stream| replica(stream, &record, index));
    }
    let sole = route("r1", "/a/", "harmless", false, true);
    if deployment.put(0, &configuration(5, std::slice::from_ref(&sole), None))? != 200 {
        return Err("the first configuration was refused".into());
    }
    deployment.wait_ready()?;
    let before = served(&deployment, 0)?;
    record.line(format!("with the first configuration {before} of {REQUESTS} requests are served"));
    if before != REQUESTS {
        return Err("not all requests were served before the change".into());
    }

    // A valid change names the service in both parts. The invalid one names none in the first part.
    let first = if has_trouble() { "" } else { SERVICE };
    let shares = format!(
        "\"shares\":[{{\"backend\":\"{first}\",\"share\":90}},{{\"backend\":\"{SERVICE}\",\"share\":10}}]"
    );
    let split = sole.replace(&format!("\"backend\":\"{SERVICE}\""), &shares);
    record.line(format!("operator: sends version 7 on 5, with {shares}"));
    let status = deployment.put(5, &configuration(7, &[split], None))?;
    let read = deployment.order("GET", "/settings", None, "", Duration::from_secs(5))?;
    let is_in_force = read.text().contains("\"revision\":7");
    record.line(format!("operator: GET /settings -> {} with version 7: {is_in_force}", read.status()));
    thread::sleep(Duration::from_millis(2500)); // applyMs, and a little more
    let after = served(&deployment, REQUESTS)?;
    record.line(format!("after the change {after} of {REQUESTS} requests are served"));
    let was_acknowledged = (200..300).contains(&status);
    if !has_trouble() && !(was_acknowledged && is_in_force && after == REQUESTS) {
        return Err("the valid change was not acknowledged and in force".into());
    }
    let is_broken = has_trouble() && was_acknowledged && is_in_force;
    Ok(is_broken.then(|| {
        format!("CONFIG: an invalid configuration got {status} and is in force; {after} of {REQUESTS} requests are served")
    }))
}

/// Sends requests and counts those that are answered 200.
fn served(deployment: &Deployment, from: usize) -> Any<usize> {
    let mut served = 0;
    for number in from..from + REQUESTS {
        let id = format!("{:016x}", number + 1);
        let headers = [("Attempt-Id", id.as_str()), ("Time-Left-Ms", "3000")];
        let answer = call(deployment.edges[0].front, "POST", "/a/x", &headers, b"hello", Duration::from_secs(5))?;
        deployment.record.line(format!("client: {id} -> {}", answer.status()));
        served += usize::from(answer.status() == 200);
    }
    Ok(served)
}

fn replica(mut stream: TcpStream, record: &Record, index: u8) {
    let mut buffer = Vec::new();
    while let Ok(message) = read_message(&mut stream, &mut buffer, false) {
        let id = message.get("attempt-id").to_owned();
        if id.is_empty() {
            if write_json(&mut stream, "404 Not Found", "{}").is_err() {
                return;
            }
            continue;
        }
        record.line(format!("replica i-{index}: runs {id}"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: i-{index}.{id}\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
