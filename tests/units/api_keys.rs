//! Looking up API keys by their hashes.

use tulipridge::api_keys::{Key, KeyOwner, Keys, digits_of, hash_of};
use tulipridge::net::codec::Head;

#[test]
fn a_key_is_recognised_by_its_hash_in_either_header() {
    let key = |name: &str| Key {
        name: name.into(),
        hash: hash_of(&digits_of(name)).expect("64 digits"),
        tenant: None,
        models: Vec::new(),
    };
    let keys = Keys::new(vec![key("alpha"), key("beta"), key("gamma")]);
    let owner = |name: &str, value: &str| {
        let head = Head { headers: vec![(name.into(), value.into())], ..Head::default() };
        match keys.owner(&head) {
            KeyOwner::Known(key) => key.name.clone(),
            other => format!("{other:?}"),
        }
    };
    assert_eq!(owner("X-Api-Key", "alpha"), "alpha");
    assert_eq!(owner("x-api-key", "gamma"), "gamma");
    assert_eq!(owner("Authorization", "Bearer beta"), "beta");
    assert_eq!(owner("x-api-key", "alpha "), "Unknown");
    assert_eq!(owner("x-api-key", "delta"), "Unknown");
    assert_eq!(owner("x-api-key", ""), "Missing");
    assert_eq!(owner("accept", "alpha"), "Missing");
    assert!(matches!(Keys::default().owner(&Head::default()), KeyOwner::NotRequired));
    assert_eq!(hash_of("12"), None);
    assert_eq!(hash_of(&"g".repeat(64)), None);
}
