//! What a member tracks in addition to the replication: its disk's health, its proposals, and when a snapshot is due.

use std::time::Duration;

use rstest::rstest;
use tulipridge_control_plane::change::ProposalOutcome;
use tulipridge_control_plane::member::compaction::{
    AppliedSinceSnapshot, COMPACT_AFTER_BYTES, COMPACT_AFTER_COMMANDS,
};
use tulipridge_control_plane::member::disk_health::DiskHealthMonitor;
use tulipridge_control_plane::member::proposals::{OpenedProposal, Proposals};
use tulipridge_control_plane::replication::{FailureReason, WriteTicket};
use tulipridge_control_plane::state::Applied;
use tulipridge_protocol::number::SequenceNumber;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_write_that_hangs_makes_the_disk_unhealthy() {
    let mut monitor = DiskHealthMonitor::default();
    monitor.write_started(WriteTicket(1), 0, ms(0));
    monitor.write_started(WriteTicket(2), 0, ms(900));
    assert_eq!(monitor.health_change(ms(999)), None);
    assert_eq!(monitor.health_change(ms(1_000)), Some(false));
    assert_eq!(monitor.health_change(ms(1_500)), None, "it is reported once");
    monitor.write_finished(WriteTicket(1));
    assert_eq!(monitor.health_change(ms(1_600)), Some(true));
    assert_eq!(monitor.health_change(ms(1_900)), Some(false), "the second write hangs too");
    monitor.write_finished(WriteTicket(2));
    assert_eq!(monitor.health_change(ms(5_000)), Some(true));
}

/// The limit for a long write, and for a short one queued behind it, is extended by the time that the bytes take at
/// 4 MiB/s.
#[test]
fn a_long_write_has_a_longer_limit() {
    let mut monitor = DiskHealthMonitor::default();
    monitor.write_started(WriteTicket(1), 2 << 20, ms(0));
    monitor.write_started(WriteTicket(2), 0, ms(100));
    assert_eq!(monitor.health_change(ms(1_499)), None);
    assert_eq!(monitor.health_change(ms(1_500)), Some(false));
    monitor.write_finished(WriteTicket(1));
    assert_eq!(monitor.health_change(ms(1_599)), Some(true));
    assert_eq!(monitor.health_change(ms(1_600)), Some(false));
    monitor.write_finished(WriteTicket(2));
    assert_eq!(monitor.health_change(ms(1_700)), Some(true));
}

#[test]
fn a_refused_write_makes_the_disk_unhealthy_until_it_succeeds() {
    let mut monitor = DiskHealthMonitor::default();
    monitor.write_started(WriteTicket(1), 0, ms(0));
    monitor.write_failed();
    assert_eq!(monitor.health_change(ms(10)), Some(false));
    monitor.write_finished(WriteTicket(1));
    assert_eq!(monitor.health_change(ms(20)), Some(true));
}

#[test]
fn a_proposal_ends_when_its_entry_is_applied() {
    let mut proposals = Proposals::default();
    let OpenedProposal { ticket, outcome } = proposals.open();
    proposals.committed(SequenceNumber(4), None);
    proposals.committed(SequenceNumber(5), Some(ticket));
    proposals.applied(SequenceNumber(4), Some(Applied::Weights));
    assert!(outcome.try_recv().is_err());
    proposals.applied(SequenceNumber(5), Some(Applied::Configuration));
    assert_eq!(outcome.try_recv(), Ok(ProposalOutcome::Applied(Applied::Configuration)));
}

#[rstest]
#[case(FailureReason::NotReplicated, ProposalOutcome::NotReplicated)]
#[case(FailureReason::OutcomeUnknown, ProposalOutcome::Unknown)]
fn a_failed_proposal_reports_whether_it_may_take_effect(
    #[case] reason: FailureReason,
    #[case] expected: ProposalOutcome,
) {
    let mut proposals = Proposals::default();
    let OpenedProposal { ticket, outcome } = proposals.open();
    let other = proposals.open().outcome;
    proposals.failed(ticket, reason);
    assert_eq!(outcome.try_recv(), Ok(expected));
    assert!(other.try_recv().is_err());
}

#[rstest]
#[case::nothing(&[], false)]
#[case::one_small_command(&[(1, 300)], false)]
#[case::many_small_commands(&[(COMPACT_AFTER_COMMANDS, 0)], true)]
#[case::one_command_less(&[(COMPACT_AFTER_COMMANDS - 1, 300)], false)]
#[case::one_large_command(&[(1, COMPACT_AFTER_BYTES)], true)]
#[case::several_large_commands(&[(1, COMPACT_AFTER_BYTES - 1), (1, 1)], true)]
fn a_snapshot_is_due_after_many_commands_or_bytes(#[case] commands: &[(usize, usize)], #[case] due: bool) {
    let mut applied = AppliedSinceSnapshot::default();
    for (count, length) in commands {
        for _ in 0..*count {
            applied.record(*length);
        }
    }
    assert_eq!(applied.is_snapshot_due(), due);
}
