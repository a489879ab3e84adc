//! The reactions of a single member to single messages.

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

/// A message to the generation of an earlier disk is not for the member with the new one.
#[test]
fn message_to_another_generation_is_dropped() {
    let newcomer = NodeId { ip: 2, generation: Generation(77) };
    let proposer = NodeId { ip: 1, generation: Generation(0) };
    let mut replication = Replication::new(settings(newcomer), Default::default(), START);
    let mut out = Vec::new();
    replication.handle(START, Input::Tick, &mut out);
    out.clear();
    for (generation, is_handled) in [(0, false), (77, true)] {
        let to = NodeId { ip: 2, generation: Generation(generation) };
        let message = ReplicationMessage::Prepare { epoch: Epoch(1 << 40) };
        replication.handle(START, Input::Message(Envelope { from: proposer, to, message }), &mut out);
        assert_eq!(!out.is_empty(), is_handled);
        out.clear();
    }
}

/// A promise is sent only after its record is durable.
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
    let Some(Output::Persist { ticket, .. }) = out.pop() else { panic!("the record is written first") };
    assert!(out.is_empty(), "nothing is sent before the record is durable");
    replication.handle(START, Input::Persisted { ticket }, &mut out);
    let is_promise = |output: &Output| {
        matches!(output, Output::Send(Envelope { message: ReplicationMessage::Promise { .. }, .. }))
    };
    assert!(out.iter().any(is_promise));
}

/// A standby rejects proposals.
#[test]
fn proposal_at_a_standby_fails_immediately() {
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

/// A view that a standby knows only from heartbeats is not durable: the standby confirms its installation only after
/// it has recorded the view durably.
#[test]
fn install_of_a_view_known_from_heartbeats_waits_for_the_disk() {
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
    let after_heartbeat = receive(heartbeat);
    let is_persisted = |output: &Output| matches!(output, Output::Persist { .. });
    assert!(!after_heartbeat.iter().any(is_persisted), "a view from a heartbeat is not recorded");
    let mut out = receive(ReplicationMessage::Install { view: installed.clone() });
    let Some(Output::Persist { ticket, records }) = out.pop() else { panic!("the view is written first") };
    assert!(records.contains(&DurableRecord::View(installed)), "{records:?}");
    assert_eq!(out, [], "nothing is sent before the view is durable");
    replication.handle(START, Input::Persisted { ticket }, &mut out);
    let message = ReplicationMessage::Installed { epoch: Epoch(1 << 40) };
    assert!(out.contains(&Output::Send(Envelope { from: standby, to: primary, message })));
}

/// A member whose disk has no view takes none from its settings, which may name other seeds than at the first
/// start.
#[test]
fn seed_whose_disk_has_no_view_creates_none() {
    let seed = NodeId { ip: 1, generation: Generation(0) };
    let mut replication = Replication::new(settings(seed), Default::default(), START);
    let mut out = Vec::new();
    for tenths in 0..50 {
        replication.handle(START + Duration::from_millis(100) * tenths, Input::Tick, &mut out);
    }
    assert_eq!(out, []);
    assert_eq!(replication.role(), Role::Standby);
}
