//! Bytes and syncs that a change causes at the disks of the replication group.

use std::fs;

use serde::Serialize;

use super::setup::{CHANGE_TIMEOUT, start};
use crate::deployment::{Deployment, Topology};
use crate::disk;
use crate::error::Result;
use crate::operator::{Change, OperatorClient};

/// The measured cost of a change for one size of the document.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ChangeCostReport {
    /// Size of the configuration document in bytes.
    pub document_bytes: usize,
    /// Size of the operator's last request body in bytes.
    #[serde(rename = "callBytes")]
    pub request_bytes: usize,
    /// The number of changes.
    pub changes: u64,
    /// The mean cost at each member of the replication group, the primary first.
    #[serde(rename = "holders")]
    pub members: Vec<MemberCost>,
}

/// The mean cost of a change at one member.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberCost {
    /// Bytes appended to the log.
    pub log_bytes: f64,
    /// Appends to the log; each is synced once.
    pub appends: f64,
    /// Bytes that the operating system has written to the disk, from `/proc/PID/io`; 0 if it can't be read.
    pub disk_bytes: f64,
}

impl MemberCost {
    fn between(before: Counters, after: Counters, changes: u64) -> MemberCost {
        let per_change = |before: u64, after: u64| after.saturating_sub(before) as f64 / changes as f64;
        MemberCost {
            log_bytes: per_change(before.log_bytes, after.log_bytes),
            appends: per_change(before.appends, after.appends),
            disk_bytes: per_change(before.disk_bytes, after.disk_bytes),
        }
    }
}

/// Counters of a member since its start.
#[derive(Clone, Copy)]
struct Counters {
    log_bytes: u64,
    appends: u64,
    disk_bytes: u64,
}

impl Counters {
    fn of(deployment: &Deployment, index: usize) -> Counters {
        let member = &deployment.members[index];
        let log = disk::log_size(&member.data_folder);
        let io = member.process.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/io")).ok());
        let disk_bytes = io.as_deref().and_then(parse_written_bytes).unwrap_or(0);
        Counters { log_bytes: log.bytes, appends: log.frame_count, disk_bytes }
    }
}

fn parse_written_bytes(io: &str) -> Option<u64> {
    io.lines().find_map(|line| line.strip_prefix("write_bytes: "))?.parse().ok()
}

/// Measures the cost of `changes` changes to a document with a note of `padding_bytes` bytes. All changes must fit into
/// one segment of the log.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment or of a change.
pub fn measure_change_cost(padding_bytes: usize, changes: u64) -> Result<ChangeCostReport> {
    let deployment = start(Topology { edges: 0, ..Topology::default() })?;
    let operator = deployment.operator();
    replace_configuration(&operator, padding_bytes)?;
    let group = [deployment.wait_for_primary()?, deployment.wait_for_backup()?];
    let before = group.map(|index| Counters::of(&deployment, index));
    let mut request_bytes = 0;
    for base in 2..2 + changes {
        let change = Change::upsert_route(base, "base", base);
        request_bytes = change.body.len();
        operator.apply(&change, CHANGE_TIMEOUT)?;
    }
    let after = group.map(|index| Counters::of(&deployment, index));
    let costs = before.iter().zip(&after);
    let members = costs.map(|(before, after)| MemberCost::between(*before, *after, changes)).collect();
    let document_bytes = operator.configuration(CHANGE_TIMEOUT)?.to_string().len();
    Ok(ChangeCostReport { document_bytes, request_bytes, changes, members })
}

/// Replaces the first configuration by a configuration with a note, as revision 2.
fn replace_configuration(operator: &OperatorClient, padding_bytes: usize) -> Result<u64> {
    let first = Change::first(padding_bytes);
    let body = String::from_utf8_lossy(&first.body).replace("\"revision\":1", "\"revision\":2");
    let second = Change { if_match: 1, revision: 2, body: body.into_bytes(), ..first };
    operator.apply(&second, CHANGE_TIMEOUT)
}
