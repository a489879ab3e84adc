//! Settings of a member, and the terms that all members share.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

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
/// How much later a holder campaigns whose process ends soon: only where nobody else does.
pub(super) const LEAVING_CAMPAIGN_DELAY: Duration = Duration::from_secs(1);
/// Messages of a pending step are repeated after this time.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Parts of the data that a future holder has not confirmed are sent again after this time, then after twice as
/// long, and so on.
pub(super) const SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// The longest such time.
pub(super) const LONGEST_SYNC_RESEND: Duration = Duration::from_millis(2400);
/// A proposal waits no longer for the end of a view change. The operator's interface gives up after 5 s.
pub(super) const LONGEST_PROPOSAL_WAIT: Duration = Duration::from_millis(4500);
/// The slowest link, in bytes a second, whose time for a long entry is waited for: about 8 Mbit/s.
const SLOWEST_LINK: u64 = 1 << 20;
/// The slowest disk, in bytes a second, whose time for a long entry, or for the whole data, is waited for.
const SLOWEST_DISK: u64 = 4 << 20;
/// A view change without progress for this long is given up; after failures the next ones get more time.
pub(super) const ATTEMPT_STALL: Duration = Duration::from_millis(800);
/// A voter without an acknowledgement for this long is exchanged.
pub(super) const VOTER_DEAD_AFTER: Duration = Duration::from_millis(2500);
/// A voter that did not help to elect a new primary has this long to answer it.
pub(super) const NEW_PRIMARY_GRACE: Duration = Duration::from_millis(700);
/// A backup without an acknowledgement for this long is exchanged.
pub(super) const BACKUP_DEAD_AFTER: Duration = Duration::from_millis(700);
/// A backup that has not stored an entry for this long, beside the time that the entry's bytes may take, is brought up to date anew, or exchanged.
pub(super) const APPEND_STALL: Duration = Duration::from_millis(1500);
/// How often a member without a primary asks to be taken in.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// A member that asked to be taken in counts as present for this long.
pub(super) const JOIN_FRESH: Duration = Duration::from_millis(1200);
/// A standby that says nothing for this long is forgotten.
pub(super) const STANDBY_FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// A primary whose heartbeat is older is not named to others.
pub(super) const PRIMARY_KNOWN_FOR: Duration = Duration::from_millis(600);
/// Callers are sent to a primary only if its heartbeat is not older: two in a row may be missing.
pub(super) const REDIRECT_FOR: Duration = Duration::from_millis(350);
/// A primary starts view changes no closer than this.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// How far the speed of a steady clock may be from that of true time, in parts of a hundred. The clocks of the
/// random histories are as far off.
const CLOCK_DRIFT_PERCENT: u128 = 2;

/// How long the slowest link takes for so many bytes.
pub(super) fn longest_transmission(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / SLOWEST_LINK)
}

/// How long the slowest disk that is waited for takes for so many bytes.
#[must_use]
pub fn longest_write(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / SLOWEST_DISK)
}

/// What has to hold between the terms.
const _: () = {
    let longest_lease = LEASE_TERM.as_micros() * (100 + CLOCK_DRIFT_PERCENT);
    let shortest_grant = GRANT_TERM.as_micros() * (100 - CLOCK_DRIFT_PERCENT);
    assert!(longest_lease < shortest_grant, "a lease ends before the grants that it rests on");
    assert!(
        ELECTION_TIMEOUT.as_micros() >= GRANT_TERM.as_micros(),
        "who campaigns has no running grant of its own"
    );
    assert!(
        STEP_DOWN_AFTER.as_micros() >= LEASE_TERM.as_micros(),
        "a primary gives up once its lease has run out"
    );
    assert!(
        3 * HEARTBEAT_INTERVAL.as_micros() < LEASE_TERM.as_micros(),
        "two heartbeats in a row may be lost within a lease"
    );
    assert!(
        PRIMARY_KNOWN_FOR.as_micros() >= LEASE_TERM.as_micros(),
        "a primary that may hold a lease is named"
    );
    assert!(
        REDIRECT_FOR.as_micros() > 2 * HEARTBEAT_INTERVAL.as_micros()
            && REDIRECT_FOR.as_micros() <= PRIMARY_KNOWN_FOR.as_micros(),
        "callers are sent to a primary that has missed no more than two heartbeats"
    );
    assert!(
        PRIMARY_KNOWN_FOR.as_micros() <= ELECTION_TIMEOUT.as_micros(),
        "a primary is not named any more when others may follow it"
    );
    assert!(
        BACKUP_DEAD_AFTER.as_micros() > 3 * HEARTBEAT_INTERVAL.as_micros(),
        "a backup may miss two heartbeats in a row"
    );
    assert!(
        NEW_PRIMARY_GRACE.as_micros() <= VOTER_DEAD_AFTER.as_micros(),
        "the grace at a new primary is a part of the usual time"
    );
    assert!(
        ATTEMPT_STALL.as_micros() > 2 * SYNC_RESEND_INTERVAL.as_micros()
            && ATTEMPT_STALL.as_micros() > 2 * RESEND_INTERVAL.as_micros(),
        "messages of a view change are repeated before it is given up"
    );
    assert!(JOIN_FRESH.as_micros() > 2 * JOIN_INTERVAL.as_micros(), "a request to be taken in may be lost");
    assert!(
        STANDBY_FORGOTTEN_AFTER.as_micros() > VOTER_DEAD_AFTER.as_micros(),
        "a member is exchanged before it is forgotten"
    );
};

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
    #[must_use]
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
