//! Measures changes of a large configuration: the size of the log entry in bytes, the time of the decision, and the
//! time to apply the entry at a follower.

use std::hint::black_box;
use std::time::{Duration, Instant};

use common::{accepted, state_with};
use serde_json::json;
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{ConfigurationState, Decision};

#[path = "../tests/common/mod.rs"]
mod common;

/// Number of timed runs of each operation.
const RUN_COUNT: u32 = 50;

fn main() {
    let document = common::large_configuration();
    let route = common::large_route(2_000, "moved.example");
    let patch = json!({"revision": 2, "upsert": {"routes": [&route]}});
    let mut complete = document.clone();
    complete["revision"] = json!(2);
    complete["routes"][2_000] = route;
    let state = state_with(&document);
    println!("configuration: {} bytes", common::body(&document).len());
    println!("empty snapshot: {} bytes", ConfigurationState::default().to_snapshot().len());
    let (patch, complete) = (common::body(&patch), common::body(&complete));
    report("PATCH of one route", &state, || state.decide_patch(Some(Revision(1)), &patch));
    report("PUT with one route changed", &state, || state.decide_put(Some(Revision(1)), &complete));
}

fn report(name: &str, state: &ConfigurationState, decide: impl Fn() -> Decision) {
    let change = accepted(decide());
    let bytes = musli::wire::to_vec(&change.entry).expect("an entry can be encoded");
    let decision_times = shortest_and_median(|| {
        black_box(decide());
    });
    let follower_times = shortest_and_median(|| {
        let entry = musli::wire::from_slice(&bytes).expect("an entry can be decoded");
        state.clone().apply_entry(&entry).expect("the base is in force");
    });
    println!("{name}: {} bytes; shortest and median times:", bytes.len());
    println!("    decide {decision_times:?}, apply at a follower {follower_times:?}");
}

/// The shortest and the median time of [`RUN_COUNT`] runs.
fn shortest_and_median(run: impl Fn()) -> [Duration; 2] {
    let timed = |_| {
        let start = Instant::now();
        run();
        start.elapsed()
    };
    let mut times: Vec<Duration> = (0..RUN_COUNT).map(timed).collect();
    times.sort_unstable();
    [times[0], times[times.len() / 2]]
}
