//! `tulipridge demo`: demo replicas, a list service and the gateway, on loopback and in one process.
//!
//! The replicas use plain threads and blocking sockets, so that they share no code with the gateway.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use serde_json::json;
use snafu::{ResultExt, Snafu};

use tulipridge::config::{Config, Sources, ValueError};
use tulipridge::demo_replica;
use tulipridge::names::Dialect;
use tulipridge::settings::{Messages, Model, Settings};

use crate::serve;

/// The interval of keep-alives on a watch of the replica list.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Prints two example requests and serves until Ctrl-C.
pub(crate) fn run(platform: SocketAddr, messages: SocketAddr) -> ExitCode {
    let config = match prepare(platform, messages) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("tulipridge: demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    let front = config.own.messages.listen.unwrap_or(messages);
    println!(
        "Two demo replicas, one of each dialect, and a list service are running. Send them requests through the gateway:\n"
    );
    println!("{}\n", platform_call(config.listen));
    println!("{}\n", messages_call(front));
    println!("Ctrl-C stops the demo.\n");
    serve::serve(config, Sources::default(), None)
}

fn platform_call(addr: SocketAddr) -> String {
    format!(
        "curl -N {addr}/v1/chat/completions -H 'X-Request-Id: 00000000000000a1' -H 'X-Class: docs' \
        -H 'X-Deadline-Ms: 4000' \\\n    -d '{{\"model\":\"toy\",\"stream\":true,\"max_tokens\":50,\
        \"messages\":[{{\"role\":\"user\",\"content\":\"Which gate?\"}}]}}'"
    )
}

fn messages_call(addr: SocketAddr) -> String {
    format!(
        "curl -N {addr}/v1/messages \\\n    -d '{{\"model\":\"toy\",\"stream\":true,\"max_tokens\":50,\
        \"messages\":[{{\"role\":\"user\",\"content\":\"Which gate?\"}}]}}'"
    )
}

/// The reason why the demo can't be started.
#[derive(Debug, Snafu)]
enum DemoError {
    /// A requested port can't be bound.
    #[snafu(display("{address}: {source}; try --port"))]
    Port { address: SocketAddr, source: io::Error },
    /// A port of a demo replica or of the list service can't be bound.
    #[snafu(display("{owner}: {source}"))]
    LocalPort { owner: &'static str, source: io::Error },
    /// The configuration of the demo is invalid.
    #[snafu(context(false), display("{source}"))]
    Configuration { source: ValueError },
}

fn prepare(platform: SocketAddr, messages: SocketAddr) -> Result<Config, DemoError> {
    // A port in use is reported before anything is printed. Port 0 becomes the number of a port that is free now.
    let resolve_port = |addr: SocketAddr| {
        let bound = TcpListener::bind(addr).and_then(|listener| listener.local_addr());
        bound.context(PortSnafu { address: addr })
    };
    let (platform, messages) = (resolve_port(platform)?, resolve_port(messages)?);
    let mut entries = Vec::new();
    for (id, kind) in [("toy-1", "toy"), ("toy-2", "toy-messages")] {
        let (listener, addr) =
            bind_loopback().context(LocalPortSnafu { owner: "port of a demo replica" })?;
        entries
            .push(json!({"id": id, "addr": addr.to_string(), "zone": "a", "kind": kind, "state": "ready"}));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || demo_replica::serve_connection(id, stream));
            }
        });
    }
    let (listener, discovery) =
        bind_loopback().context(LocalPortSnafu { owner: "port of the list service" })?;
    let list = json!({"version": 2, "full": true, "servers": entries});
    let served_list = list.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = served_list.to_string();
            thread::spawn(move || watch(stream, &list));
        }
    });
    let second = 1_000_000_000u64;
    let class = |name: &str, latency_target: u64, deadline: u64, points: f64| {
        json!({"name": name, "effect": "retryable", "promise-ns": latency_target, "deadline-ns": deadline,
            "points": points, "late-worth": 0.3, "stream": true})
    };
    let config = json!({"name": "demo", "listen": platform.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list, "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"],
            "shapes": ["toy", "toy-messages"], "discovery": "ask", "weight-source": "rough", "report": {"fields": []},
            "lanes": [class("docs", 3 * second / 2, 5 * second, 1.0),
                class("bulk", 3 * second, 10 * second, 3.0)],
            "accounts": [{"name": "office", "share": 1.0}],
            "policy-limits": {"send-cap": 5, "cancel": true, "retry-after": true,
                "max-retry-after-ns": 2 * second, "conn-idle-ns": 5 * second},
            "safety": {"cold-from": 0.3, "ramp-time-ns": 8 * second, "overload-factor": 2.5,
                "fall-ns": 3 * second, "ask-within-ns": 10 * second}}});
    let own = Settings {
        messages: Messages {
            listen: Some(messages),
            class: Some("docs".into()),
            tenant: Some("office".into()),
            models: BTreeMap::from([("toy".into(), Model::default())]),
            ..Messages::default()
        },
        dialects: BTreeMap::from([("toy-messages".into(), Dialect::Messages)]),
        ..Settings::default()
    };
    Ok(Config::new(&config, own)?)
}

/// Binds a listener to any free port of the loopback address, and returns it with its address.
fn bind_loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves a watch: sends the full list, then a keep-alive at each [`KEEP_ALIVE_INTERVAL`].
fn watch(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    if demo_replica::read_message(&mut reader).is_none() {
        return Ok(());
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(KEEP_ALIVE_INTERVAL);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
