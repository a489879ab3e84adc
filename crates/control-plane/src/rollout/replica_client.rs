//! HTTP calls to replicas: load commands and reports.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use tulipridge_http1::Http1Limits;
use tulipridge_protocol::feed::ModelRevision;

use super::messages::{CommandOutcome, FencingToken, LoadCommand, ReplicaReport};
use crate::http_client::{Call, CallError, HttpClient};

/// Time for a complete response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Header with the id of the replica that is meant: another one may have the address by now.
const REPLICA_ID_HEADER: &str = "Meant-Server";

/// The replica that a call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEndpoint {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddrV4,
}

/// Sends a command to load `weights`, as the primary named `owner`.
pub(super) async fn send_load_command(
    replica: &ReplicaEndpoint,
    weights: &ModelRevision,
    owner: &str,
    fencing_token: FencingToken,
) -> CommandOutcome {
    let Ok(body) = serde_json::to_vec(&LoadCommand::new(weights, owner, fencing_token)) else {
        return CommandOutcome::Refused;
    };
    let headers = [(REPLICA_ID_HEADER, replica.id.as_str())];
    let call = Call { method: "POST", target: "/order", headers: &headers, body: &body };
    match client(replica.address).call(call, CALL_TIMEOUT).await {
        Ok(response) => CommandOutcome::from_status(response.status),
        // The command was not sent.
        Err(CallError::Connect { .. }) => CommandOutcome::Refused,
        Err(CallError::Broken { .. }) => CommandOutcome::Unanswered,
    }
}

/// Fetches a replica's report, or `None` if none came that can be read.
pub(super) async fn fetch_report(address: SocketAddrV4) -> Option<ReplicaReport> {
    let response = client(address).call(Call::get("/report"), CALL_TIMEOUT).await.ok()?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}

fn client(address: SocketAddrV4) -> HttpClient {
    let limits = Http1Limits { connect_timeout: CONNECT_TIMEOUT, ..Http1Limits::default() };
    HttpClient::new(SocketAddr::V4(address), limits)
}
