//! The status of a control-plane member.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::client::{Request, call};

/// The timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(400);

/// The age from which on data counts as stale.
const FRESHNESS_LIMIT_MS: u64 = 1_000;

/// The response to `GET /status`, as far as it is used here.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The member's id: its address and the generation of its disk.
    pub node: String,
    /// Its role, such as `backup`.
    pub role: String,
    /// Whether it is the primary and holds the lease.
    pub lease: bool,
    /// The epoch of the newest view known to it.
    pub epoch: u64,
    /// The members that vote.
    pub voters: Vec<String>,
    /// The members that store the replicated data; the first one is the primary.
    #[serde(rename = "holders")]
    pub replication_group: Vec<String>,
    /// The primary, if a heartbeat was received lately.
    pub primary: Option<String>,
    /// The revision of the newest configuration that it publishes.
    pub configuration: u64,
    /// The newest revision of the weights, by model.
    pub weights: BTreeMap<String, u64>,
    /// The number of replicas that it publishes.
    pub replicas: usize,
    /// Time since what it publishes was known to be the newest, in milliseconds.
    pub age_ms: Option<u64>,
}

impl Status {
    /// Requests the status of a member; `None` without a valid response.
    #[must_use]
    pub fn of(member: SocketAddr) -> Option<Status> {
        let response = call(member, &Request::get("/status"), TIMEOUT).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Whether what it publishes was the newest less than `FRESHNESS_LIMIT_MS` ago.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.age_ms.is_some_and(|age| age < FRESHNESS_LIMIT_MS)
    }
}
