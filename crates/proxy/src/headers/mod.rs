//! Encodes message heads: of requests to replicas ([`request`]), of replicas' responses to clients
//! ([`response`]), and of responses that the proxy itself generates ([`local_response`]).

pub mod local_response;
pub mod request;
pub mod response;

use std::io::Write;
use std::time::Duration;

use tulipridge_http1::codec::Head;

pub use local_response::LocalResponse;
pub use request::{Additions, write_request_head};
pub use response::{Framing, write_response_head};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Whether the client's connection persists after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open for further requests, with this idle timeout.
    KeepAlive(Duration),
    /// The connection is closed.
    Close,
}

/// Writes the header that says whether the connection persists, and the end of the head.
fn write_persistence(persistence: Persistence, out: &mut Vec<u8>) {
    match persistence {
        Persistence::KeepAlive(idle_timeout) => {
            let _ = write!(out, "Keep-Alive: timeout={}\r\n", idle_timeout.as_secs());
        }
        Persistence::Close => write_line(out, &["Connection: close"]),
    }
    out.extend_from_slice(b"\r\n");
}

/// Names of those headers of a message that its `Connection` header nominates as hop-by-hop.
fn nominated_by_connection(head: &Head) -> Vec<String> {
    let lists = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let options = lists.flat_map(|(_, list)| list.split(',')).map(str::trim);
    let nominated = options.filter(|option| !is_one_of(option, &["close", "keep-alive"]));
    let headers = head
        .headers
        .iter()
        .filter(|(name, _)| nominated.clone().any(|nominated| name.eq_ignore_ascii_case(nominated)));
    headers.map(|(name, _)| name.clone()).collect()
}

/// Whether the value of a header has no control characters except tabs. Clients may interpret a control character as
/// the end of a line.
#[must_use]
pub fn is_plain(value: &str) -> bool {
    !value.chars().any(|character| character.is_control() && character != '\t')
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|other| name.eq_ignore_ascii_case(other))
}

fn write_line(out: &mut Vec<u8>, fragments: &[&str]) {
    fragments.iter().for_each(|fragment| out.extend_from_slice(fragment.as_bytes()));
    out.extend_from_slice(b"\r\n");
}

fn write_number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}
