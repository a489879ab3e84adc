//! The status of a control-plane member, from the operator's API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::client::{Request, call};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Age in milliseconds from which on data counts as stale.
const FRESHNESS_LIMIT_MS: u64 = 1_000;

/// The response to `GET /status`; fields that no test or measurement uses are omitted.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The member's id: its address and the generation of its disk.
    pub node: String,
    /// The member's role, such as `backup`.
    pub role: String,
    /// Whether the member is the primary with a valid lease.
    #[serde(rename = "lease")]
    pub has_lease: bool,
    /// The epoch of the member's newest view.
    pub epoch: u64,
    /// The ids of the voters.
    pub voters: Vec<String>,
    /// The ids of the members that store the replicated data, the primary first.
    #[serde(rename = "holders")]
    pub replication_group: Vec<String>,
    /// The id of the primary, if the member has received a recent heartbeat.
    pub primary: Option<String>,
    /// The revision of the newest configuration that the member publishes.
    pub configuration: u64,
    /// The newest weights revision of each model.
    pub weights: BTreeMap<String, u64>,
    /// The number of replicas in the list that the member publishes.
    pub replicas: usize,
    /// Milliseconds since the published data was known to be the newest; `None` if it never was.
    pub age_ms: Option<u64>,
}

impl Status {
    /// Requests the status of a member; `None` without a valid response.
    #[must_use]
    pub fn of(member: SocketAddr) -> Option<Status> {
        let response = call(member, &Request::get("/status"), TIMEOUT).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Whether the published data was known to be the newest less than `FRESHNESS_LIMIT_MS` ago.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.age_ms.is_some_and(|age| age < FRESHNESS_LIMIT_MS)
    }
}
