//! Changes that operators send again while the first sending still waits.

mod support;

use rstest::rstest;
use support::operator::call::{Call, ConfigurationChange, ConfigurationMethod, Response, WeightsChange};
use support::operator::client::NonLinearizableObject;
use support::simulation::{ClusterShape, Fault, MS, SECOND, Simulation};

/// Longer than a member waits for an agreement.
const BACKUP_STALLS_FOR: u64 = 5500 * MS;
/// So late that the operator still waits when the backup's disk is back.
const SENT_AGAIN_AFTER: u64 = 4900 * MS;

fn first_configuration() -> Call {
    Call::Configure(ConfigurationChange {
        method: ConfigurationMethod::Put,
        base: 0,
        revision: 3,
        route_id: 1,
    })
}

fn first_weights() -> Call {
    Call::SetTargetRevision(WeightsChange { model: "large", revision: 3 })
}

/// Of three machines one is down, and the backup's disk hangs. A change is sent, and once more by an operator
/// who has heard nothing; when the disk is back, both are agreed on.
fn change_sent_twice_while_nothing_is_agreed(call: Call, fault: Fault) -> (Simulation, Option<Response>) {
    let mut simulation =
        Simulation::new(2, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(SECOND);
    let backup = simulation.data_replicas()[1];
    simulation.kill(3 - primary - backup, 20 * SECOND);
    simulation.machines[backup].disk.stalled_until = simulation.now + BACKUP_STALLS_FOR;
    simulation.submit(primary, call);
    simulation.run_for(SENT_AGAIN_AFTER);
    assert_eq!(simulation.primary(), Some(primary));
    let again = simulation.submit(primary, call);
    simulation.run_for(4 * SECOND);
    let answer = simulation.operators.response(again).cloned();
    (simulation, answer)
}

#[rstest]
#[case::configuration(first_configuration())]
#[case::weights(first_weights())]
fn change_that_waits_is_taken_once_and_known_when_it_is_sent_again(#[case] call: Call) {
    let (simulation, answer) = change_sent_twice_while_nothing_is_agreed(call, Fault::None);
    assert_eq!(answer, Some(Response::Accepted));
    assert_eq!(simulation.operators.non_linearizable(), None);
}

/// What members did before they decided anew: the second proposal found the first one in its way.
#[rstest]
#[case::configuration(first_configuration(), NonLinearizableObject::Configuration)]
#[case::weights(first_weights(), NonLinearizableObject::Weights("large"))]
fn refusal_of_a_change_that_is_in_force_is_seen(#[case] call: Call, #[case] object: NonLinearizableObject) {
    let (simulation, answer) = change_sent_twice_while_nothing_is_agreed(call, Fault::SupersededRefused);
    println!("answered {answer:?}");
    assert_eq!(simulation.operators.non_linearizable(), Some(object));
}
