//! A client of the operator's API: sends changes to any member, follows redirects, and retries undecided attempts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::{CallError, Message, Request, call};
use crate::error::{Result, TimedOutSnafu, UnexpectedResponseSnafu};

/// Timeout of an attempt, longer than the time after which a member responds that a change is undecided.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 3;
/// Time to wait after one attempt at each member.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);
/// The status of a redirect that keeps method and body.
const TEMPORARY_REDIRECT: u16 = 307;
/// The host of all routes.
pub const HOST: &str = "fault.example";
/// The only service in the configuration.
pub const SERVICE: &str = "chat";

/// A request that changes the configuration, idempotent because a retry has the same revision and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The method, `PUT` or `PATCH`.
    pub method: &'static str,
    /// The base revision, sent as `If-Match`.
    pub if_match: u64,
    /// The revision of the configuration after the change.
    pub revision: u64,
    /// The request body.
    pub body: Vec<u8>,
}

impl Change {
    /// The first configuration: one route, `base`, to one service, and a `note` of `padding_bytes` bytes.
    #[must_use]
    pub fn first(padding_bytes: usize) -> Change {
        let document = json!({
            "revision": 1,
            "routes": [route("base", 0)],
            "backends": [{"label": SERVICE}],
            "note": "n".repeat(padding_bytes),
        });
        Change { method: "PUT", if_match: 0, revision: 1, body: document.to_string().into_bytes() }
    }

    /// Adds or replaces a route of kind `harmless`; `marker` identifies the change.
    #[must_use]
    pub fn upsert_route(if_match: u64, label: &str, marker: u64) -> Change {
        Change::upsert(if_match, route(label, marker))
    }

    /// Adds or replaces a route; `kind` is its kind as the operator's API names it, such as `risky`. The marker is 0.
    #[must_use]
    pub fn upsert_route_of_kind(if_match: u64, label: &str, kind: &str) -> Change {
        let mut route = route(label, 0);
        route["sort"] = kind.into();
        Change::upsert(if_match, route)
    }

    /// Removes the route `label`.
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

fn route(label: &str, marker: u64) -> Value {
    json!({
        "label": label, "hostname": HOST, "pathStart": route_path(label), "sort": "harmless",
        "timeLimitMs": 4_000, "tries": 2, "public": true, "backend": SERVICE, "mark": marker,
    })
}

/// The path prefix of the route `label`.
#[must_use]
pub fn route_path(label: &str) -> String {
    format!("/{label}/")
}

/// The decoded response to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
    /// The change was applied, by this attempt or by an earlier attempt (200).
    Applied,
    /// The base revision is not the current revision (412).
    Stale {
        /// The revision in force, from the response.
        current: u64,
    },
    /// The change is rejected for another reason (400), or a 412 has an invalid body.
    Rejected {
        /// The body of a 400, or the error of decoding the body of a 412.
        reason: String,
    },
    /// It is unknown whether the change was applied: there was no response, or its status was 503, 504 or unexpected.
    Undecided {
        /// The error of the connection, or the response's status and body.
        reason: String,
    },
}

/// A final response, and the number of undecided attempts before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The response, which is not [`ChangeResponse::Undecided`].
    pub response: ChangeResponse,
    /// Attempts before this response that were undecided.
    pub undecided_attempts: u64,
}

#[derive(Deserialize)]
struct StaleBody {
    current: u64,
}

/// A client of the operator's API that sends requests to a list of members.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    members: Vec<SocketAddr>,
    attempt_timeout: Duration,
}

impl OperatorClient {
    /// Creates a client for the members at these addresses, with the default timeout of an attempt.
    #[must_use]
    pub fn new(members: Vec<SocketAddr>) -> OperatorClient {
        OperatorClient { members, attempt_timeout: ATTEMPT_TIMEOUT }
    }

    /// Replaces the timeout of an attempt.
    #[must_use]
    pub fn with_attempt_timeout(self, attempt_timeout: Duration) -> OperatorClient {
        OperatorClient { attempt_timeout, ..self }
    }

    /// Sends a change once to a member, and follows redirects.
    #[must_use]
    pub fn send_once(&self, member: SocketAddr, change: &Change) -> ChangeResponse {
        let if_match = change.if_match.to_string();
        let headers = [("If-Match", if_match.as_str())];
        let request =
            Request { method: change.method, target: "/settings", headers: &headers, body: &change.body };
        match self.send_following_redirects(member, &request) {
            Ok(response) => parse_response(&response),
            Err(error) => ChangeResponse::Undecided { reason: error.to_string() },
        }
    }

    /// Sends a change to one member after the other until a response decides it.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the change is undecided after `timeout`.
    pub fn send(&self, change: &Change, timeout: Duration) -> Result<ChangeResponse> {
        Ok(self.send_until_decided(change, timeout)?.response)
    }

    /// Sends a change as [`OperatorClient::send`] does, and also returns the number of undecided attempts.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the change is undecided after `timeout`.
    pub fn send_until_decided(&self, change: &Change, timeout: Duration) -> Result<Decision> {
        let started_at = Instant::now();
        let mut undecided_attempts = 0;
        let mut reason = String::new();
        while started_at.elapsed() < timeout {
            for member in &self.members {
                match self.send_once(*member, change) {
                    ChangeResponse::Undecided { reason: newest } => reason = newest,
                    response => return Ok(Decision { response, undecided_attempts }),
                }
                undecided_attempts += 1;
            }
            std::thread::sleep(RETRY_BACKOFF);
        }
        TimedOutSnafu {
            condition: format!("a decision on revision {}: {reason}", change.revision),
            timeout,
        }
        .fail()
    }

    /// Sends a change that must be applied, and returns its revision.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the change is undecided after `timeout`;
    /// [`HarnessError::UnexpectedResponse`](crate::error::HarnessError::UnexpectedResponse) if the change is rejected or stale.
    pub fn apply(&self, change: &Change, timeout: Duration) -> Result<u64> {
        match self.send(change, timeout)? {
            ChangeResponse::Applied => Ok(change.revision),
            other => UnexpectedResponseSnafu {
                request: format!("a change to revision {}", change.revision),
                status: 0u16,
                body: format!("{other:?}"),
            }
            .fail(),
        }
    }

    /// Sets the weights revision of a model once, at `member` or at the address to which it redirects the request.
    /// Returns the status of the response; `None` without a response.
    #[must_use]
    pub fn set_weights_revision(&self, member: SocketAddr, model: &str, revision: u64) -> Option<u16> {
        let body = json!({"llm": model, "revision": revision}).to_string();
        let target = "/version-put";
        let request = Request { method: "POST", target, headers: &[], body: body.as_bytes() };
        self.send_following_redirects(member, &request).ok().map(|response| response.status())
    }

    /// The newest configuration, from the first member that responds with it.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if no member has responded after `timeout`.
    pub fn configuration(&self, timeout: Duration) -> Result<Value> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            for member in &self.members {
                if let Some(document) = self.configuration_from(*member) {
                    return Ok(document);
                }
            }
            std::thread::sleep(RETRY_BACKOFF);
        }
        TimedOutSnafu { condition: "a response to GET /settings", timeout }.fail()
    }

    /// The newest configuration, from `member` or from the address to which it redirects the request; `None` without a
    /// valid response.
    #[must_use]
    pub fn configuration_from(&self, member: SocketAddr) -> Option<Value> {
        let response = self.send_following_redirects(member, &Request::get("/settings")).ok()?;
        (response.status() == 200).then(|| serde_json::from_slice(&response.body).ok()).flatten()
    }

    fn send_following_redirects(
        &self,
        member: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Message, CallError> {
        let mut address = member;
        let mut response = call(address, request, self.attempt_timeout)?;
        for _ in 0..MAX_REDIRECTS {
            let location = response.head.get("location").and_then(location_address);
            match location {
                Some(next) if response.status() == TEMPORARY_REDIRECT => address = next,
                _ => break,
            }
            response = call(address, request, self.attempt_timeout)?;
        }
        Ok(response)
    }
}

/// The address in a `Location` header; `None` if it is no IP address with a port.
fn location_address(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

fn parse_response(response: &Message) -> ChangeResponse {
    match response.status() {
        200 => ChangeResponse::Applied,
        412 => match serde_json::from_slice::<StaleBody>(&response.body) {
            Ok(body) => ChangeResponse::Stale { current: body.current },
            Err(error) => ChangeResponse::Rejected { reason: error.to_string() },
        },
        400 => ChangeResponse::Rejected { reason: response.text() },
        status => ChangeResponse::Undecided { reason: format!("{status} {}", response.text()) },
    }
}

/// The marker of a route in a configuration; `None` without the route or the marker.
#[must_use]
pub fn marker_of(configuration: &Value, label: &str) -> Option<u64> {
    let routes = configuration["routes"].as_array()?;
    routes.iter().find(|route| route["label"] == label)?["mark"].as_u64()
}

/// The revision of a configuration; 0 if it has none.
#[must_use]
pub fn revision_of(configuration: &Value) -> u64 {
    configuration["revision"].as_u64().unwrap_or(0)
}
