//! Format of log lines.

use insta::assert_snapshot;
use log::{Level, Record};
use tulipridge_runtime::logging::line;

#[test]
fn a_line_is_json_with_its_key_values() {
    let values: [(&str, log::kv::Value<'_>); 5] = [
        ("count", 3.into()),
        ("ratio", 0.5.into()),
        ("ready", true.into()),
        ("peer", "10.0.0.1:7\"".into()),
        ("node", "never replaced".into()),
    ];
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("a peer is late"))
        .key_values(&values)
        .build();
    assert_snapshot!(
        line("agent", "edge-a-1", 1250, &record),
        @r#"{"at_ms":1250,"count":3,"level":"WARN","message":"a peer is late","node":"edge-a-1","peer":"10.0.0.1:7\"","program":"agent","ratio":0.5,"ready":true}"#
    );
}
