//! Tracking the nesting of a JSON text that arrives in pieces.

use tulipridge::front::object::{Nesting, depth};

#[test]
fn a_json_text_in_pieces_is_complete_only_at_its_end() {
    let json = r#"{"a":"}\"]","b":[1,{"c":"\\"}]}"#;
    let mut nesting = Nesting::default();
    for at in 0..json.len() {
        assert!(!nesting.is_complete(), "at {at}");
        nesting.add(&json[at..at + 1]);
    }
    assert!(nesting.is_complete());
    assert_eq!((depth(json), depth("\"[[[\""), depth("1")), (3, 0, 0));
}
