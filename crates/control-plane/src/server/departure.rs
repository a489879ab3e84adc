//! When the process of a member that was told to stop ends. No clock.

use std::time::Duration;

use crate::replication::Departure;

/// Time for which a member that was told to stop still answers callers, so that they find its successor.
const STOP_GRACE: Duration = Duration::from_millis(1_200);
/// A voter waits so long for another member to take its place. There may be none, and its disk stays.
const VOTE_GRACE: Duration = Duration::from_millis(2_500);
/// The process ends by itself so long before it is killed.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Whether the process may end, `waited` after it was told to stop, if it is killed after `leeway`.
#[must_use]
pub fn may_end(waited: Duration, leeway: Duration, departure: Departure) -> bool {
    if waited >= leeway.saturating_sub(END_MARGIN) {
        return true;
    }
    match departure {
        Departure::Free => waited >= STOP_GRACE,
        Departure::Votes => waited >= VOTE_GRACE,
        Departure::StoresData | Departure::CompletesView => false,
    }
}
