//! When the process of a member that is to stop ends.

use std::time::Duration;

use async_io::Timer;
use tulipridge_runtime::clock;

use crate::member::Member;
use crate::replication::Departure;

/// Time for which a member that is to stop still serves callers, so that they find its successor.
const STOP_GRACE: Duration = Duration::from_millis(1_200);
/// Time for which a voter waits for another member to replace it. There may be none, and its disk stays.
const VOTE_GRACE: Duration = Duration::from_millis(2_500);
/// The process ends by itself so long before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// How often it is checked whether others still need the member.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the process may end, `waited` after it was asked to stop, if it is killed after `leeway`. Reads no clock.
#[must_use]
pub fn may_exit(waited: Duration, termination_grace_period: Duration, departure: Departure) -> bool {
    if waited >= termination_grace_period.saturating_sub(KILL_MARGIN) {
        return true;
    }
    match departure {
        Departure::Free => waited >= STOP_GRACE,
        Departure::Votes => waited >= VOTE_GRACE,
        Departure::StoresData | Departure::CompletesView => false,
    }
}

/// Gives up the member's lease and its seats in the view, and returns once its process may end.
pub(super) async fn depart(member: &Member, termination_grace_period: Duration) {
    let started = clock::now();
    member.terminate();
    loop {
        let departure = member.departure();
        let waited = clock::now().saturating_sub(started);
        if may_exit(waited, termination_grace_period, departure) {
            log::info!(departure:? = departure, waited_ms = waited.as_millis() as u64; "the member leaves");
            return;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
