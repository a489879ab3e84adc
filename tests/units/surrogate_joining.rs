//! Joining surrogate halves that a replica sent in separate fragments.

use tulipridge::front::translate::text_fragment::FragmentJoiner;

fn joined(parts: &[&str]) -> String {
    let mut joiner = FragmentJoiner::default();
    let mut text = String::new();
    for part in parts {
        text += &joiner.join(serde_json::from_str(part).expect("a text"));
    }
    joiner.end(&mut text);
    text
}

#[test]
fn a_split_surrogate_pair_is_joined_to_one_character() {
    assert_eq!(joined(&[r#""a\ud83d\udeeb""#]), "a\u{1f6eb}");
    assert_eq!(joined(&[r#""a\ud83d""#, r#""\udeebb""#]), "a\u{1f6eb}b");
    assert_eq!(joined(&[r#""\ud83d""#, r#""""#, r#""\udeeb\ud83d""#, r#""\udeeb""#]), "\u{1f6eb}\u{1f6eb}");
    // A lone half becomes U+FFFD, and the text around it is kept.
    assert_eq!(joined(&[r#""a\ud83d""#, r#""b""#]), "a\u{fffd}b");
    assert_eq!(joined(&[r#""\udeeba""#, r#""\ud83d""#]), "\u{fffd}a\u{fffd}");
    assert_eq!(joined(&[r#""\ud83d\ud83d\udeeb""#]), "\u{fffd}\u{1f6eb}");
    assert_eq!(joined(&["\"\u{1f6eb}\"", r#""plain""#]), "\u{1f6eb}plain");
}
