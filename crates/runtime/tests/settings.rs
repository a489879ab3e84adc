//! Parsing and validation of settings.

use std::net::Ipv4Addr;

use insta::assert_snapshot;
use rstest::rstest;
use tulipridge_runtime::settings::{Role, Settings, SettingsError};

const EDGE: &str = include_str!("edge.yaml");

fn findings(text: &str) -> String {
    match Settings::parse(text) {
        Err(SettingsError::Invalid { findings }) => {
            findings.iter().map(|finding| format!("{finding}\n")).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn every_field_is_read() {
    let settings = Settings::parse(EDGE).expect("valid settings");
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn ports_follow_from_the_first_spare_port() {
    let settings = Settings::parse(EDGE).expect("valid settings");
    let ip = settings.ip_address;
    let sockets = [
        settings.control_socket(ip),
        settings.feed_socket(ip),
        settings.peer_sampling_socket(ip),
        settings.loopback_feed(),
    ];
    assert_eq!(
        sockets.map(|socket| socket.to_string()),
        ["10.1.0.9:7000", "10.1.0.9:7001", "10.1.0.9:7002", "127.0.0.1:7003"]
    );
    assert_eq!(settings.seed_ips(), [Ipv4Addr::new(10, 1, 0, 2), Ipv4Addr::new(10, 2, 0, 2)]);
}

#[test]
fn required_fields_suffice_and_unknown_or_null_are_ignored() {
    let text = "nodeName: a\nipAddress: 10.0.0.1\narea: a\nsparePorts: [7000, 7003]\nnew: {x: [1]}\n\
                timeLimits: {withdrawMs: null, leewayS: 2.5, contactMs: 10.0, other: true}\n\
                withstand: null\nhandlesRole: [edge, other]\n\
                cloudApi: {address: '10.0.0.2:80', tasks: [a, {}]}";
    let settings = Settings::parse(text).expect("valid settings");
    assert_eq!(settings.time_limits.withdraw_ms, 5000);
    assert_eq!(settings.time_limits.leeway_s, 2.5);
    assert_eq!(settings.time_limits.contact_ms, 10);
    assert_eq!(settings.withstand.machine_losses, 1);
    assert_eq!(settings.handles_role, [Role::Edge, Role::Unknown]);
    assert_eq!(settings.cloud_api.expect("the list's address").tasks, ["a"]);
}

#[test]
fn missing_fields_are_reported_together() {
    assert_snapshot!(findings("job: x"), @r"
    nodeName: is needed and missing
    ipAddress: is needed and missing
    area: is needed and missing
    sparePorts: is needed and missing
    ");
}

#[test]
fn values_out_of_range_are_reported_together() {
    let text = EDGE
        .replace("area: \"a\"", "area: \"c\"")
        .replace("- 7015", "- 7002")
        .replace("10.1.0.9:8687", "10.1.0.9:8689")
        .replace("withdrawMs: 5000", "withdrawMs: 0")
        .replace("retryRatio: 0.2", "retryRatio: -1")
        .replace("ramMb: 260", "ramMb: 0")
        .replace("10.2.0.2:8683", "10.2.0.2:0");
    assert_snapshot!(findings(&text), @r#"
    area: "c" is not one of zones
    sparePorts: 7000 to 7002 must give 4 ports above 0
    listenOn.readyCheck: 10.1.0.9:8689 is used twice
    seedNodes[1]: 10.2.0.2:0 is not an IPv4 address with a port
    caps.ramMb: 0 must be above 0
    timeLimits.withdrawMs: 0 must be above 0
    timeLimits.retryRatio: -1 must not be below 0
    "#);
}

#[rstest]
#[case::address("ipAddress: \"10.1.0.9\"", "ipAddress: here")]
#[case::port("frontDoor: \"10.1.0.9:8689\"", "frontDoor: \"10.1.0.9:99999\"")]
#[case::flag("firstBoot: true", "firstBoot: 3")]
#[case::limit("emptyMs: 3000", "emptyMs: soon")]
#[case::seed("- \"10.2.0.2:8683\"", "- elsewhere")]
#[case::list("sparePorts:\n  - 7000", "sparePorts:\n  - -1")]
fn a_value_of_the_wrong_type_is_named(#[case] valid: &str, #[case] invalid: &str) {
    let text = EDGE.replace(valid, invalid);
    assert_ne!(text, EDGE, "the case changes the text");
    let name = invalid.split([':', '-']).next().unwrap_or_default().trim().to_owned();
    insta::with_settings!({ snapshot_suffix => if name.is_empty() { "seed".into() } else { name } }, {
        insta::assert_snapshot!(findings(&text));
    });
}

#[rstest]
#[case::not_yaml("a: [")]
#[case::not_a_mapping("- a")]
#[case::empty("")]
fn a_text_without_settings_is_rejected(#[case] text: &str) {
    assert!(Settings::parse(text).is_err());
}
