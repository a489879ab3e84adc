//! Starts two demo replicas and a list service that lists them, all on loopback, to try the gateway with.
//!
//! One replica accepts requests in the platform's dialect (kind `toy`), the other in the dialect of the messages API
//! (kind `toy-messages`). A response repeats the text of the last message; if the request has tools and no tool result
//! yet, it calls the first tool. Lines on standard input change the state of a replica in the list: `drain s-1`,
//! `ready s-1`, `gone s-1`.

use std::io::{Write, stdin};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use tulipridge::demo_replica;

/// ID and address of each replica.
const REPLICAS: [(&str, &str); 2] = [("s-1", "127.0.0.1:9001"), ("s-2", "127.0.0.1:9002")];
const LIST_SERVICE: &str = "127.0.0.1:9000";
/// Time without a change after which an empty line is sent to the watcher.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

fn main() -> std::io::Result<()> {
    for (id, addr) in REPLICAS {
        let listener = TcpListener::bind(addr)?;
        println!("{id} listens on {addr}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || demo_replica::serve_connection(id, stream));
            }
        });
    }
    let listener = TcpListener::bind(LIST_SERVICE)?;
    println!("discovery listens on {LIST_SERVICE}; type 'drain s-1', 'ready s-1' or 'gone s-1'");
    let (sender, changes) = channel();
    thread::spawn(move || serve_list(&listener, &changes));
    for line in stdin().lines() {
        let line = line?;
        match line.split_once(' ') {
            Some(("drain", id)) => drop(sender.send((id.to_owned(), "draining"))),
            Some(("ready", id)) => drop(sender.send((id.to_owned(), "ready"))),
            Some(("gone", id)) => drop(sender.send((id.to_owned(), "gone"))),
            _ => println!("unknown: {line}"),
        }
    }
    loop {
        thread::park();
    }
}

fn replica_entry(id: &str, state: &str) -> serde_json::Value {
    let addr = REPLICAS.iter().find(|(name, _)| *name == id).map_or("", |(_, addr)| addr);
    let kind = if id == "s-2" { "toy-messages" } else { "toy" };
    serde_json::json!({"id": id, "addr": addr, "zone": "a", "kind": kind, "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0})
}

/// Serves one watch at a time: a snapshot, then a delta for each change, or an empty line every 2 s.
fn serve_list(listener: &TcpListener, changes: &Receiver<(String, &'static str)>) {
    let mut states = REPLICAS.map(|(id, _)| (id, "ready"));
    for (connection_index, mut stream) in listener.incoming().flatten().enumerate() {
        let mut version = 2 + 1000 * connection_index;
        let snapshot: Vec<_> =
            states.iter().filter(|s| s.1 != "gone").map(|s| replica_entry(s.0, s.1)).collect();
        let mut line =
            serde_json::json!({"version": version, "full": true, "servers": snapshot}).to_string();
        let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        loop {
            out.push_str(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
            if stream.write_all(out.as_bytes()).is_err() {
                break;
            }
            out.clear();
            line.clear();
            if let Ok((id, state)) = changes.recv_timeout(HEARTBEAT_INTERVAL) {
                version += 1;
                states.iter_mut().filter(|s| s.0 == id).for_each(|s| s.1 = state);
                let delta = [replica_entry(&id, state)];
                line = serde_json::json!({"version": version, "full": false, "servers": delta}).to_string();
            }
        }
    }
}
