//! The thread that applies commands to the replicated state.

use std::sync::Arc;

use async_channel::Receiver;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Applied, Change, Decision, State, StateError};
use tulipridge_control_plane::state_machine::{Published, StateMachine, StateMachineEvent};
use tulipridge_protocol::number::{Epoch, SequenceNumber};

fn name_weights(revision: u64) -> Change {
    Change::SetTargetRevision { model: "m".to_owned(), revision: WeightsRevision(revision) }
}

fn command(state: &State, change: &Change) -> Arc<[u8]> {
    match state.decide(change) {
        Decision::Accept(accepted) => accepted.command,
        other => panic!("{other:?}"),
    }
}

fn start_machine() -> (StateMachine, Receiver<StateMachineEvent>) {
    let (sender, events) = async_channel::unbounded();
    (StateMachine::start(sender).expect("the thread starts"), events)
}

fn next_applied(events: &Receiver<StateMachineEvent>) -> (u64, Option<Applied>, Published) {
    match events.recv_blocking() {
        Ok(StateMachineEvent::Applied { sequence, applied, published }) => (sequence.0, applied, published),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_decision_sees_commands_that_were_queued_before() {
    let (machine, events) = start_machine();
    machine.apply(SequenceNumber(1), command(&State::default(), &name_weights(2)));
    let decision = async_io::block_on(machine.decide(name_weights(2).into()));
    assert_eq!(decision, Some(Decision::AlreadyAccepted));
    let (sequence, change, published) = next_applied(&events);
    assert_eq!((sequence, change), (1, Some(Applied::Weights)));
    assert_eq!(published.weights.into_iter().collect::<Vec<_>>(), [("m".to_owned(), WeightsRevision(2))]);
}

#[test]
fn a_snapshot_contains_the_applied_commands() {
    let (first, _events) = start_machine();
    first.apply(SequenceNumber(1), command(&State::default(), &name_weights(2)));
    let snapshot = async_io::block_on(first.snapshot()).expect("the thread runs");
    assert_eq!(snapshot.sequence, SequenceNumber(1));
    let (second, events) = start_machine();
    second.restore(snapshot.sequence, snapshot.state.into());
    let (sequence, change, published) = next_applied(&events);
    assert_eq!((sequence, change, published.weights["m"]), (1, None, WeightsRevision(2)));
}

#[test]
fn catching_up_is_reported_after_all_queued_commands() {
    let (machine, events) = start_machine();
    machine.apply(SequenceNumber(1), command(&State::default(), &name_weights(2)));
    machine.catch_up(Epoch(9));
    next_applied(&events);
    assert!(matches!(events.recv_blocking(), Ok(StateMachineEvent::CaughtUp { epoch: Epoch(9) })));
}

#[test]
fn a_command_that_cannot_be_decoded_ends_the_thread() {
    let (machine, events) = start_machine();
    machine.apply(SequenceNumber(1), Arc::from(&[9, 9][..]));
    assert!(matches!(events.recv_blocking(), Ok(StateMachineEvent::Failed(_))));
    assert!(events.recv_blocking().is_err());
}

fn put_configuration(revision: u64, host: &str) -> Change {
    let service = r#"{"label":"chat"}"#;
    let route =
        format!(r#"{{"label":"r","hostname":"{host}","pathStart":"/","timeLimitMs":9,"backend":"chat"}}"#);
    let body = format!(r#"{{"revision":{revision},"routes":[{route}],"backends":[{service}]}}"#);
    Change::PutConfiguration { if_match: Some(Revision(revision - 1)), body: body.into_bytes() }
}

fn state_with(change: &Change) -> State {
    let mut state = State::default();
    let command = command(&state, change);
    state.apply(&command).expect("the command can be applied");
    state
}

/// A command that was accepted in a different state than this member's is not applied: the thread ends.
#[test]
fn a_diverged_state_ends_the_thread() {
    let (machine, events) = start_machine();
    machine.restore(SequenceNumber(1), state_with(&put_configuration(1, "b.example")).snapshot().into());
    next_applied(&events);
    machine.apply(
        SequenceNumber(2),
        command(&state_with(&put_configuration(1, "a.example")), &put_configuration(2, "a.example")),
    );
    let failed = events.recv_blocking();
    assert!(matches!(failed, Ok(StateMachineEvent::Failed(StateError::Diverged { .. }))), "{failed:?}");
    assert!(events.recv_blocking().is_err());
}
