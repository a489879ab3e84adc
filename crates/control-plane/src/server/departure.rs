//! Departure of a member: when its process exits after a stop signal.

use std::time::Duration;

use async_io::Timer;
use tulipridge_runtime::clock;

use crate::member::Member;
use crate::replication::Departure;

/// Time for which a stopping member still serves clients, so that they can find its successor.
const STOP_GRACE: Duration = Duration::from_millis(1_200);
/// Time for which a voter waits to be replaced. It exits after that, since there may be no replacement and its disk is
/// kept.
const VOTE_GRACE: Duration = Duration::from_millis(2_500);
/// Time before the process would be killed at which it exits on its own.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Interval of the checks whether others still need the member.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether the process may exit `waited` after its stop signal, if it will be killed
/// `termination_grace_period` after that signal. Reads no clock.
#[must_use]
pub fn may_exit(waited: Duration, termination_grace_period: Duration, departure: Departure) -> bool {
    if waited >= termination_grace_period.saturating_sub(KILL_MARGIN) {
        return true;
    }
    match departure {
        Departure::Safe => waited >= STOP_GRACE,
        Departure::Votes => waited >= VOTE_GRACE,
        Departure::StoresData | Departure::NeededToCompleteView => false,
    }
}

/// Releases the member's lease and its roles in the view, and returns once its process may exit.
pub(super) async fn depart(member: &Member, termination_grace_period: Duration) {
    let started = clock::now();
    member.shut_down();
    loop {
        let departure = member.departure();
        let waited = clock::now().saturating_sub(started);
        if may_exit(waited, termination_grace_period, departure) {
            log::info!(departure:% = departure, waited_ms = waited.as_millis() as u64; "the member exits");
            return;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
