//! Members that are brought up to date over slow links, with slow disks, and after many changes.

mod rated_cluster;
mod support;

use std::time::Duration;

use rated_cluster::{CONFIGURATION_BYTES, Cluster, DiskSpeed, End, FAST_LINK, Interceptor, SLOW_LINK};
use rstest::rstest;
use support::checker::Violation;
use tulipridge_control_plane::replication::transfer::{Chunk, EncodedData};
use tulipridge_control_plane::replication::{DurableState, FailureReason, LogPosition};
use tulipridge_protocol::frame::MAX_MESSAGE_BYTES;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage};

/// How much slower a slow disk is.
const SLOWDOWN: u32 = 30;
/// A short command.
const SHORT: usize = 100;

/// Time in which a lost voter is exchanged.
const EXCHANGE: Duration = seconds(5);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Three seeds of four machines that hold one configuration.
fn with_configuration() -> Cluster {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.acknowledge(CONFIGURATION_BYTES, seconds(5)).expect("the first change");
    cluster.run_for(seconds(2));
    cluster
}

fn slow_down(cluster: &mut Cluster, members: &[usize]) {
    for index in members {
        cluster.members[*index].speed = DiskSpeed::USUAL.slower(SLOWDOWN);
    }
}

/// The backup is lost; messages are counted from now on.
fn lose_backup(cluster: &mut Cluster) -> usize {
    let backup = cluster.data_replicas()[1];
    cluster.kill(backup);
    cluster.traffic.clear();
    backup
}

fn assert_holds(cluster: &Cluster) {
    assert_eq!(cluster.checker.violation, None);
}

/// The primary is lost, after the voters that were lost before it are exchanged: the one backup leads then.
fn assert_backup_follows(cluster: &mut Cluster) {
    cluster.run_for(EXCHANGE);
    let (primary, index) = (cluster.data_replicas()[0], cluster.data_replicas()[1]);
    cluster.kill(primary);
    cluster.acknowledge(SHORT, seconds(20)).expect("it goes on");
    assert_eq!(cluster.primary(), Some(index));
    assert_holds(cluster);
}

/// The backup is lost: changes wait until another member has the data, 1.3 MB of it. That is found out in 0.6 s,
/// and the data takes 1.04 s on the slow link.
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
    lose_backup(&mut cluster);
    let waited = cluster.acknowledge(SHORT, seconds(20)).expect("a new backup is brought up to date");
    println!("waited {waited:?}; {:?}", cluster.traffic);
    assert!(waited < milliseconds(limit_ms), "{waited:?}");
    let sync = cluster.sent("sync");
    assert!(sync.bytes < 1_400_000, "all is sent once: {sync:?}");
    assert_holds(&cluster);
}

/// The primary is lost, for good or for a while: its backup leads once another member has the data.
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
    cluster.acknowledge(SHORT, seconds(20)).expect("the backup leads");
    let waited = cluster.now - begin;
    println!("f = {losses}, {link_speed} B/s, {slow:?}, back after {back_after_ms:?}: {waited:?}");
    assert!(waited < milliseconds(limit_ms), "{waited:?}");
    assert_holds(&cluster);
}

/// A small state costs one message and one answer.
#[test]
fn a_small_state_is_one_message_and_one_answer() {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.acknowledge(SHORT, seconds(5)).expect("the first change");
    cluster.run_for(seconds(2));
    lose_backup(&mut cluster);
    cluster.acknowledge(SHORT, seconds(5)).expect("a new backup is brought up to date");
    let counts = ["sync", "sync progress", "synced"].map(|kind| cluster.sent(kind).messages);
    assert_eq!(counts, [1, 0, 1]);
}

/// A voter is exchanged; the backup, which has all, is sent none of it, and a change waits hardly.
#[rstest]
#[case::fast_link(FAST_LINK, &[], 50)]
#[case::slow_link(SLOW_LINK, &[], 50)]
#[case::slow_disks(SLOW_LINK, &[0, 1, 2, 3], 700)]
fn a_data_replica_that_has_all_is_sent_none_of_it(
    #[case] link_speed: u64,
    #[case] slow: &[usize],
    #[case] limit_ms: u64,
) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let data_replicas = cluster.data_replicas();
    let voter =
        (0..3).find(|index| !data_replicas.contains(index)).expect("one of three voters holds nothing");
    let views = cluster.views();
    cluster.kill(voter);
    cluster.traffic.clear();
    let mut longest = Duration::ZERO;
    for _ in 0..400 {
        let waited = cluster.acknowledge(SHORT, seconds(20)).expect("it goes on");
        longest = longest.max(waited);
        cluster.run_for(milliseconds(7));
    }
    println!("the longest wait {longest:?}; {:?}", cluster.traffic);
    assert_eq!(
        (cluster.views(), cluster.data_replicas()),
        (views + 1, data_replicas),
        "the voter is exchanged"
    );
    assert!(cluster.sent("sync").bytes < 1000 && cluster.sent("sync progress").messages == 0);
    assert!(longest < milliseconds(limit_ms), "{longest:?}");
    assert_holds(&cluster);
}

/// The link of the new backup is cut at any moment of the transfer, which goes on where it was.
#[rstest]
fn a_transfer_goes_on_after_a_partition(#[values(0, 30, 100, 300, 700, 1000, 1100)] at_ms: u64) {
    let mut cluster = with_configuration();
    cluster.link_speed = SLOW_LINK;
    let backup = lose_backup(&mut cluster);
    cluster.run_while_not(seconds(5), |cluster| cluster.sent("sync").messages > 0);
    cluster.run_for(milliseconds(at_ms));
    let primary = cluster.primary().expect("it stays");
    let others: Vec<usize> = (0..4).filter(|index| *index != primary && *index != backup).collect();
    for other in &others {
        cluster.cuts.extend([(primary, *other), (*other, primary)]);
    }
    cluster.run_for(milliseconds(400));
    cluster.cuts.clear();
    let waited = cluster.acknowledge(SHORT, seconds(20)).expect("it goes on");
    let sync = cluster.sent("sync");
    println!("cut after {at_ms} ms: {waited:?}, {sync:?}");
    assert!(sync.bytes < 2 * 1_300_000, "not all is sent twice: {sync:?}");
    assert_holds(&cluster);
}

/// One side of the transfer starts again at any moment.
#[rstest]
fn a_transfer_survives_a_restart(
    #[values(0, 100, 300, 700, 1000, 1100, 1300)] at_ms: u64,
    #[values(false, true)] is_sender: bool,
    #[values(false, true)] stays_away: bool,
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
    cluster.run_for(milliseconds(if stays_away { 3000 } else { 50 }));
    cluster.restart(restarted);
    cluster.acknowledge(SHORT, seconds(20)).expect("it goes on");
    cluster.run_for(seconds(5));
    assert_holds(&cluster);
}

/// A member that was away during hundreds of changes, some of them long, catches up, and when all others of the
/// view are gone, it leads with all that was acknowledged.
#[rstest]
#[case::usual(FAST_LINK, &[])]
#[case::slow_link(SLOW_LINK, &[])]
#[case::slow_disks(FAST_LINK, &[0, 1, 2, 3])]
fn a_member_back_after_hundreds_of_changes_leads_with_all(#[case] link_speed: u64, #[case] slow: &[usize]) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let away = cluster.data_replicas()[1];
    cluster.kill(away);
    for number in 0..400 {
        let length = if number % 40 == 0 { CONFIGURATION_BYTES } else { 2000 };
        cluster.acknowledge(length, seconds(20)).expect("the others go on");
    }
    cluster.restart(away);
    cluster.run_for(EXCHANGE);
    // Three machines are left, so each of them is a voter, and a data replica when its turn comes.
    let data_replicas = cluster.data_replicas();
    let gone =
        (0..4).find(|index| *index != away && !data_replicas.contains(index)).expect("there is a fourth");
    cluster.kill(gone);
    let mut has_led = false;
    for _ in 0..8 {
        cluster.run_for(EXCHANGE);
        let primary = cluster.data_replicas()[0];
        assert_backup_follows(&mut cluster);
        has_led |= cluster.primary() == Some(away);
        cluster.restart(primary);
    }
    assert!(has_led, "the member that was away is among those that led");
}

/// Long changes one after the other: each takes about its time on the link and the disks, and nobody is exchanged.
#[rstest]
#[case::usual(FAST_LINK, &[], 100)]
#[case::slow_link(SLOW_LINK, &[], 1200)]
#[case::slow_backup(FAST_LINK, &[1], 1500)]
#[case::slow_primary(FAST_LINK, &[0], 1500)]
#[case::two_slow(FAST_LINK, &[1, 2], 1500)]
#[case::all_slow(FAST_LINK, &[0, 1, 2, 3], 1500)]
#[case::all_slow_and_slow_link(SLOW_LINK, &[0, 1, 2, 3], 1800)]
fn long_changes_one_after_the_other(
    #[case] link_speed: u64,
    #[case] slow: &[usize],
    #[case] limit_ms: u64,
) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    cluster.traffic.clear();
    let (begin, views) = (cluster.now, cluster.views());
    let mut longest = Duration::ZERO;
    for _ in 0..40 {
        let waited = cluster.acknowledge(CONFIGURATION_BYTES, seconds(20)).expect("it is acknowledged");
        longest = longest.max(waited);
    }
    let taken = cluster.now - begin;
    println!("40 in {taken:?}, the longest {longest:?}; {:?}", cluster.traffic);
    assert!(longest < milliseconds(limit_ms), "{longest:?}");
    assert_eq!(cluster.views(), views, "nobody is exchanged");
    assert_eq!(cluster.sent("append").messages, 40, "each entry is sent once");
    assert_holds(&cluster);
}

/// Many changes at once, 2 MB of them.
#[rstest]
#[case::usual(FAST_LINK, &[], 100)]
#[case::slow_link(SLOW_LINK, &[], 2000)]
#[case::two_slow(FAST_LINK, &[1, 2], 1000)]
#[case::all_slow_and_slow_link(SLOW_LINK, &[0, 1, 2, 3], 3000)]
fn many_changes_at_once(#[case] link_speed: u64, #[case] slow: &[usize], #[case] limit_ms: u64) {
    let mut cluster = with_configuration();
    cluster.link_speed = link_speed;
    slow_down(&mut cluster, slow);
    let views = cluster.views();
    let primary = cluster.primary().expect("there is one");
    let tickets: Vec<u64> = (0..1000).map(|_| cluster.propose(primary, 2000)).collect();
    let is_acknowledged =
        |cluster: &Cluster, ticket: &u64| matches!(cluster.ends.get(ticket), Some(End::Acknowledged(_)));
    let begin = cluster.now;
    let is_done = cluster.run_while_not(milliseconds(limit_ms), |cluster| {
        tickets.iter().all(|ticket| is_acknowledged(cluster, ticket))
    });
    println!("1000 in {:?}; {:?}", cluster.now - begin, cluster.traffic);
    assert!(is_done, "all are acknowledged in time");
    assert_eq!(cluster.views(), views, "nobody is exchanged");
    assert_holds(&cluster);
}

/// Changes come all the time while a backup is exchanged, over slow links and with slow disks.
#[test]
fn changes_keep_coming_while_a_backup_is_exchanged() {
    let mut cluster = with_configuration();
    cluster.link_speed = SLOW_LINK;
    slow_down(&mut cluster, &[0, 1, 2, 3]);
    let mut longest = Duration::ZERO;
    for round in 0..6 {
        let backup = cluster.data_replicas()[1];
        cluster.kill(backup);
        for _ in 0..20 {
            let waited = cluster.acknowledge(20_000, seconds(20)).expect("it is acknowledged");
            longest = longest.max(waited);
        }
        cluster.restart(backup);
        cluster.run_for(seconds(3));
        println!("round {round}: the longest so far {longest:?}");
    }
    assert!(longest < seconds(4), "{longest:?}");
    assert_holds(&cluster);
}

/// No new backup can be brought up to date within a long time: who proposes meanwhile gets a certain answer in time.
#[test]
fn a_proposal_does_not_wait_for_ever_for_a_view_change() {
    let mut cluster = with_configuration();
    cluster.link_speed = 20_000;
    lose_backup(&mut cluster);
    assert!(cluster.run_while_not(seconds(5), |cluster| cluster.sent("sync").messages > 0));
    let primary = cluster.primary().expect("it stays");
    let begin = cluster.now;
    let ticket = cluster.propose(primary, SHORT);
    assert!(cluster.run_while_not(seconds(5), |cluster| cluster.ends.contains_key(&ticket)));
    println!("given up after {:?}", cluster.now - begin);
    assert_eq!(cluster.ends[&ticket], End::Failed(FailureReason::NotReplicated));
    cluster.link_speed = FAST_LINK;
    cluster.reconnect();
    let waited = cluster.acknowledge(SHORT, seconds(20)).expect("it goes on");
    println!("then {waited:?}");
    assert_holds(&cluster);
}

/// Entries of together more than a frame takes, as long as no snapshot was made.
#[test]
fn data_longer_than_a_frame_is_transferred() {
    let mut cluster = Cluster::new(1, 3, 4);
    cluster.compact_after = usize::MAX;
    for _ in 0..3 {
        cluster.acknowledge(MAX_MESSAGE_BYTES / 2, seconds(10)).expect("a long change");
    }
    lose_backup(&mut cluster);
    let waited = cluster.acknowledge(SHORT, seconds(20)).expect("a new backup is brought up to date");
    println!("{waited:?}, {:?}", cluster.sent("sync"));
    assert!(cluster.sent("sync").bytes > MAX_MESSAGE_BYTES as u64);
    assert_backup_follows(&mut cluster);
}

/// A receiver that says it has all on disk when it has the first chunk.
fn synced_too_early(envelope: &Envelope) -> Vec<Envelope> {
    let ReplicationMessage::SyncProgress { epoch, transfer, .. } = envelope.message else {
        return vec![envelope.clone()];
    };
    let message = ReplicationMessage::Synced { epoch, sequence: transfer.sequence };
    vec![Envelope { message, ..envelope.clone() }]
}

/// A sender that gives completely different data, of the same length in entries.
fn other_data(envelope: &Envelope) -> Vec<Envelope> {
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

/// A new backup is brought up to date by members that are broken or not, and the primary is lost: how long the next
/// change takes, and what is seen.
fn after_the_primary(interceptor: Option<Interceptor>) -> (Option<Duration>, Option<Violation>) {
    let mut cluster = with_configuration();
    let (primary, backup) = (cluster.data_replicas()[0], cluster.data_replicas()[1]);
    cluster.kill(backup);
    cluster.interceptor = interceptor;
    cluster.run_for(EXCHANGE);
    cluster.interceptor = None;
    cluster.kill(primary);
    let waited = cluster.acknowledge(SHORT, seconds(10));
    (waited, cluster.checker.violation)
}

/// One that has not all can be made a backup by its false word, but it takes no entry and never leads.
#[test]
fn a_receiver_that_has_not_all_is_seen() {
    let (waited, violation) = after_the_primary(None);
    assert!(waited.is_some() && violation.is_none(), "{waited:?}, {violation:?}");
    let (waited, violation) = after_the_primary(Some(Box::new(synced_too_early)));
    assert!(waited.is_none() && violation.is_none(), "{waited:?}, {violation:?}");
}

#[test]
fn a_sender_of_other_data_is_seen() {
    let (_, violation) = after_the_primary(Some(Box::new(other_data)));
    println!("{violation:?}");
    assert!(violation.is_some());
}

/// Bytes of other data come under the name of these, again and again for a while: nothing of it is taken, and the
/// transfer ends well once they stop.
#[test]
fn bytes_of_other_data_are_never_taken() {
    let mut cluster = with_configuration();
    let backup = cluster.data_replicas()[1];
    cluster.kill(backup);
    let mut mixed = 0;
    cluster.interceptor = Some(Box::new(move |envelope| {
        let mut sent = envelope.clone();
        match &mut sent.message {
            ReplicationMessage::Sync { offset: 0, bytes, .. } if mixed < 3 => {
                mixed += 1;
                *bytes = bytes.iter().map(|byte| byte ^ 0x55).collect();
            }
            _ => {}
        }
        vec![sent]
    }));
    cluster.traffic.clear();
    cluster.acknowledge(SHORT, seconds(20)).expect("it ends well");
    assert!(cluster.sent("sync").bytes > 3 * 1_300_000, "all had to be sent again");
    assert_backup_follows(&mut cluster);
}
