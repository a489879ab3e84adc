//! Intervals, timeouts and durations that all members share, and what has to hold between them.

use std::time::Duration;

/// How often a primary sends heartbeats to all members.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How long a voter promises no epoch to others after it acknowledged a heartbeat.
pub(super) const GRANT_DURATION: Duration = Duration::from_millis(600);
/// How long a primary's lease runs from the sending of a heartbeat that a majority acknowledged.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(540);
/// A primary without a majority for this long gives up.
pub(super) const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(600);
/// A data replica without a heartbeat for this long may campaign.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// How much later each further data replica in the view's order campaigns.
pub(super) const ELECTION_STAGGER: Duration = Duration::from_millis(100);
/// How much later a data replica campaigns whose process ends soon: only where nobody else does.
pub(super) const LEAVING_CAMPAIGN_DELAY: Duration = Duration::from_secs(1);
/// Messages of a pending step are repeated after this time.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Chunks of the data that a future data replica has not confirmed are sent again after this time, then after twice
/// as long, and so on.
pub(super) const SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// The longest such time.
pub(super) const MAX_SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(2400);
/// A proposal waits no longer for the end of a view change. The operator's interface gives up after 5 s.
pub(super) const MAX_PROPOSAL_WAIT: Duration = Duration::from_millis(4500);
/// The slowest link whose time for a long entry is waited for: about 8 Mbit/s.
const MIN_LINK_BYTES_PER_SECOND: u64 = 1 << 20;
/// The slowest disk whose time for a long entry, or for the complete data, is waited for.
const MIN_DISK_BYTES_PER_SECOND: u64 = 4 << 20;
/// A view change without progress for this long is given up; after failures the next ones get more time.
pub(super) const VIEW_CHANGE_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// A voter without an acknowledgement for this long is replaced.
pub(super) const VOTER_TIMEOUT: Duration = Duration::from_millis(2500);
/// A voter that did not help to elect a new primary has this long to answer it.
pub(super) const NEW_PRIMARY_GRACE: Duration = Duration::from_millis(700);
/// A backup without an acknowledgement for this long is replaced.
pub(super) const BACKUP_TIMEOUT: Duration = Duration::from_millis(700);
/// A backup that has not stored an entry for this long, beside the time that the entry's bytes may take, is
/// brought up to date anew, or replaced.
pub(super) const APPEND_STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a member without a primary requests to join.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// A member that requested to join counts as present for this long.
pub(super) const JOIN_REQUEST_TTL: Duration = Duration::from_millis(1200);
/// A standby that is silent for this long is forgotten.
pub(super) const STANDBY_TIMEOUT: Duration = Duration::from_secs(10);
/// A primary whose heartbeat is older is not named to others.
pub(super) const KNOWN_PRIMARY_MAX_AGE: Duration = Duration::from_millis(600);
/// Callers are sent to a primary only if its heartbeat is not older: two in a row may be missing.
pub(super) const REDIRECT_MAX_AGE: Duration = Duration::from_millis(350);
/// A primary starts view changes no closer than this.
pub(super) const MIN_VIEW_CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// How far the speed of a steady clock may be from that of true time, in percent. The clocks of the
/// random histories are as far off.
const CLOCK_DRIFT_PERCENT: u128 = 2;

/// How long the slowest link takes for so many bytes.
pub(super) fn max_transmission_duration(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / MIN_LINK_BYTES_PER_SECOND)
}

/// How long the slowest disk that is waited for takes for so many bytes.
#[must_use]
pub fn max_write_duration(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / MIN_DISK_BYTES_PER_SECOND)
}

/// What has to hold between the terms.
const _: () = {
    let longest_lease = LEASE_DURATION.as_micros() * (100 + CLOCK_DRIFT_PERCENT);
    let shortest_grant = GRANT_DURATION.as_micros() * (100 - CLOCK_DRIFT_PERCENT);
    assert!(longest_lease < shortest_grant, "a lease ends before the grants that it rests on");
    assert!(
        ELECTION_TIMEOUT.as_micros() >= GRANT_DURATION.as_micros(),
        "who campaigns has no running grant of its own"
    );
    assert!(
        STEP_DOWN_TIMEOUT.as_micros() >= LEASE_DURATION.as_micros(),
        "a primary gives up once its lease has run out"
    );
    assert!(
        3 * HEARTBEAT_INTERVAL.as_micros() < LEASE_DURATION.as_micros(),
        "two heartbeats in a row may be lost within a lease"
    );
    assert!(
        KNOWN_PRIMARY_MAX_AGE.as_micros() >= LEASE_DURATION.as_micros(),
        "a primary that may hold a lease is named"
    );
    assert!(
        REDIRECT_MAX_AGE.as_micros() > 2 * HEARTBEAT_INTERVAL.as_micros()
            && REDIRECT_MAX_AGE.as_micros() <= KNOWN_PRIMARY_MAX_AGE.as_micros(),
        "callers are sent to a primary that has missed no more than two heartbeats"
    );
    assert!(
        KNOWN_PRIMARY_MAX_AGE.as_micros() <= ELECTION_TIMEOUT.as_micros(),
        "a primary is not named any more when others may follow it"
    );
    assert!(
        BACKUP_TIMEOUT.as_micros() > 3 * HEARTBEAT_INTERVAL.as_micros(),
        "a backup may miss two heartbeats in a row"
    );
    assert!(
        NEW_PRIMARY_GRACE.as_micros() <= VOTER_TIMEOUT.as_micros(),
        "the grace at a new primary is a fraction of the usual time"
    );
    assert!(
        VIEW_CHANGE_STALL_TIMEOUT.as_micros() > 2 * SYNC_RESEND_INTERVAL.as_micros()
            && VIEW_CHANGE_STALL_TIMEOUT.as_micros() > 2 * RESEND_INTERVAL.as_micros(),
        "messages of a view change are repeated before it is given up"
    );
    assert!(JOIN_REQUEST_TTL.as_micros() > 2 * JOIN_INTERVAL.as_micros(), "a request to join may be lost");
    assert!(
        STANDBY_TIMEOUT.as_micros() > VOTER_TIMEOUT.as_micros(),
        "a member is replaced before it is forgotten"
    );
};
