//! Reading conformance case files.

use tulipridge::conformance::case::{Outcome, parse};

#[test]
fn a_case_file_is_parsed_and_errors_name_their_line() {
    let cases = parse(
        "f",
        "# c\ncase a\n  ask user \"x \\\"y\\\"\"\n  serve call 0 c1 find\n  then\n  serve end\n\
        \n  see@messages usage 1 2 3\n  see call f {\"a\": [1]}\n  outcome broken\ncase b\n",
    )
    .expect("good");
    assert_eq!((cases.len(), cases[0].position.line, cases[1].name.as_str()), (2, 2, "b"));
    assert_eq!(cases[0].request_directives[0].at(0), "x \"y\"");
    assert_eq!((cases[0].serve.len(), cases[0].serve[0][0].number(0)), (2, 0));
    assert_eq!(cases[0].see[1].directive.json(1), "{\"a\": [1]}");
    assert_eq!(cases[0].outcome, Outcome::Broken);
    // Regression: a carriage return that does not end a line made the parser loop forever.
    assert!(parse("f", "case a\r\n  serve end\r\n").is_ok_and(|cases| cases[0].serve[0].len() == 1));
    assert!(parse("f", "case\ra\r\r  x").is_err());
    for (text, message) in [
        ("x a\n", "f:1: only"),
        ("case a\n  odd\n", "f:2: unknown keyword 'odd'"),
        ("case a\n  outcome odd\n", "f:2: unknown outcome 'odd'"),
        ("case a\n  ask user \"x\n", "f:2: not"),
        ("case a\n  see call f {\"a\"\n", "f:2: not a JSON value"),
        ("case a\n  sent model \"m\"\n", "f:2: a JSON pointer"),
        ("  ask user x\n", "f:1: no case"),
        ("case a\ncase a\n", "f:2: this name"),
    ] {
        let error = parse("f", text).expect_err(text);
        assert!(error.to_string().starts_with(message), "{error}");
    }
}
