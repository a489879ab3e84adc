//! Looking up API keys by their hashes.

use tulipridge::api_keys::{Key, KeyOwner, Keys, digits_of, hash_of};
use tulipridge::net::codec::Head;

#[test]
fn a_key_is_known_by_its_hash_in_either_header_and_no_other_is() {
    let key = |name: &str| Key {
        name: name.into(),
        hash: hash_of(&digits_of(name)).expect("64 digits"),
        tenant: None,
        models: Vec::new(),
    };
    let keys = Keys::new(vec![key("alpha"), key("beta"), key("gamma")]);
    let told = |name: &str, value: &str| {
        let head = Head { headers: vec![(name.into(), value.into())], ..Head::default() };
        match keys.owner(&head) {
            KeyOwner::Known(key) => key.name.clone(),
            other => format!("{other:?}"),
        }
    };
    assert_eq!(told("X-Api-Key", "alpha"), "alpha");
    assert_eq!(told("x-api-key", "gamma"), "gamma");
    assert_eq!(told("Authorization", "Bearer beta"), "beta");
    assert_eq!(told("x-api-key", "alpha "), "Stranger");
    assert_eq!(told("x-api-key", "delta"), "Stranger");
    assert_eq!(told("x-api-key", ""), "Keyless");
    assert_eq!(told("accept", "alpha"), "Keyless");
    assert!(matches!(Keys::default().owner(&Head::default()), KeyOwner::Anybody));
    assert_eq!(hash_of("12"), None);
    assert_eq!(hash_of(&"g".repeat(64)), None);
}
