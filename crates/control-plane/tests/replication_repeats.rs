//! Changes that operators retry while the first attempt is still pending.

mod support;

use rstest::rstest;
use support::operator::call::{Call, ConfigurationChange, ConfigurationMethod, Response, WeightsChange};
use support::operator::client::NonLinearizableObject;
use support::simulation::{ClusterShape, Fault, MS, SECOND, Simulation};

/// Microseconds; longer than a member waits for a proposal to be committed.
const BACKUP_STALL_US: u64 = 5500 * MS;
/// Microseconds; so late that the operator still waits when the backup's disk has recovered.
const RETRY_AFTER_US: u64 = 4900 * MS;

fn configuration_change() -> Call {
    Call::Configure(ConfigurationChange {
        method: ConfigurationMethod::Put,
        base: 0,
        revision: 3,
        route_id: 1,
    })
}

fn weights_change() -> Call {
    Call::SetTargetRevision(WeightsChange { model: "large", revision: 3 })
}

/// Of three machines one is down, and the backup's disk hangs. A change is sent, and retried by an operator that has
/// received no response; when the disk recovers, both proposals are committed.
fn retry_while_the_first_attempt_is_pending(call: Call, fault: Fault) -> (Simulation, Option<Response>) {
    let mut simulation =
        Simulation::new(2, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(SECOND);
    let backup = simulation.data_replicas()[1];
    simulation.kill(3 - primary - backup, 20 * SECOND);
    simulation.machines[backup].disk.stalled_until = simulation.now + BACKUP_STALL_US;
    simulation.submit(primary, call);
    simulation.run_for(RETRY_AFTER_US);
    assert_eq!(simulation.primary(), Some(primary));
    let retry = simulation.submit(primary, call);
    simulation.run_for(4 * SECOND);
    let response = simulation.operators.response(retry).cloned();
    (simulation, response)
}

#[rstest]
#[case::configuration(configuration_change())]
#[case::weights(weights_change())]
fn a_pending_change_is_applied_once_and_its_retry_is_recognized(#[case] call: Call) {
    let (simulation, response) = retry_while_the_first_attempt_is_pending(call, Fault::None);
    assert_eq!(response, Some(Response::Accepted));
    assert_eq!(simulation.operators.non_linearizable(), None);
}

/// A member must decide again on a superseded proposal: if it refuses it although the change is in effect, the
/// checker detects it.
#[rstest]
#[case::configuration(configuration_change(), NonLinearizableObject::Configuration)]
#[case::weights(weights_change(), NonLinearizableObject::Weights("large"))]
fn a_refusal_of_a_change_in_effect_is_detected(#[case] call: Call, #[case] object: NonLinearizableObject) {
    let (simulation, response) = retry_while_the_first_attempt_is_pending(call, Fault::SupersededRefused);
    println!("response {response:?}");
    assert_eq!(simulation.operators.non_linearizable(), Some(object));
}
