//! What a change costs the disks of the holders.

use std::fs;

use serde::Serialize;

use super::{CHANGE_LIMIT, start};
use crate::deployment::{Deployment, Plan};
use crate::disk;
use crate::error::Result;
use crate::operator::Change;

/// The costs of a change for one size of the document.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CostReport {
    /// Bytes of the document.
    pub document_bytes: usize,
    /// Bytes of the operator's call.
    pub call_bytes: usize,
    /// Changes that were made.
    pub changes: u64,
    /// What each holder has written for a change, the primary first.
    pub holders: Vec<HolderCost>,
}

/// The costs at one holder.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HolderCost {
    /// Bytes that were added to the log for a change.
    pub log_bytes: f64,
    /// Appends to the log for a change; each one is synced once.
    pub appends: f64,
    /// Bytes that the system has written to the disk for a change, from `/proc/PID/io`.
    pub disk_bytes: f64,
}

#[derive(Clone, Copy)]
struct Counters {
    log_bytes: u64,
    appends: u64,
    disk_bytes: u64,
}

impl Counters {
    fn of(deployment: &Deployment, index: usize) -> Counters {
        let member = &deployment.members[index];
        let (log_bytes, appends) = disk::log_size(&member.folder);
        let io = member.process.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/io")).ok());
        let disk_bytes = io.as_deref().and_then(written_bytes).unwrap_or(0);
        Counters { log_bytes, appends, disk_bytes }
    }
}

fn written_bytes(io: &str) -> Option<u64> {
    io.lines().find_map(|line| line.strip_prefix("write_bytes: "))?.parse().ok()
}

/// Makes so many changes to a document with a note of so many bytes. They must fit into one segment of the log.
pub fn cost(note_bytes: usize, changes: u64) -> Result<CostReport> {
    let deployment = start(Plan { edges: 0, ..Plan::default() })?;
    let operator = deployment.operator();
    let first = Change { method: "PUT", if_match: 1, revision: 2, ..Change::first(note_bytes) };
    let body = String::from_utf8_lossy(&first.body).replace("\"revision\":1", "\"revision\":2");
    let first = Change { body: body.into_bytes(), ..first };
    operator.apply(&first, CHANGE_LIMIT)?;
    let holders = [deployment.wait_for_primary()?, deployment.backup()?];
    let before = holders.map(|index| Counters::of(&deployment, index));
    let mut call_bytes = 0;
    for base in 2..2 + changes {
        let change = Change::upsert_route(base, "base", base);
        call_bytes = change.body.len();
        operator.apply(&change, CHANGE_LIMIT)?;
    }
    let after = holders.map(|index| Counters::of(&deployment, index));
    let for_each = |before: u64, after: u64| after.saturating_sub(before) as f64 / changes as f64;
    let holders = before.iter().zip(&after).map(|(before, after)| HolderCost {
        log_bytes: for_each(before.log_bytes, after.log_bytes),
        appends: for_each(before.appends, after.appends),
        disk_bytes: for_each(before.disk_bytes, after.disk_bytes),
    });
    let document_bytes = operator.configuration(CHANGE_LIMIT)?.to_string().len();
    Ok(CostReport { document_bytes, call_bytes, changes, holders: holders.collect() })
}
