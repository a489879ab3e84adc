//! Settings of a member, and the terms that all members share.

use std::time::Duration;

use intercom::control::View;
use intercom::node::NodeId;

/// How often a primary tells all members that it is there.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How long a voter promises no epoch to others after it acknowledged a heartbeat.
pub(super) const GRANT_TERM: Duration = Duration::from_millis(600);
/// How long a primary's lease runs from the sending of a heartbeat that a majority acknowledged.
pub(super) const LEASE_TERM: Duration = Duration::from_millis(540);
/// A primary without a majority for this long gives up.
pub(super) const STEP_DOWN_AFTER: Duration = Duration::from_millis(600);
/// A holder without a heartbeat for this long may campaign.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// How much later each further holder in the view's order campaigns.
pub(super) const ELECTION_STAGGER: Duration = Duration::from_millis(100);
/// Messages of a pending step are repeated after this time.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// The whole state is sent again after this time.
pub(super) const SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// A view change without progress for this long is given up; after failures the next ones get more time.
pub(super) const ATTEMPT_STALL: Duration = Duration::from_millis(800);
/// A voter without an acknowledgement for this long is exchanged.
pub(super) const VOTER_DEAD_AFTER: Duration = Duration::from_millis(2500);
/// A voter that did not help to elect a new primary has this long to answer it.
pub(super) const NEW_PRIMARY_GRACE: Duration = Duration::from_millis(700);
/// A backup without an acknowledgement for this long is exchanged.
pub(super) const BACKUP_DEAD_AFTER: Duration = Duration::from_millis(700);
/// A backup that has not stored an entry for this long is brought up to date anew, or exchanged.
pub(super) const APPEND_STALL: Duration = Duration::from_millis(1500);
/// How often a member without a primary asks to be taken in.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// A member that asked to be taken in counts as present for this long.
pub(super) const JOIN_FRESH: Duration = Duration::from_millis(1200);
/// A standby that says nothing for this long is forgotten.
pub(super) const STANDBY_FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// A primary whose heartbeat is older is not named to others.
pub(super) const PRIMARY_KNOWN_FOR: Duration = Duration::from_millis(600);
/// View changes for a member that has promised a higher epoch come no closer than this.
pub(super) const FORCED_CHANGE_INTERVAL: Duration = Duration::from_millis(1000);

/// Who this member is, and how many losses the system withstands.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// This member.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// The seeds, with generation 0. At the first boot they form the first view.
    pub seeds: Vec<NodeId>,
    /// How many machines may be lost at the same time (f).
    pub losses: u32,
    /// The whole system starts for the first time.
    pub first_boot: bool,
    /// Seed of the jitter.
    pub seed: u64,
}

impl ReplicationSettings {
    /// The view that a seed starts with at the first boot; none for others and later.
    ///
    /// It goes to the disk together with the generation, in one record: a disk of generation 0 without it
    /// must not make up a first view later, from other seeds.
    pub fn first_view(&self) -> Option<View> {
        if !self.first_boot || self.node.generation != 0 || !self.seeds.contains(&self.node) {
            return None;
        }
        let mut voters = self.seeds.clone();
        voters.sort_unstable();
        voters.dedup();
        let holders = voters.iter().copied().take(self.wanted_holders()).collect();
        Some(View { epoch: 0, voters, previous_voters: Vec::new(), holders })
    }

    /// Wanted number of voters.
    pub(super) fn wanted_voters(&self) -> usize {
        2 * self.losses as usize + 1
    }

    /// Wanted number of holders.
    pub(super) fn wanted_holders(&self) -> usize {
        self.losses as usize + 1
    }
}
