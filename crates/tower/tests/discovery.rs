//! Reading the list of replicas, and the pace of its calls.

use std::time::Duration;

use insta::assert_debug_snapshot;
use rstest::rstest;
use tower::discovery::{Pace, Page, WalkEnd};

const ENTRY: &str = r#"{"backend":"chat","address":"10.128.0.9:8080","area":"a","revision":"v1","capacity":128,"phase":"ready","warmLeftMs":12.5,"half":"either","llms":[{"label":"m","revision":1,"addons":[]}],"ident":"i-1"}"#;

fn page(entries: &str, token: &str) -> String {
    format!(r#"{{"servers":[{entries}],"nextToken":{token}}}"#)
}

#[test]
fn a_page_is_read() {
    let page = Page::parse(page(ENTRY, r#""p-50""#).as_bytes()).expect("the page is whole");
    assert_debug_snapshot!(page, @r#"
    Page {
        replicas: [
            Replica {
                id: "i-1",
                service: "chat",
                address: "10.128.0.9:8080",
                zone: "a",
                capacity: 128,
                phase: Ready,
                warm_left_ms: 13,
                models: [
                    ModelRevision {
                        model: "m",
                        revision: 1,
                    },
                ],
            },
        ],
        unreadable: [],
        next_token: Some(
            "p-50",
        ),
    }
    "#);
}

#[rstest]
#[case::unknown_phase(ENTRY.replace("ready", "asleep"))]
#[case::no_id(ENTRY.replace("ident", "name"))]
#[case::name_for_address(ENTRY.replace("10.128.0.9:8080", "host:8080"))]
#[case::no_object("17".to_owned())]
fn an_unreadable_entry_spoils_nothing_else(#[case] entry: String) {
    let page =
        Page::parse(page(&format!("{entry},{ENTRY}"), "null").as_bytes()).expect("the page is whole");
    assert_eq!(page.replicas.len(), 1);
    assert_eq!(page.unreadable, [entry]);
    assert_eq!(page.next_token, None);
}

#[rstest]
#[case::cut_off(r#"{"servers":["#)]
#[case::without_token(r#"{"servers":[]}"#)]
#[case::without_servers(r#"{"nextToken":null}"#)]
#[case::empty("")]
fn a_page_that_is_not_whole_is_refused(#[case] body: &str) {
    assert!(Page::parse(body.as_bytes()).is_err());
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_changing_list_is_asked_for_more_often_than_a_quiet_one() {
    let mut pace = Pace::new(47.0, ms(0));
    assert_eq!(pace.next_walk(ms(0), ms(20), WalkEnd::Changed), ms(700));
    assert_eq!(pace.next_walk(ms(700), ms(720), WalkEnd::Unchanged), ms(1_400));
    assert_eq!(pace.next_walk(ms(6_000), ms(6_020), WalkEnd::Unchanged), ms(7_000));
    assert_eq!(pace.next_walk(ms(7_000), ms(7_020), WalkEnd::Changed), ms(7_700));
}

#[test]
fn refusals_double_the_pause_until_a_walk_succeeds() {
    let mut pace = Pace::new(47.0, ms(0));
    assert_eq!(pace.next_walk(ms(0), ms(10), WalkEnd::Refused), ms(510));
    assert_eq!(pace.next_walk(ms(510), ms(520), WalkEnd::Refused), ms(1_520));
    assert_eq!(pace.next_walk(ms(1_520), ms(1_530), WalkEnd::Unchanged), ms(2_220));
    assert_eq!(pace.next_walk(ms(2_220), ms(2_230), WalkEnd::Refused), ms(2_730));
}

#[test]
fn a_long_walk_is_followed_at_the_pace_of_its_pages() {
    let mut pace = Pace::new(10.0, ms(0));
    let gap = pace.page_gap();
    assert!(gap > ms(100), "calls stay below the platform's rate");
    assert_eq!(pace.next_walk(ms(0), ms(12_000), WalkEnd::Changed), ms(12_000) + gap);
}
