//! Deltas between two texts: application, length and errors.

use rstest::rstest;
use tulipridge_configuration::Delta;

const ITEMS: &str = r#"{"revision":1,"routes":[{"label":"first","hostname":"a.example","rank":0},
{"label":"second","hostname":"b.example","rank":1},{"label":"third","hostname":"c.example","rank":2}]}"#;

#[rstest]
#[case::empty_to_empty("", "")]
#[case::empty_to_items("", ITEMS)]
#[case::items_to_empty(ITEMS, "")]
#[case::unchanged(ITEMS, ITEMS)]
#[case::one_item_changed(ITEMS, &ITEMS.replace("b.example", "d.example"))]
#[case::no_braces("a text without braces that is longer than a piece", "another text without braces")]
#[case::braces_only("{{}}}{}{", "}}{}{{{}")]
#[case::braces_in_text(ITEMS, &ITEMS.replace("first", "}{first{}"))]
#[case::non_ascii("{\"label\":\"grün und blau und rot und gelb\"}", "{\"label\":\"grün und blau\"}")]
fn a_delta_builds_the_new_text(#[case] old: &str, #[case] new: &str) {
    let delta = Delta::between(old.as_bytes(), new.as_bytes());
    assert_eq!(delta.apply(old.as_bytes()).expect("the base matches"), new.as_bytes());
}

fn items(labels: &[usize], separator: &str) -> String {
    let item =
        |label: &usize| format!(r#"{{"label":"item {label}","hostname":"h{label}.example","rank":7}}"#);
    let items: Vec<String> = labels.iter().map(item).collect();
    format!(r#"{{"revision":{},"routes":[{}]}}"#, labels.len(), items.join(separator))
}

#[rstest]
#[case::unchanged(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], ",", 100)]
#[case::one_removed(&[0, 1, 2, 3, 4, 6, 7, 8, 9], ",", 160)]
#[case::one_added(&[0, 1, 2, 3, 4, 5, 6, 10, 7, 8, 9], ",", 250)]
#[case::halves_swapped(&[5, 6, 7, 8, 9, 0, 1, 2, 3, 4], ",", 160)]
#[case::different_white_space(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], ",\n  ", 600)]
fn unchanged_items_are_copied(#[case] labels: &[usize], #[case] separator: &str, #[case] bound: usize) {
    let old = items(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], ",");
    let new = items(labels, separator);
    let delta = Delta::between(old.as_bytes(), new.as_bytes());
    assert_eq!(delta.apply(old.as_bytes()).expect("the base matches"), new.as_bytes());
    assert!(delta.max_encoded_length() <= bound, "{} bytes", delta.max_encoded_length());
}

#[test]
fn the_encoded_length_is_within_its_bound() {
    let old = items(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], ",");
    let new = items(&[9, 8, 7, 20, 6, 5, 21, 22, 4, 3, 2, 1, 0], ", ");
    let delta = Delta::between(old.as_bytes(), new.as_bytes());
    let encoded = musli::wire::to_vec(&delta).expect("a delta can be encoded");
    let bound = delta.max_encoded_length();
    assert!(encoded.len() <= bound, "{} bytes encoded, at most {bound} were expected", encoded.len());
    let decoded: Delta = musli::wire::from_slice(&encoded).expect("a delta can be decoded");
    assert_eq!(decoded, delta);
}

#[test]
fn a_base_that_is_too_short_is_an_error() {
    let old = items(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], ",");
    let start = r#"{"revision":10,"routes":["#.len();
    let delta = Delta::between(old.as_bytes(), old.as_bytes());
    let error = delta.apply(&old.as_bytes()[1..]).expect_err("the base is one byte too short");
    let (end, length) = (old.len(), old.len() - 1);
    assert_eq!(
        error.to_string(),
        format!("the byte range {start}..{end} is not within the old text of {length} bytes")
    );
}

/// Texts of few characters and many braces, so that equal chunks occur more than once.
#[test]
fn deltas_between_random_texts_build_the_new_text() {
    let mut random = fastrand::Rng::with_seed(11);
    for _ in 0..2_000 {
        let fragments: Vec<String> = (0..6).map(|_| random_fragment(&mut random)).collect();
        let (old, new) = (random_text(&mut random, &fragments), random_text(&mut random, &fragments));
        let delta = Delta::between(old.as_bytes(), new.as_bytes());
        assert_eq!(delta.apply(old.as_bytes()).expect("the base matches"), new.as_bytes());
    }
}

fn random_text(random: &mut fastrand::Rng, fragments: &[String]) -> String {
    let length = random.usize(0..12);
    (0..length).map(|_| fragments[random.usize(0..fragments.len())].as_str()).collect()
}

fn random_fragment(random: &mut fastrand::Rng) -> String {
    let length = random.usize(1..120);
    (0..length).map(|_| random_char(random)).collect()
}

fn random_char(random: &mut fastrand::Rng) -> char {
    let characters: &[char] = if random.u8(..20) == 0 { &['{', '}'] } else { &['a', 'b', ','] };
    characters[random.usize(0..characters.len())]
}
