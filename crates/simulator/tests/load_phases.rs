//! The phases of an experiment's load.

use tulipridge_simulator::experiment::Experiment;

#[test]
fn a_burst_is_constant_a_ramp_linear_and_their_product_applies() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments/here.hcl");
    let text = "from = \"release.hcl\"\nload {\n  phases {\n    burst {\n      at = \"5s\"\n      lasts = \"5s\"\n      \
                factor = 3\n    }\n    ramp {\n      at = \"0s\"\n      lasts = \"10s\"\n      factor = 2\n      \
                ramp = true\n    }\n  }\n}\n";
    let experiment = Experiment::parse(path, text).expect("a valid experiment");
    // The warm-up takes 20 s; before its end and after the phases the factor is 1.
    let factors = [10, 20, 22, 25, 28, 30].map(|second| experiment.load_factor_at(second * 1_000_000_000));
    let expected = [1.0, 1.0, 1.2, 4.5, 5.4, 1.0];
    assert!(
        factors.iter().zip(expected).all(|(factor, expected)| (factor - expected).abs() < 1e-9),
        "{factors:?}"
    );
    assert_eq!(experiment.max_load_factor(), 6.0);
}
