//! How a member sees the control plane.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::client::{Request, call};

/// Time for a member to answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// What a member answers to `GET /status`, as far as it is used here.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The member: address and generation of its disk.
    pub node: String,
    /// What it is.
    pub role: String,
    /// It is the primary, and a majority confirms it.
    pub lease: bool,
    /// The epoch of the newest view that it knows.
    pub epoch: u64,
    /// Who votes.
    pub voters: Vec<String>,
    /// Who holds the data; the first is the primary.
    pub holders: Vec<String>,
    /// The primary, if it was heard lately.
    pub primary: Option<String>,
    /// The newest configuration that it delivers.
    pub configuration: u64,
    /// The newest weights that were named, by model.
    pub weights: BTreeMap<String, u64>,
    /// How many replicas it delivers.
    pub replicas: usize,
    /// How long ago what it delivers was known to be the newest, in milliseconds.
    pub age_ms: Option<u64>,
}

impl Status {
    /// Asks a member; none if it does not answer.
    #[must_use]
    pub fn of(member: SocketAddr) -> Option<Status> {
        let answer = call(member, &Request::get("/status"), TIMEOUT).ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Whether what it delivers is fresh.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.age_ms.is_some_and(|age| age < 1_000)
    }

    /// Whether a machine votes.
    #[must_use]
    pub fn has_voter(&self, address: Ipv4Addr) -> bool {
        self.voters.iter().any(|node| is_at(node, address))
    }

    /// Whether a machine holds the data.
    #[must_use]
    pub fn has_holder(&self, address: Ipv4Addr) -> bool {
        self.holders.iter().any(|node| is_at(node, address))
    }
}

fn is_at(node: &str, address: Ipv4Addr) -> bool {
    node.split_once('/').is_some_and(|(ip, _)| ip == address.to_string())
}
