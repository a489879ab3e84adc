//! Heads of messages as they are passed on: what a replica is sent of a client's head, and a client of a replica's.

use std::io::Write;
use std::time::Duration;

use tulipridge_http1::codec::Head;

use crate::kv_cache::KvTransfer;

/// Headers that concern one connection alone.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of a client that a replica is not shown: credentials, framing, and what only the system may set.
const REPLACED: [&str; 11] = [
    "authorization",
    "cache-salt",
    "content-length",
    "customer",
    "expect",
    "expect-version",
    "kv-fetch",
    "kv-save",
    "meant-server",
    "priority",
    "time-left-ms",
];

/// The status of an answer that has no body and may not speak of a length.
const NO_CONTENT: u16 = 204;

const LAST_EVENT_ID: &str = "last-event-id";

/// What the system adds to a request for one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Additions<'a> {
    /// Id of the replica that is meant.
    pub replica: &'a str,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// How long the client still waits.
    pub time_left: Duration,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Revision that the replica's weights must have.
    pub revision: Option<u64>,
    /// Under which text the replica keeps what it reads.
    pub salt: Option<&'a str>,
    /// Where it takes KV cache from and sends it to.
    pub kv: KvTransfer,
    /// The event behind which a resumed stream goes on; what the client sent where it is absent.
    pub last_event_id: Option<&'a str>,
}

/// Writes the head with which a replica is sent a client's request.
pub fn write_request(head: &Head, body_bytes: usize, additions: &Additions<'_>, out: &mut Vec<u8>) {
    let [method, target, _] = &head.start;
    line(out, &[method, " ", target, " HTTP/1.1"]);
    let named = named_by_connection(head);
    for (name, value) in &head.headers {
        let resumed = additions.last_event_id.is_some() && name.eq_ignore_ascii_case(LAST_EVENT_ID);
        if !resumed && !is_one_of(name, &HOP_BY_HOP) && !is_one_of(name, &REPLACED) && !named.contains(name)
        {
            line(out, &[name, ": ", value]);
        }
    }
    let framed = head.get("content-length").is_some() || head.get("transfer-encoding").is_some();
    if framed || body_bytes > 0 {
        number(out, "Content-Length", body_bytes as u64);
    }
    line(out, &["Meant-Server: ", additions.replica]);
    if let Some(tenant) = additions.tenant {
        line(out, &["Customer: ", tenant]);
    }
    number(out, "Time-Left-Ms", additions.time_left.as_millis() as u64);
    number(out, "Priority", additions.priority.into());
    if let Some(revision) = additions.revision {
        number(out, "Expect-Version", revision);
    }
    if let Some(salt) = additions.salt {
        line(out, &["Cache-Salt: ", salt]);
    }
    if let Some(source) = additions.kv.fetch {
        let _ = write!(out, "Kv-Fetch: {source}\r\n");
    }
    if let Some(store) = additions.kv.save {
        let _ = write!(out, "Kv-Save: {store}\r\n");
    }
    if let Some(id) = additions.last_event_id {
        line(out, &["Last-Event-Id: ", id]);
    }
    out.extend_from_slice(b"\r\n");
}

/// What becomes of the client's connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// It stays open for further requests, for so long while it is idle.
    KeepOpen(Duration),
    /// It is closed.
    Close,
}

/// How the client sees the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
    /// The answer has no body, and its length is what the replica's headers say.
    None,
}

/// Writes the head with which a client is passed a replica's answer. Headers whose values are not plain text
/// are left out: a line end in one would begin a header that the replica did not send.
pub fn write_answer(head: &Head, framing: Framing, after: After, out: &mut Vec<u8>) {
    let stated = &head.start[2];
    let reason = if is_plain(stated) { stated } else { tulipridge_http1::codec::reason(head.status()) };
    line(out, &["HTTP/1.1 ", &head.start[1], " ", reason]);
    let named = named_by_connection(head);
    let drops_length = framing != Framing::None || head.status() == NO_CONTENT;
    for (name, value) in &head.headers {
        let length = drops_length && name.eq_ignore_ascii_case("content-length");
        if !length && is_plain(value) && !is_one_of(name, &HOP_BY_HOP) && !named.contains(name) {
            line(out, &[name, ": ", value]);
        }
    }
    match framing {
        Framing::Length(length) => number(out, "Content-Length", length as u64),
        Framing::Chunked => line(out, &["Transfer-Encoding: chunked"]),
        Framing::UntilClose | Framing::None => {}
    }
    write_connection(after, out);
}

/// An answer of the proxy itself, without a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// The status.
    pub status: u16,
    /// How long the client should stay away.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// An answer that says no more than its status.
    #[must_use]
    pub fn plain(status: u16) -> Self {
        OwnAnswer { status, retry_after: None }
    }

    /// The request has not run and will not; the client may come back after this time.
    #[must_use]
    pub fn refusal(retry_after: Duration) -> Self {
        OwnAnswer { status: 503, retry_after: Some(retry_after) }
    }

    /// Writes the whole answer to the try with this id.
    pub fn write(self, attempt_id: Option<&str>, after: After, out: &mut Vec<u8>) {
        let _ =
            write!(out, "HTTP/1.1 {} {}\r\n", self.status, tulipridge_http1::codec::reason(self.status));
        if let Some(id) = attempt_id {
            line(out, &["Attempt-Id: ", id]);
        }
        if let Some(time) = self.retry_after {
            let _ = write!(out, "Retry-After: {:.3}\r\n", time.as_secs_f64());
        }
        line(out, &["Content-Length: 0"]);
        write_connection(after, out);
    }
}

fn write_connection(after: After, out: &mut Vec<u8>) {
    match after {
        After::KeepOpen(idle) => drop(write!(out, "Keep-Alive: timeout={}\r\n", idle.as_secs())),
        After::Close => line(out, &["Connection: close"]),
    }
    out.extend_from_slice(b"\r\n");
}

/// Headers that the `Connection` header names as its own, beside those that are known.
fn named_by_connection(head: &Head) -> Vec<String> {
    let lists = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let names = lists.flat_map(|(_, list)| list.split(',')).map(str::trim);
    let other = names.filter(|name| !is_one_of(name, &["close", "keep-alive"]));
    let named = head.headers.iter().filter(|(name, _)| other.clone().any(|o| name.eq_ignore_ascii_case(o)));
    named.map(|(name, _)| name.clone()).collect()
}

/// Whether a header's value holds no control characters, which clients may take for the end of a line.
#[must_use]
pub fn is_plain(value: &str) -> bool {
    !value.chars().any(|character| character.is_control() && character != '\t')
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|other| name.eq_ignore_ascii_case(other))
}

fn line(out: &mut Vec<u8>, parts: &[&str]) {
    parts.iter().for_each(|part| out.extend_from_slice(part.as_bytes()));
    out.extend_from_slice(b"\r\n");
}

fn number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}
