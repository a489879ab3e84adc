//! The conformance suite over all four dialect pairs, as `tulipridge conformance` runs it.

use std::collections::BTreeMap;
use std::path::Path;

use tulipridge::conformance::{self, Verdict, case::Fleet};

#[test]
fn all_cases_pass_and_pairings_agree_on_outcomes_and_attempts() {
    let cases = conformance::cases().expect("valid case files");
    assert!(cases.len() >= 150, "{}", cases.len());
    let program = Path::new(env!("CARGO_BIN_EXE_tulipridge"));
    let report = conformance::run_all_pairings(&cases, program, Path::new(env!("CARGO_TARGET_TMPDIR")), 8);
    let report = report.expect("run the suite");
    assert!(report.all_passed(), "{}", report.text());
    let expected: usize =
        conformance::PAIRINGS.iter().map(|p| cases.iter().filter(|c| c.is_for(*p)).count()).sum();
    assert_eq!(report.verdicts.len(), expected, "each case runs on each of its pairs");

    // The suite compares results with the expectations of the case; here results are compared between the pairs.
    let mut faults: BTreeMap<&str, Vec<&Verdict>> = BTreeMap::new();
    for verdict in &report.verdicts {
        let case = cases.iter().find(|c| c.name == verdict.case).expect("the case of the verdict");
        if case.fleet != Fleet::Shared {
            faults.entry(&verdict.case).or_default().push(verdict);
        }
    }
    assert!(faults.len() >= 40);
    for (name, verdicts) in faults {
        let first = (verdicts[0].outcome, verdicts[0].attempts);
        assert!(verdicts.iter().all(|v| (v.outcome, v.attempts) == first), "{name}: {verdicts:?}");
    }
}

#[test]
fn a_case_that_fails_is_reported() {
    let text = "case wrong\n  serve text \"a\"\n  serve end done\n  see text \"b\"\n  attempts 2\n  sent /max_tokens 51\n  outcome broken\n";
    let cases = conformance::case::parse("wrong.case", text).expect("a valid case file");
    let program = Path::new(env!("CARGO_BIN_EXE_tulipridge"));
    let report = conformance::run_all_pairings(&cases, program, Path::new(env!("CARGO_TARGET_TMPDIR")), 4);
    let report = report.expect("run the suite");
    assert!(!report.all_passed());
    assert_eq!(report.verdicts.len(), 4);
    for verdict in &report.verdicts {
        assert_eq!(verdict.faults.len(), 4, "{:?}", verdict.faults);
    }
    let text = report.text();
    assert!(text.contains("0 of 1 passed") && text.contains("attempts: expected 2, got 1"), "{text}");
}
