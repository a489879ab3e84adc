//! The state machine's thread.

use std::sync::Arc;

use async_channel::Receiver;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Applied, Change, Decision, State, StateError};
use tulipridge_control_plane::state_machine::{Published, StateMachine, StateMachineEvent};
use tulipridge_protocol::number::{Epoch, SequenceNumber};

fn name(revision: u64) -> Change {
    Change::SetTargetRevision { model: "m".to_owned(), revision: WeightsRevision(revision) }
}

fn command(state: &State, change: &Change) -> Arc<[u8]> {
    match state.decide(change) {
        Decision::Accept(accepted) => accepted.command,
        other => panic!("{other:?}"),
    }
}

fn machine() -> (StateMachine, Receiver<StateMachineEvent>) {
    let (sender, events) = async_channel::unbounded();
    (StateMachine::start(sender).expect("the thread starts"), events)
}

fn applied(events: &Receiver<StateMachineEvent>) -> (u64, Option<Applied>, Published) {
    match events.recv_blocking() {
        Ok(StateMachineEvent::Applied { sequence, applied, published }) => (sequence.0, applied, published),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_decision_sees_commands_that_were_handed_over_before() {
    let (machine, events) = machine();
    machine.apply(SequenceNumber(1), command(&State::default(), &name(2)));
    let decision = async_io::block_on(machine.decide(name(2).into()));
    assert_eq!(decision, Some(Decision::AlreadyAccepted));
    let (sequence, change, published) = applied(&events);
    assert_eq!((sequence, change), (1, Some(Applied::Weights)));
    assert_eq!(published.weights.into_iter().collect::<Vec<_>>(), [("m".to_owned(), WeightsRevision(2))]);
}

#[test]
fn a_snapshot_holds_what_was_applied() {
    let (first, _events) = machine();
    first.apply(SequenceNumber(1), command(&State::default(), &name(2)));
    let snapshot = async_io::block_on(first.snapshot()).expect("the thread runs");
    assert_eq!(snapshot.sequence, SequenceNumber(1));
    let (second, events) = machine();
    second.restore(snapshot.sequence, snapshot.state.into());
    let (sequence, change, published) = applied(&events);
    assert_eq!((sequence, change, published.weights["m"]), (1, None, WeightsRevision(2)));
}

#[test]
fn catching_up_is_reported_after_all_that_was_handed_over() {
    let (machine, events) = machine();
    machine.apply(SequenceNumber(1), command(&State::default(), &name(2)));
    machine.catch_up(Epoch(9));
    applied(&events);
    assert!(matches!(events.recv_blocking(), Ok(StateMachineEvent::CaughtUp { epoch: Epoch(9) })));
}

#[test]
fn a_command_of_another_form_ends_the_thread() {
    let (machine, events) = machine();
    machine.apply(SequenceNumber(1), Arc::from(&[9, 9][..]));
    assert!(matches!(events.recv_blocking(), Ok(StateMachineEvent::Failed(_))));
    assert!(events.recv_blocking().is_err());
}

fn put(revision: u64, host: &str) -> Change {
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

/// A command that was decided on in another state than this member's is not applied: the thread ends.
#[test]
fn a_state_that_has_diverged_ends_the_thread() {
    let (machine, events) = machine();
    machine.restore(SequenceNumber(1), state_with(&put(1, "b.example")).snapshot().into());
    applied(&events);
    machine.apply(SequenceNumber(2), command(&state_with(&put(1, "a.example")), &put(2, "a.example")));
    let failed = events.recv_blocking();
    assert!(matches!(failed, Ok(StateMachineEvent::Failed(StateError::Diverged { .. }))), "{failed:?}");
    assert!(events.recv_blocking().is_err());
}
