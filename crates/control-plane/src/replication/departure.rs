//! A member whose process ends soon: what others still need of it.

use std::time::Duration;

use super::machine::Replication;
use super::quorum::{electorate, is_settled};
use super::settings::LEAVING_CAMPAIGN_DELAY;

/// What would be missing if the process of a leaving member ended now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It holds data that the newest view relies on.
    Holds,
    /// It votes on the newest view, which is not settled: without its vote no other view may be able to follow.
    Settles,
    /// It holds no data, but still counts as a voter.
    Votes,
    /// Nothing.
    Free,
}

impl Replication {
    /// Gives the member's places to others: heartbeat answers say that it leaves, and a primary releases its lease
    /// as soon as another holder can follow.
    pub(super) fn start_leaving(&mut self, now: Duration) {
        self.leaving = true;
        if self.leadership.is_none() {
            self.campaign_at = self.campaign_at.max(now + LEAVING_CAMPAIGN_DELAY);
        }
    }

    /// What others still need of this member.
    ///
    /// A view is recorded here only after all its holders have its data on disk, so a member that the newest
    /// recorded view does not name as a holder holds nothing that is not held elsewhere.
    #[must_use]
    pub fn departure(&self, now: Duration) -> Departure {
        if self.leadership.is_some() {
            let is_only_member = self.settings.losses == 0 && self.live_members(now).len() == 1;
            return if is_only_member { Departure::Free } else { Departure::Holds };
        }
        let node = self.settings.node;
        match &self.state.view {
            Some(view) if view.holders.contains(&node) => Departure::Holds,
            Some(view) if electorate(view).contains(&node) => {
                if is_settled(view) {
                    Departure::Votes
                } else {
                    Departure::Settles
                }
            }
            _ => Departure::Free,
        }
    }
}
