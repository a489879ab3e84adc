//! The operator: sends changes to any member, follows redirects, and repeats what had no answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::{CallError, Message, Request, call};
use crate::error::{Result, TimedOutSnafu, UnexpectedAnswerSnafu};

/// Time for one try, beyond that in which a member says that a change is undecided.
const TRY_TIMEOUT: Duration = Duration::from_secs(6);
/// Redirects that one try follows.
const MOST_REDIRECTS: usize = 3;
/// The pause after all members were tried.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The host of all routes.
pub const HOST: &str = "drill.example";
/// The only service.
pub const SERVICE: &str = "chat";

/// A call that changes the configuration. Sent again unchanged it is the same call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// `PUT` or `PATCH`.
    pub method: &'static str,
    /// The revision on which it builds.
    pub if_match: u64,
    /// The revision to which it leads.
    pub revision: u64,
    /// The body.
    pub body: Vec<u8>,
}

impl Change {
    /// The first configuration: one route to one service, and a note that makes it so many bytes longer.
    #[must_use]
    pub fn first(note_bytes: usize) -> Change {
        let document = json!({
            "revision": 1,
            "routes": [route("base", 0)],
            "backends": [{"label": SERVICE}],
            "note": "n".repeat(note_bytes),
        });
        Change { method: "PUT", if_match: 0, revision: 1, body: document.to_string().into_bytes() }
    }

    /// Adds a route or puts a marked one in its place.
    #[must_use]
    pub fn upsert_route(if_match: u64, label: &str, mark: u64) -> Change {
        Change::upsert(if_match, route(label, mark))
    }

    /// Adds a route of a kind, such as `risky`.
    #[must_use]
    pub fn upsert_route_of_kind(if_match: u64, label: &str, kind: &str) -> Change {
        let mut route = route(label, 0);
        route["sort"] = kind.into();
        Change::upsert(if_match, route)
    }

    /// Removes a route.
    #[must_use]
    pub fn remove_route(if_match: u64, label: &str) -> Change {
        let revision = if_match + 1;
        Change::patch(if_match, &json!({"revision": revision, "remove": {"routes": [label]}}))
    }

    fn upsert(if_match: u64, route: Value) -> Change {
        let revision = if_match + 1;
        Change::patch(if_match, &json!({"revision": revision, "upsert": {"routes": [route]}}))
    }

    fn patch(if_match: u64, body: &Value) -> Change {
        let body = body.to_string().into_bytes();
        Change { method: "PATCH", if_match, revision: if_match + 1, body }
    }
}

fn route(label: &str, mark: u64) -> Value {
    json!({
        "label": label, "hostname": HOST, "pathStart": path(label), "sort": "harmless",
        "timeLimitMs": 4_000, "tries": 2, "public": true, "backend": SERVICE, "mark": mark,
    })
}

/// The path prefix of a route.
#[must_use]
pub fn path(label: &str) -> String {
    format!("/{label}/")
}

/// How a change was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is in force, now or since before (200).
    Taken,
    /// It builds on another revision (412).
    Stale {
        /// The one in place.
        current: u64,
    },
    /// It is refused for another reason (400).
    Refused {
        /// Why.
        reason: String,
    },
    /// It may be in force or not: no answer, 503 or 504.
    Undecided {
        /// What is known.
        reason: String,
    },
}

/// A reply that is final, and what went before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The reply; it decides.
    pub reply: Reply,
    /// Tries that decided nothing.
    pub undecided_tries: u64,
}

#[derive(Deserialize)]
struct StaleBody {
    current: u64,
}

/// An operator who knows some members.
#[derive(Clone, Debug)]
pub struct Operator {
    members: Vec<SocketAddr>,
    try_timeout: Duration,
}

impl Operator {
    /// An operator who calls members at these addresses.
    #[must_use]
    pub fn new(members: Vec<SocketAddr>) -> Operator {
        Operator { members, try_timeout: TRY_TIMEOUT }
    }

    /// One who gives a try up after this time.
    #[must_use]
    pub fn with_try_timeout(self, try_timeout: Duration) -> Operator {
        Operator { try_timeout, ..self }
    }

    /// Sends a change once, to one member and where that sends it.
    #[must_use]
    pub fn send_once(&self, member: SocketAddr, change: &Change) -> Reply {
        let if_match = change.if_match.to_string();
        let headers = [("If-Match", if_match.as_str())];
        let request =
            Request { method: change.method, target: "/settings", headers: &headers, body: &change.body };
        match self.follow(member, &request) {
            Ok(answer) => read_reply(&answer),
            Err(error) => Reply::Undecided { reason: error.to_string() },
        }
    }

    /// Sends a change, to one member after the other, until it is decided.
    pub fn send(&self, change: &Change, limit: Duration) -> Result<Reply> {
        Ok(self.decide(change, limit)?.reply)
    }

    /// The same, and says how many tries it took.
    pub fn decide(&self, change: &Change, limit: Duration) -> Result<Decision> {
        let began = Instant::now();
        let mut undecided_tries = 0;
        let mut reason = String::new();
        while began.elapsed() < limit {
            for member in &self.members {
                match self.send_once(*member, change) {
                    Reply::Undecided { reason: newest } => reason = newest,
                    reply => return Ok(Decision { reply, undecided_tries }),
                }
                undecided_tries += 1;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        TimedOutSnafu { what: format!("a decision on revision {}: {reason}", change.revision), limit }
            .fail()
    }

    /// Sends a change that nothing speaks against.
    pub fn apply(&self, change: &Change, limit: Duration) -> Result<u64> {
        match self.send(change, limit)? {
            Reply::Taken => Ok(change.revision),
            other => UnexpectedAnswerSnafu {
                call: format!("a change to revision {}", change.revision),
                status: 0u16,
                body: format!("{other:?}"),
            }
            .fail(),
        }
    }

    /// Names the newest weights of a model at one member and where that sends the call; the status of the answer, if there
    /// is one.
    #[must_use]
    pub fn name_weights(&self, member: SocketAddr, model: &str, revision: u64) -> Option<u16> {
        let body = json!({"llm": model, "revision": revision}).to_string();
        let target = "/version-put";
        let request = Request { method: "POST", target, headers: &[], body: body.as_bytes() };
        self.follow(member, &request).ok().map(|answer| answer.status())
    }

    /// The newest configuration.
    pub fn configuration(&self, limit: Duration) -> Result<Value> {
        let began = Instant::now();
        while began.elapsed() < limit {
            for member in &self.members {
                if let Some(document) = self.configuration_from(*member) {
                    return Ok(document);
                }
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        TimedOutSnafu { what: "an answer to GET /settings", limit }.fail()
    }

    /// The newest configuration, from one member or where that sends the call; none if there is no such answer.
    #[must_use]
    pub fn configuration_from(&self, member: SocketAddr) -> Option<Value> {
        let answer = self.follow(member, &Request::get("/settings")).ok()?;
        (answer.status() == 200).then(|| serde_json::from_slice(&answer.body).ok()).flatten()
    }

    fn follow(&self, member: SocketAddr, request: &Request<'_>) -> Result<Message, CallError> {
        let mut address = member;
        let mut answer = call(address, request, self.try_timeout)?;
        for _ in 0..MOST_REDIRECTS {
            let location = answer.head.get("location").and_then(location_address);
            match location {
                Some(next) if answer.status() == 307 => address = next,
                _ => break,
            }
            answer = call(address, request, self.try_timeout)?;
        }
        Ok(answer)
    }
}

/// The address in a `Location`.
fn location_address(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

fn read_reply(answer: &Message) -> Reply {
    match answer.status() {
        200 => Reply::Taken,
        412 => match serde_json::from_slice::<StaleBody>(&answer.body) {
            Ok(body) => Reply::Stale { current: body.current },
            Err(error) => Reply::Refused { reason: error.to_string() },
        },
        400 => Reply::Refused { reason: answer.text() },
        status => Reply::Undecided { reason: format!("{status} {}", answer.text()) },
    }
}

/// The mark of a route in a configuration; none if there is no such route.
#[must_use]
pub fn mark_of(configuration: &Value, label: &str) -> Option<u64> {
    let routes = configuration["routes"].as_array()?;
    routes.iter().find(|route| route["label"] == label)?["mark"].as_u64()
}

/// The revision of a configuration.
#[must_use]
pub fn revision_of(configuration: &Value) -> u64 {
    configuration["revision"].as_u64().unwrap_or(0)
}
