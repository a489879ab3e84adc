//! Properties of the source files of the load balancer.

/// The source files of the load balancer, in the order of `deploy/balancer.toml`.
const BALANCER_SOURCES: [(&str, &str); 7] = [
    ("crates/load-balancer/src/balancer.rs", include_str!("../../crates/load-balancer/src/balancer.rs")),
    (
        "crates/load-balancer/src/balancer/admission.rs",
        include_str!("../../crates/load-balancer/src/balancer/admission.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/attempts.rs",
        include_str!("../../crates/load-balancer/src/balancer/attempts.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/discovery.rs",
        include_str!("../../crates/load-balancer/src/balancer/discovery.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/outlier_ejection.rs",
        include_str!("../../crates/load-balancer/src/balancer/outlier_ejection.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/request_key.rs",
        include_str!("../../crates/load-balancer/src/balancer/request_key.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/selection.rs",
        include_str!("../../crates/load-balancer/src/balancer/selection.rs"),
    ),
];

#[test]
fn the_balancer_sources_stay_short() {
    let lines = || BALANCER_SOURCES.iter().flat_map(|(_, text)| text.lines());
    assert!(lines().filter(|l| !l.trim().is_empty()).count() <= 950);
    assert!(lines().all(|l| l.chars().count() <= 110));
    assert!(BALANCER_SOURCES[0].1.lines().take(3).any(|l| l.contains("crates/load-balancer/src/types.rs")));
}

#[test]
fn the_policy_setting_names_all_balancer_sources() {
    let deploy = include_str!("../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    let named: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert_eq!(named, BALANCER_SOURCES.map(|(path, _)| path));
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/crates/load-balancer/src/balancer");
    let files = std::fs::read_dir(folder).expect("the balancer's directory").count();
    assert_eq!(files + 1, BALANCER_SOURCES.len());
}
