//! Encodes the head of a request to a replica.

use std::io::Write;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_http1::codec::Head;

use super::{HOP_BY_HOP, is_one_of, nominated_by_connection, write_line, write_number};
use crate::kv_cache::KvTransfer;

/// Headers of clients that are not forwarded: credentials, framing, and headers that only the proxy may set.
const NOT_FORWARDED: [&str; 11] = [
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

/// The header with the id of the last event of a stream that was received, by the client or by the proxy.
const LAST_EVENT_ID: &str = "last-event-id";

/// The headers that the proxy adds to a request for one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Additions<'a> {
    /// The id of the target replica.
    pub replica: &'a str,
    /// The label of the tenant.
    pub tenant: Option<&'a str>,
    /// The time until the deadline of the request.
    pub time_left: Duration,
    /// The priority, 0 first.
    pub priority: u8,
    /// The revision that the replica's weights must have.
    pub revision: Option<WeightsRevision>,
    /// The cache salt. Prefixes are shared only between requests with the same salt.
    pub salt: Option<&'a str>,
    /// Where the replica fetches KV cache from and saves it to.
    pub kv: KvTransfer,
    /// The id of the event after which the stream is resumed. If None, the client's own header is forwarded.
    pub last_event_id: Option<&'a str>,
}

/// Encodes the head of a request to a replica: the client's headers that are forwarded, and the proxy's additions.
pub fn write_request_head(head: &Head, body_bytes: usize, additions: &Additions<'_>, out: &mut Vec<u8>) {
    let [method, target, _] = &head.start;
    write_line(out, &[method, " ", target, " HTTP/1.1"]);
    let nominated = nominated_by_connection(head);
    for (name, value) in &head.headers {
        let is_replaced = additions.last_event_id.is_some() && name.eq_ignore_ascii_case(LAST_EVENT_ID);
        if !is_replaced
            && !is_one_of(name, &HOP_BY_HOP)
            && !is_one_of(name, &NOT_FORWARDED)
            && !nominated.contains(name)
        {
            write_line(out, &[name, ": ", value]);
        }
    }
    let is_framed = head.get("content-length").is_some() || head.get("transfer-encoding").is_some();
    if is_framed || body_bytes > 0 {
        write_number(out, "Content-Length", body_bytes as u64);
    }
    write_line(out, &["Meant-Server: ", additions.replica]);
    if let Some(tenant) = additions.tenant {
        write_line(out, &["Customer: ", tenant]);
    }
    write_number(out, "Time-Left-Ms", additions.time_left.as_millis() as u64);
    write_number(out, "Priority", additions.priority.into());
    if let Some(revision) = additions.revision {
        write_number(out, "Expect-Version", revision.0);
    }
    if let Some(salt) = additions.salt {
        write_line(out, &["Cache-Salt: ", salt]);
    }
    if let Some(source) = additions.kv.fetch {
        let _ = write!(out, "Kv-Fetch: {source}\r\n");
    }
    if let Some(store) = additions.kv.save {
        let _ = write!(out, "Kv-Save: {store}\r\n");
    }
    if let Some(id) = additions.last_event_id {
        write_line(out, &["Last-Event-Id: ", id]);
    }
    out.extend_from_slice(b"\r\n");
}
