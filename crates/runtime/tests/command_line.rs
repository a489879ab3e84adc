//! Parsing of the command line.

use std::path::PathBuf;

use rstest::rstest;
use tulipridge_runtime::command_line::{Command, parser};

#[rstest]
#[case::nothing(&[], Command::Run)]
#[case::run(&["run"], Command::Run)]
#[case::check(&["check", "a.yaml"], Command::Check { file: PathBuf::from("a.yaml") })]
fn commands_are_parsed(#[case] words: &[&str], #[case] expected: Command) {
    assert_eq!(parser("A program", "1.2.3").run_inner(words).expect("a command"), expected);
}

#[test]
fn the_version_is_printed() {
    let outcome = parser("A program", "1.2.3").run_inner(&["--version"]);
    let message = outcome.expect_err("no command").unwrap_stdout();
    assert!(message.contains("1.2.3"), "{message}");
}

#[rstest]
#[case::unknown(&["unknown"])]
#[case::no_file(&["check"])]
fn invalid_commands_are_rejected(#[case] words: &[&str]) {
    assert!(parser("A program", "1.2.3").run_inner(words).is_err());
}
