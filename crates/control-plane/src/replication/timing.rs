//! Intervals, timeouts and durations that all members share, and the relations that must hold between them.

use std::time::Duration;

/// How often a primary sends heartbeats to all members.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How long a voter makes no promise to other proposers after it acknowledged a heartbeat.
pub(super) const GRANT_DURATION: Duration = Duration::from_millis(600);
/// How long a primary's lease lasts, counted from the sending of a heartbeat that a majority acknowledged.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(540);
/// A primary steps down after this time without acknowledgements from a majority.
pub(super) const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(600);
/// A data replica may campaign after this time without a heartbeat.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Additional delay before a campaign for each rank in the view's order of data replicas.
pub(super) const ELECTION_STAGGER: Duration = Duration::from_millis(100);
/// Additional delay before a campaign of a leaving data replica, so that it campaigns only if no other one does.
pub(super) const LEAVING_CAMPAIGN_DELAY: Duration = Duration::from_secs(1);
/// How often messages of a pending step are resent.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// First delay before unconfirmed chunks of a state transfer are resent. It doubles with each further resend, up
/// to [`MAX_SYNC_RESEND_INTERVAL`].
pub(super) const SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// The longest delay between resends of the chunks of a state transfer.
pub(super) const MAX_SYNC_RESEND_INTERVAL: Duration = Duration::from_millis(2400);
/// How long a proposal waits for the end of a view change. Below the 5 s timeout of the operator's interface.
pub(super) const MAX_PROPOSAL_WAIT: Duration = Duration::from_millis(4500);
/// The slowest link that timeouts for long entries allow for: about 8 Mbit/s.
const MIN_LINK_BYTES_PER_SECOND: u64 = 1 << 20;
/// The slowest disk that timeouts for long entries and for the complete data allow for.
const MIN_DISK_BYTES_PER_SECOND: u64 = 4 << 20;
/// A view change is abandoned after this time without progress. The time grows with consecutive failures.
pub(super) const VIEW_CHANGE_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// A voter is replaced after this time without an acknowledgement.
pub(super) const VOTER_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a voter that is no data replica has to acknowledge a heartbeat of a new primary.
pub(super) const NEW_PRIMARY_GRACE: Duration = Duration::from_millis(700);
/// A backup is replaced after this time without an acknowledgement.
pub(super) const BACKUP_TIMEOUT: Duration = Duration::from_millis(700);
/// A backup is brought up to date again, or replaced, if it stores no entry for this long, plus the time that the
/// entry's bytes may take.
pub(super) const APPEND_STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a member without a primary requests to join.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// How long a request to join counts as a sign of life.
pub(super) const JOIN_REQUEST_TTL: Duration = Duration::from_millis(1200);
/// A standby is removed from the peers after this time without a message.
pub(super) const STANDBY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of the last heartbeat of a primary that is reported as known.
pub(super) const KNOWN_PRIMARY_MAX_AGE: Duration = Duration::from_millis(600);
/// Maximum age of the last heartbeat of a primary that callers are redirected to: two in a row may be missing.
pub(super) const REDIRECT_MAX_AGE: Duration = Duration::from_millis(350);
/// Minimum time between the starts of two view changes of a primary.
pub(super) const MIN_VIEW_CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum drift of a monotonic clock from true time, in percent. The random-history tests use clocks with the same
/// drift.
const CLOCK_DRIFT_PERCENT: u128 = 2;

/// How long the slowest supported link takes to transmit `bytes`.
pub(super) fn max_transmission_duration(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / MIN_LINK_BYTES_PER_SECOND)
}

/// How long the slowest supported disk takes to write `bytes`.
#[must_use]
pub fn max_write_duration(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / MIN_DISK_BYTES_PER_SECOND)
}

/// Relations that must hold between the durations.
const _: () = {
    let longest_lease = LEASE_DURATION.as_micros() * (100 + CLOCK_DRIFT_PERCENT);
    let shortest_grant = GRANT_DURATION.as_micros() * (100 - CLOCK_DRIFT_PERCENT);
    assert!(longest_lease < shortest_grant, "a lease must end before the grants that it relies on");
    assert!(
        ELECTION_TIMEOUT.as_micros() >= GRANT_DURATION.as_micros(),
        "a member that campaigns must have no unexpired grant to another member"
    );
    assert!(
        STEP_DOWN_TIMEOUT.as_micros() >= LEASE_DURATION.as_micros(),
        "a primary must not step down before its lease has expired"
    );
    assert!(
        3 * HEARTBEAT_INTERVAL.as_micros() < LEASE_DURATION.as_micros(),
        "a lease must survive the loss of two heartbeats in a row"
    );
    assert!(
        KNOWN_PRIMARY_MAX_AGE.as_micros() >= LEASE_DURATION.as_micros(),
        "a primary that may hold a lease must be reported"
    );
    assert!(
        REDIRECT_MAX_AGE.as_micros() > 2 * HEARTBEAT_INTERVAL.as_micros()
            && REDIRECT_MAX_AGE.as_micros() <= KNOWN_PRIMARY_MAX_AGE.as_micros(),
        "callers must be redirected only to a primary that has missed at most two heartbeats"
    );
    assert!(
        KNOWN_PRIMARY_MAX_AGE.as_micros() <= ELECTION_TIMEOUT.as_micros(),
        "a primary must not be reported once another member may campaign"
    );
    assert!(
        BACKUP_TIMEOUT.as_micros() > 3 * HEARTBEAT_INTERVAL.as_micros(),
        "a backup must survive the loss of two heartbeats in a row"
    );
    assert!(
        NEW_PRIMARY_GRACE.as_micros() <= VOTER_TIMEOUT.as_micros(),
        "the grace period of a new primary must not exceed the voter timeout"
    );
    assert!(
        VIEW_CHANGE_STALL_TIMEOUT.as_micros() > 2 * SYNC_RESEND_INTERVAL.as_micros()
            && VIEW_CHANGE_STALL_TIMEOUT.as_micros() > 2 * RESEND_INTERVAL.as_micros(),
        "messages of a view change must be resent before it is abandoned"
    );
    assert!(
        JOIN_REQUEST_TTL.as_micros() > 2 * JOIN_INTERVAL.as_micros(),
        "one lost request to join must not make a member absent"
    );
    assert!(
        STANDBY_TIMEOUT.as_micros() > VOTER_TIMEOUT.as_micros(),
        "a member must be replaced before it is removed from the peers"
    );
};
