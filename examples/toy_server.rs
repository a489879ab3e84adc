//! Demo replicas to try the gateway with: two of them and a discovery that lists them, all on loopback.
//!
//! The servers speak the platform's dialect and the messages API's, one each (kinds `toy` and `toy-messages`), and answer
//! every question with its own last words, or by using its first tool. The discovery
//! says each line that is typed here, so that changes can be tried out: `drain s-1`, `ready s-1`, `gone s-1`.

use std::io::{Write, stdin};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use tulipridge::demo_replica;

const SERVERS: [(&str, &str); 2] = [("s-1", "127.0.0.1:9001"), ("s-2", "127.0.0.1:9002")];
const DISCOVERY: &str = "127.0.0.1:9000";

fn main() -> std::io::Result<()> {
    for (id, addr) in SERVERS {
        let listener = TcpListener::bind(addr)?;
        println!("{id} listens on {addr}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || demo_replica::serve_connection(id, stream));
            }
        });
    }
    let listener = TcpListener::bind(DISCOVERY)?;
    println!("discovery listens on {DISCOVERY}; type 'drain s-1', 'ready s-1' or 'gone s-1'");
    let (say, lines) = channel();
    thread::spawn(move || discover(&listener, &lines));
    for line in stdin().lines() {
        let line = line?;
        match line.split_once(' ') {
            Some(("drain", id)) => drop(say.send((id.to_owned(), "draining"))),
            Some(("ready", id)) => drop(say.send((id.to_owned(), "ready"))),
            Some(("gone", id)) => drop(say.send((id.to_owned(), "gone"))),
            _ => println!("unknown: {line}"),
        }
    }
    loop {
        thread::park();
    }
}

fn entry(id: &str, state: &str) -> serde_json::Value {
    let addr = SERVERS.iter().find(|(name, _)| *name == id).map_or("", |(_, addr)| addr);
    let kind = if id == "s-2" { "toy-messages" } else { "toy" };
    serde_json::json!({"id": id, "addr": addr, "zone": "a", "kind": kind, "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0})
}

/// Serves one watch at a time: the whole list, then what is typed, and an empty line every 2 s.
fn discover(listener: &TcpListener, lines: &Receiver<(String, &'static str)>) {
    let mut states = SERVERS.map(|(id, _)| (id, "ready"));
    for (n, mut stream) in listener.incoming().flatten().enumerate() {
        let mut version = 2 + 1000 * n;
        let whole: Vec<_> = states.iter().filter(|s| s.1 != "gone").map(|s| entry(s.0, s.1)).collect();
        let mut line = serde_json::json!({"version": version, "full": true, "servers": whole}).to_string();
        let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        loop {
            out.push_str(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
            if stream.write_all(out.as_bytes()).is_err() {
                break;
            }
            out.clear();
            line.clear();
            if let Ok((id, state)) = lines.recv_timeout(Duration::from_secs(2)) {
                version += 1;
                states.iter_mut().filter(|s| s.0 == id).for_each(|s| s.1 = state);
                let changed = [entry(&id, state)];
                line =
                    serde_json::json!({"version": version, "full": false, "servers": changed}).to_string();
            }
        }
    }
}
