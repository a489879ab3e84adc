//! A member whose process ends soon: what others still need of it.

use std::time::Duration;

use super::machine::Replication;
use super::quorum::{electorate, is_view_complete};
use super::timing::LEAVING_CAMPAIGN_DELAY;

/// What would be missing if the process of a leaving member ended now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It stores data that the newest view relies on.
    StoresData,
    /// It votes on the newest view, which is not known to be in force: without its vote no other view may be able
    /// to follow.
    CompletesView,
    /// It stores no data, but still counts as a voter.
    Votes,
    /// Nothing.
    Free,
}

impl Replication {
    /// Gives the member's seats in the view to others: heartbeat acknowledgements report that it leaves, and a
    /// primary releases its lease as soon as another data replica can follow.
    pub(super) fn start_leaving(&mut self, now: Duration) {
        self.lifecycle.mark_leaving();
        if self.leadership.is_none() {
            self.election.postpone_until(now + LEAVING_CAMPAIGN_DELAY);
        }
    }

    /// What others still need of this member.
    ///
    /// A view is recorded here only after all its data replicas have its data on disk, so a member that the newest
    /// recorded view does not name as one stores nothing that is not stored elsewhere.
    #[must_use]
    pub fn departure(&self, now: Duration) -> Departure {
        if self.leadership.is_some() {
            let is_only_member = self.settings.tolerated_failures == 0 && self.live_members(now).len() == 1;
            return if is_only_member { Departure::Free } else { Departure::StoresData };
        }
        let node = self.settings.node;
        match self.storage.view() {
            Some(view) if view.data_replicas.contains(&node) => Departure::StoresData,
            Some(view) if !electorate(view).contains(&node) => Departure::Free,
            Some(view) if is_view_complete(view) => Departure::Votes,
            Some(_) => Departure::CompletesView,
            None => Departure::Free,
        }
    }
}
