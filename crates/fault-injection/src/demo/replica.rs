//! A stand-in replica of the demo, which streams tokens, caches the prefixes of prompts, and responds to the
//! control plane.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use snafu::ResultExt;
use tulipridge_http1::codec::chunk;

use super::prefix_cache::{CacheEvent, PrefixCache, parse_prompt};
use crate::client::{CallError, Connection, Message, serve_connections};
use crate::deployment::ZONE;
use crate::error::{IoSnafu, Result};
use crate::platform::Platform;

/// The model of all replicas.
pub(super) const MODEL: &str = "toy";
/// Size of a replica's cache in tokens, as the replica reports it.
pub(super) const CACHE_TOKENS: u32 = 1_000_000;
/// Prefill time of one prompt token that is not cached.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(500);
/// Time from one token of a stream to the next.
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
/// Number of tokens in a stream if `Token-Count` contains no output tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 20;
/// Maximum number of tokens in a stream.
const MAX_OUTPUT_TOKENS: u32 = 400;
/// Maximum time for which a request for events waits.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a waiting request checks for events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The boot number, constant because a demo replica is started only once.
const BOOT: u64 = 1;

/// A demo replica. Its threads run until the process ends; clones share the cache.
#[derive(Clone, Debug)]
pub(super) struct DemoReplica {
    id: String,
    address: SocketAddr,
    cache: Arc<Mutex<PrefixCache>>,
}

impl DemoReplica {
    /// Starts a replica at any free port of `ip`.
    pub(super) fn start(number: u8, ip: Ipv4Addr) -> Result<DemoReplica> {
        let listener =
            TcpListener::bind((ip, 0)).with_context(|_| IoSnafu { action: format!("listen at {ip}") })?;
        let address = listener.local_addr().context(IoSnafu { action: "read an address" })?;
        let replica = DemoReplica { id: format!("replica-{number}"), address, cache: Arc::default() };
        let served = replica.clone();
        serve_connections(listener, move |connection| {
            // An error means that the peer has closed the connection or has sent an invalid request.
            let _ = served.serve(connection);
        });
        Ok(replica)
    }

    /// Adds the replica to the platform's list.
    pub(super) fn add_to(&self, platform: &Platform) {
        platform.add_with_models(&self.id, self.address, ZONE, &[MODEL]);
    }

    fn serve(&self, mut connection: Connection) -> Result<(), CallError> {
        loop {
            let request = connection.read_request()?;
            let target = request.head.start[1].clone();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            match path {
                "/health" => connection.write(&json_response(&self.id, &json!({})))?,
                "/report" => connection.write(&json_response(&self.id, &self.report()))?,
                "/kv-events" => {
                    let events = self.wait_for_events(query, header_number(&request, "wait-ms"));
                    connection.write(&json_response(&self.id, &events))?;
                }
                "/kv-list" => connection.write(&json_response(&self.id, &self.listing()))?,
                "/order" => connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?,
                _ => self.stream(&mut connection, &request)?,
            }
        }
    }

    /// Responds to a client's request with a stream of events. The first event contains the number of cached
    /// prompt tokens.
    fn stream(&self, connection: &mut Connection, request: &Message) -> Result<(), CallError> {
        let header = |name| request.head.get(name).unwrap_or_default();
        let prompt = parse_prompt(header("prompt-start"));
        let prompt_tokens: u32 = prompt.iter().map(|segment| segment.tokens).sum();
        let cached_tokens = self.cache().insert(header("cache-salt"), header("llm"), &prompt);
        let attempt_id = header("attempt-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: demo\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(PREFILL_TIME_PER_TOKEN * (prompt_tokens - cached_tokens));
        connection.write(head.as_bytes())?;
        let first =
            json!({"replica": self.id, "prompt_tokens": prompt_tokens, "cached_tokens": cached_tokens});
        connection.write(&chunk(event(0, &first).as_bytes()))?;
        for number in 1..=output_tokens(header("token-count")) {
            thread::sleep(TOKEN_INTERVAL);
            connection.write(&chunk(event(number, &json!({"token": number})).as_bytes()))?;
        }
        connection.write(&chunk(b""))
    }

    fn report(&self) -> Value {
        json!({
            "half": "either", "llms": [{"label": MODEL, "revision": 1, "addons": []}], "loaded": false,
            "callCount": 0, "queued": 0, "active": 0, "cacheUsed": self.cache().cached_tokens(),
            "cacheSize": CACHE_TOKENS, "takes": 0,
        })
    }

    /// The events from number `startedAt` of the query on; waits for one up to `wait_ms`, at most `MAX_EVENT_WAIT`.
    fn wait_for_events(&self, query: &str, wait_ms: u64) -> Value {
        let first = query_number(query, "startedAt");
        let deadline = Instant::now() + Duration::from_millis(wait_ms).min(MAX_EVENT_WAIT);
        while self.cache().next_event() <= first && Instant::now() < deadline {
            thread::sleep(EVENT_POLL_INTERVAL);
        }
        let cache = self.cache();
        let event = |(index, event): (usize, &CacheEvent)| {
            let CacheEvent { salt, model, segment } = event;
            json!([first + index, "+", salt, segment.id, segment.tokens, model])
        };
        let events: Vec<Value> = cache.events_since(first).iter().enumerate().map(event).collect();
        json!({"bootNo": BOOT, "nextToken": cache.next_event(), "gone": false, "happenings": events})
    }

    fn listing(&self) -> Value {
        let cache = self.cache();
        let entry = |event: &CacheEvent| {
            let CacheEvent { salt, model, segment } = event;
            json!([salt, segment.id, segment.tokens, model])
        };
        let entries: Vec<Value> = cache.events_since(0).iter().map(entry).collect();
        json!({"bootNo": BOOT, "nextToken": cache.next_event(), "holding": entries})
    }

    fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Encodes an event of a stream.
fn event(id: u32, data: &Value) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

fn json_response(id: &str, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nServer-Id: {id}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The number of output tokens: the second number of `Token-Count`, at most `MAX_OUTPUT_TOKENS`.
fn output_tokens(header: &str) -> u32 {
    let wanted = header.split_once(',').and_then(|(_, output)| output.trim().parse().ok());
    wanted.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(MAX_OUTPUT_TOKENS)
}

/// The number in a header; 0 if the header is missing or invalid.
fn header_number(request: &Message, name: &str) -> u64 {
    request.head.get(name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// The number of the query parameter `name`; 0 if the parameter is missing or invalid.
fn query_number(query: &str, name: &str) -> usize {
    let value = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
