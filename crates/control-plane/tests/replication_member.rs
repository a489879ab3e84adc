//! What one member answers to single messages.

use std::time::Duration;
use tulipridge_control_plane::replication::{
    DurableRecord, FailureReason, Input, Output, ProposalTicket, Replication, ReplicationSettings, Role,
};

use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Envelope, ReplicationMessage, View};

const START: Duration = Duration::from_secs(1);

fn settings(node: NodeId) -> ReplicationSettings {
    let seeds = vec![NodeId { ip: 1, generation: Generation(0) }];
    ReplicationSettings {
        node,
        zone: "a".to_owned(),
        seeds,
        tolerated_failures: 0,
        first_boot: true,
        seed: 1,
    }
}

/// A message to the member that had the disk before is not for the newcomer.
#[test]
fn message_to_another_generation_is_dropped() {
    let newcomer = NodeId { ip: 2, generation: Generation(77) };
    let proposer = NodeId { ip: 1, generation: Generation(0) };
    let mut replication = Replication::new(settings(newcomer), Default::default(), START);
    let mut out = Vec::new();
    replication.handle(START, Input::Tick, &mut out);
    out.clear();
    for (generation, answers) in [(0, false), (77, true)] {
        let to = NodeId { ip: 2, generation: Generation(generation) };
        let message = ReplicationMessage::Prepare { epoch: Epoch(1 << 40) };
        replication.handle(START, Input::Message(Envelope { from: proposer, to, message }), &mut out);
        assert_eq!(!out.is_empty(), answers);
        out.clear();
    }
}

/// A promise leaves only after its record is on disk.
#[test]
fn promise_waits_for_the_disk() {
    let voter = NodeId { ip: 2, generation: Generation(0) };
    let proposer = NodeId { ip: 1, generation: Generation(0) };
    let mut replication = Replication::new(settings(voter), Default::default(), START);
    let mut out = Vec::new();
    replication.handle(START, Input::Tick, &mut out);
    out.clear();
    let message = ReplicationMessage::Prepare { epoch: Epoch(1 << 40) };
    replication.handle(START, Input::Message(Envelope { from: proposer, to: voter, message }), &mut out);
    let Some(Output::Persist { ticket, .. }) = out.pop() else { panic!("a record is written first") };
    assert!(out.is_empty(), "nothing else happens before");
    replication.handle(START, Input::Persisted { ticket }, &mut out);
    let is_promise = |output: &Output| {
        matches!(output, Output::Send(Envelope { message: ReplicationMessage::Promise { .. }, .. }))
    };
    assert!(out.iter().any(is_promise));
}

/// A standby takes no proposals.
#[test]
fn proposal_at_a_standby_fails_at_once() {
    let mut replication =
        Replication::new(settings(NodeId { ip: 2, generation: Generation(3) }), Default::default(), START);
    let mut out = Vec::new();
    replication.handle(
        START,
        Input::Propose { ticket: ProposalTicket(5), command: vec![1].into() },
        &mut out,
    );
    assert!(out.contains(&Output::ProposalFailed {
        proposal: ProposalTicket(5),
        reason: FailureReason::NotReplicated
    }));
    assert_eq!(replication.role(), Role::Standby);
    assert_eq!(replication.view(), None::<&View>);
}

/// A view that a standby has heard of is not on its disk: it says that it has recorded the view only after that.
#[test]
fn install_of_a_view_that_is_known_from_heartbeats_waits_for_the_disk() {
    let standby = NodeId { ip: 2, generation: Generation(5) };
    let primary = NodeId { ip: 1, generation: Generation(0) };
    let complete = View {
        epoch: Epoch(1 << 40),
        voters: vec![primary],
        previous_voters: vec![],
        data_replicas: vec![primary],
    };
    let installed = View { previous_voters: vec![standby], ..complete.clone() };
    let mut replication = Replication::new(settings(standby), Default::default(), START);
    let mut receive = |message| {
        let mut out = Vec::new();
        let envelope = Envelope { from: primary, to: standby, message };
        replication.handle(START, Input::Message(envelope), &mut out);
        out
    };
    let heartbeat =
        ReplicationMessage::Heartbeat { view: complete, token: 1, committed: SequenceNumber(0) };
    let heard = receive(heartbeat);
    assert!(!heard.iter().any(|output| matches!(output, Output::Persist { .. })), "it is only heard of");
    let mut out = receive(ReplicationMessage::Install { view: installed.clone() });
    let Some(Output::Persist { ticket, records }) = out.pop() else { panic!("the view is written first") };
    assert!(records.contains(&DurableRecord::View(installed)), "{records:?}");
    assert_eq!(out, [], "nothing is said before");
    replication.handle(START, Input::Persisted { ticket }, &mut out);
    let message = ReplicationMessage::Installed { epoch: Epoch(1 << 40) };
    assert!(out.contains(&Output::Send(Envelope { from: standby, to: primary, message })));
}

/// A disk without a view gets none from the settings, which may name other seeds than at the first start.
#[test]
fn seed_whose_disk_has_no_view_makes_none_up() {
    let seed = NodeId { ip: 1, generation: Generation(0) };
    let mut replication = Replication::new(settings(seed), Default::default(), START);
    let mut out = Vec::new();
    for tenths in 0..50 {
        replication.handle(START + Duration::from_millis(100) * tenths, Input::Tick, &mut out);
    }
    assert_eq!(out, []);
    assert_eq!(replication.role(), Role::Standby);
}
