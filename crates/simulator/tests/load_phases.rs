//! The phases of an experiment's load.

use tulipridge_simulator::experiment::Experiment;

#[test]
fn bursts_come_at_once_and_ramps_evenly_and_both_multiply() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments/here.hcl");
    let text = "from = \"release.hcl\"\nload {\n  phases {\n    burst {\n      at = \"5s\"\n      lasts = \"5s\"\n      \
                factor = 3\n    }\n    ramp {\n      at = \"0s\"\n      lasts = \"10s\"\n      factor = 2\n      \
                ramp = true\n    }\n  }\n}\n";
    let x = Experiment::parse(path, text).expect("a good experiment");
    // The warm-up takes 20 s; before it and after the phases the rate is as it stands.
    let factors = [10, 20, 22, 25, 28, 30].map(|s| x.factor_at(s * 1_000_000_000));
    let wanted = [1.0, 1.0, 1.2, 4.5, 5.4, 1.0];
    assert!(factors.iter().zip(wanted).all(|(f, w)| (f - w).abs() < 1e-9), "{factors:?}");
    assert_eq!(x.factor_most(), 6.0);
}
