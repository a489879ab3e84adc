//! What was seen of one real server.

use std::collections::VecDeque;

use tulipridge::types::Nanos;

use super::Server;
use super::statistics::{average, round};
use super::tally::WINDOWS_PER_SECOND;

/// One real server up to now.
#[derive(Default)]
pub(super) struct ServerHistory {
    pub(super) name: String,
    pub(super) kind: String,
    pub(super) arrivals: u64,
    pub(super) attempts: u64,
    pub(super) errors: u64,
    pub(super) had_room: u64,
    /// Its load in each window after the warm-up; none while it is not there.
    pub(super) loads: Vec<Option<f64>>,
    pub(super) places: f64,
    pub(super) fresh: bool,
    pub(super) alive: bool,
    pub(super) in_hand: usize,
    pub(super) queued: usize,
    pub(super) since: Nanos,
    pub(super) load: f64,
    pub(super) recent: VecDeque<Nanos>,
    pub(super) connections: usize,
}

impl ServerHistory {
    /// The figures that it comes to; `turned_down` is how many clients' tries were, wherever they were tried.
    pub(super) fn server(&self, turned_down: u64) -> Server {
        Server {
            name: self.name.clone(),
            kind: self.kind.clone(),
            load: round(average(self.loads.iter().flatten()).unwrap_or(0.0)),
            arrivals: self.arrivals,
            attempts: self.attempts,
            errors: self.errors,
            had_room: round(self.had_room as f64 / turned_down.max(1) as f64),
            loads: self
                .loads
                .chunks(WINDOWS_PER_SECOND)
                .map(|second| average(second.iter().flatten()).map(round))
                .collect(),
        }
    }
}
