//! `tulipridge demo`: demo replicas, a discovery and the gateway itself, all on loopback and in one process.
//!
//! The replicas are plain threads with blocking sockets, so that they share nothing with what they show.

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

/// Serves until Ctrl-C, having printed two calls that work.
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
        "Two demo replicas, one of each dialect, and a discovery are up. Ask them by way of the gateway:\n"
    );
    println!("{}\n", platform_call(config.listen));
    println!("{}\n", messages_call(front));
    println!("Ctrl-C ends it.\n");
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

/// Why the demo can't be started.
#[derive(Debug, Snafu)]
enum DemoError {
    /// A port that was asked for can't be used.
    #[snafu(display("{address}: {source}; try --port"))]
    Port { address: SocketAddr, source: io::Error },
    /// A port of a stand-in can't be used.
    #[snafu(display("{owner}: {source}"))]
    StandInPort { owner: &'static str, source: io::Error },
    /// The configuration can't be used.
    #[snafu(context(false), display("{source}"))]
    Configuration { source: ValueError },
}

fn prepare(platform: SocketAddr, messages: SocketAddr) -> Result<Config, DemoError> {
    // A port that is taken is told before anything is printed; port 0 becomes one that is free just now.
    let free = |addr: SocketAddr| {
        let bound = TcpListener::bind(addr).and_then(|listener| listener.local_addr());
        bound.context(PortSnafu { address: addr })
    };
    let (platform, messages) = (free(platform)?, free(messages)?);
    let mut entries = Vec::new();
    for (id, kind) in [("toy-1", "toy"), ("toy-2", "toy-messages")] {
        let (listener, addr) = local().context(StandInPortSnafu { owner: "a demo replica's port" })?;
        entries
            .push(json!({"id": id, "addr": addr.to_string(), "zone": "a", "kind": kind, "state": "ready"}));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || demo_replica::serve_connection(id, stream));
            }
        });
    }
    let (listener, discovery) = local().context(StandInPortSnafu { owner: "discovery's port" })?;
    let list = json!({"version": 2, "full": true, "servers": entries});
    let said = list.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = said.to_string();
            thread::spawn(move || watch(stream, &list));
        }
    });
    let second = 1_000_000_000u64;
    let lane = |name: &str, aim: u64, deadline: u64, points: f64| {
        json!({"name": name, "effect": "retryable", "promise-ns": aim, "deadline-ns": deadline,
            "points": points, "late-worth": 0.3, "stream": true})
    };
    let config = json!({"name": "demo", "listen": platform.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list, "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"],
            "shapes": ["toy", "toy-messages"], "discovery": "ask", "weight-source": "rough", "report": {"fields": []},
            "lanes": [lane("docs", 3 * second / 2, 5 * second, 1.0),
                lane("bulk", 3 * second, 10 * second, 3.0)],
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

/// A listener at any port, and its address.
fn local() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A watch: the whole list, then a sign of life every 2 s.
fn watch(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    if demo_replica::read_message(&mut reader).is_none() {
        return Ok(());
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
