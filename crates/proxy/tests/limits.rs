//! Timeouts, and the connection limits derived from the number of file descriptors.

use std::time::{Duration, Instant};

use tulipridge_proxy::bounds::ResourceLimits;
use tulipridge_proxy::timer_queue::TimerQueue;

#[test]
fn a_timeout_ends_only_futures_that_are_too_slow() {
    let past = Instant::now();
    let timers = TimerQueue::default();
    futures_lite::future::block_on(async {
        assert_eq!(timers.timeout_at(past, std::future::pending::<()>()).await, None);
        assert_eq!(timers.timeout_at(past + Duration::from_secs(9), async { 1 }).await, Some(1));
    });
}

#[test]
fn connections_leave_the_reserved_descriptors_alone() {
    let bounds = ResourceLimits::for_file_handles(4100);
    assert!(bounds.clients + bounds.replicas <= 3800, "{bounds:?}");
    assert!(bounds.clients > 2 * bounds.replicas - 10, "{bounds:?}");
    assert!(
        ResourceLimits::for_file_handles(0).clients > 0 && ResourceLimits::for_file_handles(0).replicas > 0
    );
}
