//! Departure of a member: what the group still needs from the member before its process may end.

use std::fmt;
use std::time::Duration;

use super::machine::Replication;
use super::quorum::{electorate, is_view_complete};
use super::timing::LEAVING_CAMPAIGN_DELAY;

/// What the group would lose if the process of a leaving member ended now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The member stores data that the newest view relies on.
    StoresData,
    /// The member votes on the newest view, which is not known to be in force: without this vote, it may be
    /// impossible to install any further view.
    NeededToCompleteView,
    /// The member stores no data, but still counts as a voter.
    Votes,
    /// The process may end: the group would lose nothing.
    Safe,
}

/// The name in the log, which operators look for.
impl fmt::Display for Departure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Departure::StoresData => "StoresData",
            Departure::NeededToCompleteView => "CompletesView",
            Departure::Votes => "Votes",
            Departure::Safe => "Free",
        })
    }
}

impl Replication {
    /// Starts to hand over this member's roles: its heartbeat acknowledgements report that it is leaving, and a
    /// primary releases its lease as soon as another data replica can succeed it.
    pub(super) fn start_leaving(&mut self, now: Duration) {
        self.lifecycle.mark_leaving();
        if self.leadership.is_none() {
            self.election.postpone_until(now + LEAVING_CAMPAIGN_DELAY);
        }
    }

    /// What the group still needs from this member.
    ///
    /// A view is recorded only after all its data replicas have its data on disk. All data of a member that is not a
    /// data replica of the newest recorded view is therefore also stored elsewhere.
    #[must_use]
    pub fn departure(&self, now: Duration) -> Departure {
        if self.leadership.is_some() {
            let is_only_member = self.settings.tolerated_failures == 0 && self.live_members(now).len() == 1;
            return if is_only_member { Departure::Safe } else { Departure::StoresData };
        }
        let node = self.settings.node;
        match self.storage.view() {
            Some(view) if view.data_replicas.contains(&node) => Departure::StoresData,
            Some(view) if !electorate(view).contains(&node) => Departure::Safe,
            Some(view) if is_view_complete(view) => Departure::Votes,
            Some(_) => Departure::NeededToCompleteView,
            None => Departure::Safe,
        }
    }
}
