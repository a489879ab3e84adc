//! Synchronization of members over slow links, with slow disks, and after many changes.

mod bandwidth_limited_cluster;
mod support;

use std::time::Duration;

use bandwidth_limited_cluster::{
    CONFIGURATION_BYTES, Cluster, DiskSpeed, End, FAST_LINK, Interceptor, SLOW_LINK,
};
use rstest::rstest;
use support::checker::Violation;
use tulipridge_control_plane::replication::transfer::{Chunk, EncodedData};
use tulipridge_control_plane::replication::{DurableState, FailureReason, LogPosition};
use tulipridge_protocol::frame::MAX_MESSAGE_BYTES;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage};

/// Factor by which a slow disk is slower.
const SLOW_DISK_FACTOR: u32 = 30;
/// Length of a short command in bytes.
const SHORT_COMMAND_BYTES: usize = 100;

/// Time within which a lost voter is replaced.
const REPLACEMENT_TIME: Duration = seconds(5);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Three seeds and a standby, with one configuration committed.
fn with_configuration() -> Cluster {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.acknowledge(CONFIGURATION_BYTES, seconds(5)).expect("the first change");
    cluster.run_for(seconds(2));
    cluster
}

fn slow_down(cluster: &mut Cluster, members: &[usize]) {
    for index in members {
        cluster.members[*index].speed = DiskSpeed::USUAL.slower(SLOW_DISK_FACTOR);
    }
}

/// Kills the backup, and resets the message counts. Returns the backup.
fn kill_backup(cluster: &mut Cluster) -> usize {
    let backup = cluster.data_replicas()[1];
    cluster.kill(backup);
    cluster.traffic.clear();
    backup
}

fn assert_no_violation(cluster: &Cluster) {
    assert_eq!(cluster.checker.violation, None);
}

/// Kills the primary after earlier lost voters are replaced: the one backup must succeed it.
fn assert_backup_succeeds_primary(cluster: &mut Cluster) {
    cluster.run_for(REPLACEMENT_TIME);
    let (primary, index) = (cluster.data_replicas()[0], cluster.data_replicas()[1]);
    cluster.kill(primary);
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the change is acknowledged");
    assert_eq!(cluster.primary(), Some(index));
    assert_no_violation(cluster);
}

/// The backup is lost: changes wait until another member has the data, which is 1.3 MB. The loss is detected after
/// 0.6 s, and the data takes 1.04 s on the slow link.
#[rstest]
#[case::fast_link(FAST_LINK, &[], 700)]
#[case::slow_link(SLOW_LINK, &[], 1800)]
#[case::slow_disk(FAST_LINK, &[0, 1, 2, 3], 1300)]
#[case::both_slow(SLOW_LINK, &[0, 1, 2, 3], 2400)]
fn a_change_waits_for_the_new_backup(
    #[case] link_speed: u64,
    #[case] slow: &[usize],
    #[case] limit_ms: u64,
) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    kill_backup(&mut cluster);
    let waited =
        cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("a new backup is synchronized");
    println!("waited {waited:?}; {:?}", cluster.traffic);
    assert!(waited < milliseconds(limit_ms), "{waited:?}");
    let sync = cluster.sent("sync");
    assert!(sync.bytes < 1_400_000, "the data is sent once: {sync:?}");
    assert_no_violation(&cluster);
}

/// The primary is lost, for good or for a while: its backup becomes primary once another member has the data.
#[rstest]
#[case::fast_link(1, FAST_LINK, &[], 1400)]
#[case::slow_link(1, SLOW_LINK, &[], 2800)]
#[case::both_slow(1, SLOW_LINK, &[0, 1, 2, 3], 4000)]
#[case::two_losses(2, SLOW_LINK, &[], 2800)]
fn a_change_waits_for_the_new_primary(
    #[case] losses: u32,
    #[case] link_speed: u64,
    #[case] slow: &[usize],
    #[case] limit_ms: u64,
    #[values(None, Some(300), Some(900), Some(1300))] back_after_ms: Option<u64>,
) {
    let voters = 2 * losses as usize + 1;
    let mut cluster = Cluster::new(losses, voters, voters + 1);
    cluster.acknowledge(CONFIGURATION_BYTES, seconds(5)).expect("the first change");
    cluster.run_for(seconds(2));
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let begin = cluster.now;
    let primary = cluster.data_replicas()[0];
    cluster.kill(primary);
    if let Some(back_after) = back_after_ms {
        cluster.run_for(milliseconds(back_after));
        cluster.restart(primary);
    }
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the backup becomes primary");
    let waited = cluster.now - begin;
    println!("f = {losses}, {link_speed} B/s, {slow:?}, back after {back_after_ms:?}: {waited:?}");
    assert!(waited < milliseconds(limit_ms), "{waited:?}");
    assert_no_violation(&cluster);
}

#[test]
fn a_small_state_takes_one_message_and_one_response() {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(5)).expect("the first change");
    cluster.run_for(seconds(2));
    kill_backup(&mut cluster);
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(5)).expect("a new backup is synchronized");
    let counts = ["sync", "sync progress", "synced"].map(|kind| cluster.sent(kind).messages);
    assert_eq!(counts, [1, 0, 1]);
}

/// A voter is replaced: the backup, which has all data, is sent none of it, and changes are hardly delayed.
#[rstest]
#[case::fast_link(FAST_LINK, &[], 50)]
#[case::slow_link(SLOW_LINK, &[], 50)]
#[case::slow_disks(SLOW_LINK, &[0, 1, 2, 3], 700)]
fn a_data_replica_with_all_data_is_sent_none(
    #[case] link_speed: u64,
    #[case] slow: &[usize],
    #[case] limit_ms: u64,
) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let data_replicas = cluster.data_replicas();
    let voter =
        (0..3).find(|index| !data_replicas.contains(index)).expect("one of three voters stores no data");
    let views = cluster.views();
    cluster.kill(voter);
    cluster.traffic.clear();
    let mut longest = Duration::ZERO;
    for _ in 0..400 {
        let waited =
            cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the change is acknowledged");
        longest = longest.max(waited);
        cluster.run_for(milliseconds(7));
    }
    println!("longest wait {longest:?}; {:?}", cluster.traffic);
    assert_eq!(
        (cluster.views(), cluster.data_replicas()),
        (views + 1, data_replicas),
        "the voter is replaced"
    );
    assert!(cluster.sent("sync").bytes < 1000 && cluster.sent("sync progress").messages == 0);
    assert!(longest < milliseconds(limit_ms), "{longest:?}");
    assert_no_violation(&cluster);
}

/// The links of the new backup are cut at any moment of the transfer, which resumes at its last offset.
#[rstest]
fn a_transfer_resumes_after_a_partition(#[values(0, 30, 100, 300, 700, 1000, 1100)] at_ms: u64) {
    let mut cluster = with_configuration();
    cluster.link_speed = SLOW_LINK;
    let backup = kill_backup(&mut cluster);
    cluster.run_while_not(seconds(5), |cluster| cluster.sent("sync").messages > 0);
    cluster.run_for(milliseconds(at_ms));
    let primary = cluster.primary().expect("the primary remains");
    let others: Vec<usize> = (0..4).filter(|index| *index != primary && *index != backup).collect();
    for other in &others {
        cluster.cuts.extend([(primary, *other), (*other, primary)]);
    }
    cluster.run_for(milliseconds(400));
    cluster.cuts.clear();
    let waited = cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the change is acknowledged");
    let sync = cluster.sent("sync");
    println!("cut after {at_ms} ms: {waited:?}, {sync:?}");
    assert!(sync.bytes < 2 * 1_300_000, "the data is not sent twice: {sync:?}");
    assert_no_violation(&cluster);
}

/// One side of the transfer restarts at any moment.
#[rstest]
fn a_transfer_survives_a_restart(
    #[values(0, 100, 300, 700, 1000, 1100, 1300)] at_ms: u64,
    #[values(false, true)] is_sender: bool,
    #[values(false, true)] stays_down: bool,
) {
    let mut cluster = with_configuration();
    cluster.link_speed = SLOW_LINK;
    let (primary, backup) = (cluster.data_replicas()[0], cluster.data_replicas()[1]);
    cluster.kill(backup);
    cluster.traffic.clear();
    cluster.run_while_not(seconds(5), |cluster| cluster.sent("sync").messages > 0);
    cluster.run_for(milliseconds(at_ms));
    let others: Vec<usize> = (0..4).filter(|index| *index != primary && *index != backup).collect();
    let restarted = if is_sender { primary } else { others[0] };
    cluster.kill(restarted);
    cluster.restart(backup);
    cluster.run_for(milliseconds(if stays_down { 3000 } else { 50 }));
    cluster.restart(restarted);
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the change is acknowledged");
    cluster.run_for(seconds(5));
    assert_no_violation(&cluster);
}

/// A member that was down during hundreds of changes, some of them long, catches up; when all others of the view are
/// gone, it becomes primary with all acknowledged data.
#[rstest]
#[case::fast(FAST_LINK, &[])]
#[case::slow_link(SLOW_LINK, &[])]
#[case::slow_disks(FAST_LINK, &[0, 1, 2, 3])]
fn a_member_that_missed_changes_becomes_primary_with_all(#[case] link_speed: u64, #[case] slow: &[usize]) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let lagging = cluster.data_replicas()[1];
    cluster.kill(lagging);
    for number in 0..400 {
        let length = if number % 40 == 0 { CONFIGURATION_BYTES } else { 2000 };
        cluster.acknowledge(length, seconds(20)).expect("the other members make progress");
    }
    cluster.restart(lagging);
    cluster.run_for(REPLACEMENT_TIME);
    // Three machines remain, so each of them is a voter, and in its turn a data replica.
    let data_replicas = cluster.data_replicas();
    let gone = (0..4)
        .find(|index| *index != lagging && !data_replicas.contains(index))
        .expect("there is a fourth member");
    cluster.kill(gone);
    let mut was_primary = false;
    for _ in 0..8 {
        cluster.run_for(REPLACEMENT_TIME);
        let primary = cluster.data_replicas()[0];
        assert_backup_succeeds_primary(&mut cluster);
        was_primary |= cluster.primary() == Some(lagging);
        cluster.restart(primary);
    }
    assert!(was_primary, "the member that was down becomes primary");
}

/// Long changes in sequence: each takes about its time on the link and the disks, and no member is replaced.
#[rstest]
#[case::fast(FAST_LINK, &[], 100)]
#[case::slow_link(SLOW_LINK, &[], 1200)]
#[case::slow_backup(FAST_LINK, &[1], 1500)]
#[case::slow_primary(FAST_LINK, &[0], 1500)]
#[case::two_slow(FAST_LINK, &[1, 2], 1500)]
#[case::all_slow(FAST_LINK, &[0, 1, 2, 3], 1500)]
#[case::all_slow_and_slow_link(SLOW_LINK, &[0, 1, 2, 3], 1800)]
fn long_changes_in_sequence(#[case] link_speed: u64, #[case] slow: &[usize], #[case] limit_ms: u64) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    cluster.traffic.clear();
    let (begin, views) = (cluster.now, cluster.views());
    let mut longest = Duration::ZERO;
    for _ in 0..40 {
        let waited =
            cluster.acknowledge(CONFIGURATION_BYTES, seconds(20)).expect("the change is acknowledged");
        longest = longest.max(waited);
    }
    let taken = cluster.now - begin;
    println!("40 in {taken:?}, longest {longest:?}; {:?}", cluster.traffic);
    assert!(longest < milliseconds(limit_ms), "{longest:?}");
    assert_eq!(cluster.views(), views, "no member is replaced");
    assert_eq!(cluster.sent("append").messages, 40, "each entry is sent once");
    assert_no_violation(&cluster);
}

/// 1000 concurrent changes, 2 MB in total.
#[rstest]
#[case::fast(FAST_LINK, &[], 100)]
#[case::slow_link(SLOW_LINK, &[], 2000)]
#[case::two_slow(FAST_LINK, &[1, 2], 1000)]
#[case::all_slow_and_slow_link(SLOW_LINK, &[0, 1, 2, 3], 3000)]
fn many_concurrent_changes(#[case] link_speed: u64, #[case] slow: &[usize], #[case] limit_ms: u64) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let views = cluster.views();
    let primary = cluster.primary().expect("there is a primary");
    let tickets: Vec<u64> = (0..1000).map(|_| cluster.propose(primary, 2000)).collect();
    let is_acknowledged =
        |cluster: &Cluster, ticket: &u64| matches!(cluster.ends.get(ticket), Some(End::Acknowledged(_)));
    let begin = cluster.now;
    let is_done = cluster.run_while_not(milliseconds(limit_ms), |cluster| {
        tickets.iter().all(|ticket| is_acknowledged(cluster, ticket))
    });
    println!("1000 in {:?}; {:?}", cluster.now - begin, cluster.traffic);
    assert!(is_done, "all changes are acknowledged in time");
    assert_eq!(cluster.views(), views, "no member is replaced");
    assert_no_violation(&cluster);
}

/// Continuous changes during replacements of the backup, over slow links and with slow disks.
#[test]
fn continuous_changes_while_a_backup_is_replaced() {
    let mut cluster = with_configuration();
    cluster.link_speed = SLOW_LINK;
    slow_down(&mut cluster, &[0, 1, 2, 3]);
    let mut longest = Duration::ZERO;
    for round in 0..6 {
        let backup = cluster.data_replicas()[1];
        cluster.kill(backup);
        for _ in 0..20 {
            let waited = cluster.acknowledge(20_000, seconds(20)).expect("the change is acknowledged");
            longest = longest.max(waited);
        }
        cluster.restart(backup);
        cluster.run_for(seconds(3));
        println!("round {round}: longest wait so far {longest:?}");
    }
    assert!(longest < seconds(4), "{longest:?}");
    assert_no_violation(&cluster);
}

/// No new backup can be synchronized for a long time: a proposal made meanwhile fails definitely within a time limit.
#[test]
fn a_proposal_times_out_during_a_long_view_change() {
    let mut cluster = with_configuration();
    cluster.link_speed = 20_000;
    kill_backup(&mut cluster);
    assert!(cluster.run_while_not(seconds(5), |cluster| cluster.sent("sync").messages > 0));
    let primary = cluster.primary().expect("the primary remains");
    let begin = cluster.now;
    let ticket = cluster.propose(primary, SHORT_COMMAND_BYTES);
    assert!(cluster.run_while_not(seconds(5), |cluster| cluster.ends.contains_key(&ticket)));
    println!("abandoned after {:?}", cluster.now - begin);
    assert_eq!(cluster.ends[&ticket], End::Failed(FailureReason::NotReplicated));
    cluster.link_speed = FAST_LINK;
    cluster.reconnect();
    let waited = cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the change is acknowledged");
    println!("then {waited:?}");
    assert_no_violation(&cluster);
}

/// Entries that together exceed a frame, as no snapshot was taken.
#[test]
fn data_longer_than_a_frame_is_transferred() {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.compact_after = usize::MAX;
    for _ in 0..3 {
        cluster.acknowledge(MAX_MESSAGE_BYTES / 2, seconds(10)).expect("a long change");
    }
    kill_backup(&mut cluster);
    let waited =
        cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("a new backup is synchronized");
    println!("{waited:?}, {:?}", cluster.sent("sync"));
    assert!(cluster.sent("sync").bytes > MAX_MESSAGE_BYTES as u64);
    assert_backup_succeeds_primary(&mut cluster);
}

/// A receiver that reports all data as durable when it has the first chunk.
fn report_synced_early(envelope: &Envelope) -> Vec<Envelope> {
    let ReplicationMessage::SyncProgress { epoch, transfer, .. } = envelope.message else {
        return vec![envelope.clone()];
    };
    let message = ReplicationMessage::Synced { epoch, sequence: transfer.sequence };
    vec![Envelope { message, ..envelope.clone() }]
}

/// A sender of different data, with the same number of entries.
fn send_other_data(envelope: &Envelope) -> Vec<Envelope> {
    let ReplicationMessage::Sync { epoch, data_epoch, transfer, .. } = envelope.message else {
        return vec![envelope.clone()];
    };
    let entry = |sequence| Entry { sequence: SequenceNumber(sequence), command: vec![0xee; 8].into() };
    let state = DurableState {
        data: LogPosition { epoch: data_epoch, sequence: transfer.sequence },
        entries: (1..=transfer.sequence.0).map(entry).collect(),
        ..DurableState::default()
    };
    let Chunk { transfer, offset, bytes } = EncodedData::of(&state).chunk(0);
    let message = ReplicationMessage::Sync { epoch, data_epoch, transfer, offset, bytes };
    vec![Envelope { message, ..envelope.clone() }]
}

/// A new backup is synchronized, with faulty members or not, and then the primary is lost. Returns how long the next
/// change takes, and the violation.
fn primary_lost_after_sync(interceptor: Option<Interceptor>) -> (Option<Duration>, Option<Violation>) {
    let mut cluster = with_configuration();
    let (primary, backup) = (cluster.data_replicas()[0], cluster.data_replicas()[1]);
    cluster.kill(backup);
    cluster.interceptor = interceptor;
    cluster.run_for(REPLACEMENT_TIME);
    cluster.interceptor = None;
    cluster.kill(primary);
    let waited = cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(10));
    (waited, cluster.checker.violation)
}

/// A receiver with incomplete data can become a backup by its false report, but it accepts no entry and never becomes
/// primary.
#[test]
fn a_receiver_with_incomplete_data_is_never_primary() {
    let (waited, violation) = primary_lost_after_sync(None);
    assert!(waited.is_some() && violation.is_none(), "{waited:?}, {violation:?}");
    let (waited, violation) = primary_lost_after_sync(Some(Box::new(report_synced_early)));
    assert!(waited.is_none() && violation.is_none(), "{waited:?}, {violation:?}");
}

#[test]
fn a_sender_of_other_data_is_detected() {
    let (_, violation) = primary_lost_after_sync(Some(Box::new(send_other_data)));
    println!("{violation:?}");
    assert!(violation.is_some());
}

/// Chunks carry the identifier of the transfer but other bytes, repeatedly for a while: none are accepted, and the
/// transfer completes once they stop.
#[test]
fn bytes_of_other_data_are_never_accepted() {
    let mut cluster = with_configuration();
    let backup = cluster.data_replicas()[1];
    cluster.kill(backup);
    let mut corrupted = 0;
    cluster.interceptor = Some(Box::new(move |envelope| {
        let mut sent = envelope.clone();
        match &mut sent.message {
            ReplicationMessage::Sync { offset: 0, bytes, .. } if corrupted < 3 => {
                corrupted += 1;
                *bytes = bytes.iter().map(|byte| byte ^ 0x55).collect();
            }
            _ => {}
        }
        vec![sent]
    }));
    cluster.traffic.clear();
    cluster.acknowledge(SHORT_COMMAND_BYTES, seconds(20)).expect("the transfer completes");
    assert!(cluster.sent("sync").bytes > 3 * 1_300_000, "the data is sent again after each mismatch");
    assert_backup_succeeds_primary(&mut cluster);
}
