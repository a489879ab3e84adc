//! Checks that `docs/design/calls.md` has the same retry table and the same connection states as the code.

use tulipridge_proxy::replica::connection_state::ConnectionState;
use tulipridge_proxy::replica::outcome::{AttemptOutcome, Execution};
use tulipridge_proxy::replica::request_kind::RequestKind;
use tulipridge_proxy::replica::retry::{RetryAction, decide};

const PAGE: &str = include_str!("../../../docs/design/calls.md");

fn execution_text(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "has not run",
        Execution::MayHaveRun => "may have run",
        Execution::HasRun => "has run",
    }
}

fn action_text(action: RetryAction) -> &'static str {
    match action {
        RetryAction::Retry => "retry",
        RetryAction::RetryOrForward => "retry, else forward",
        RetryAction::Resume => "resume, else abort",
        RetryAction::Forward => "forward",
        RetryAction::Fail => "final status",
        RetryAction::Abort => "abort",
    }
}

fn outcome_row(outcome: AttemptOutcome) -> String {
    let actions: Vec<_> =
        RequestKind::ALL.iter().map(|kind| action_text(decide(*kind, outcome).action)).collect();
    format!(
        "| `{outcome:?}` | {} | {} | `{:?}` |",
        execution_text(outcome.execution()),
        actions.join(" | "),
        outcome.verdict()
    )
}

fn connection_row(state: ConnectionState) -> String {
    format!("| `{state:?}` | {} |", if state.is_reusable() { "pooled" } else { "closed" })
}

fn rows() -> Vec<String> {
    let outcomes = AttemptOutcome::ALL.into_iter().map(outcome_row);
    outcomes.chain(ConnectionState::ALL.into_iter().map(connection_row)).collect()
}

/// Rows of the code that a page lacks, and table rows of the page that the code lacks.
fn differences(page: &str) -> Vec<String> {
    let rows = rows();
    let is_row = |line: &&str| line.starts_with("| `");
    let lines: Vec<&str> = page.lines().filter(is_row).collect();
    let missing = rows.iter().filter(|row| !lines.contains(&row.as_str())).cloned();
    let surplus = lines
        .iter()
        .filter(|line| !rows.iter().any(|row| row == *line))
        .map(std::string::ToString::to_string);
    missing.chain(surplus).collect()
}

#[test]
fn the_page_has_exactly_the_rows_of_the_code() {
    assert_eq!(differences(PAGE), Vec::<String>::new(), "\n{}", rows().join("\n"));
}

#[test]
fn a_page_with_another_action_differs_in_two_rows() {
    let wrong = PAGE.replacen("| final status |", "| retry |", 1);
    assert_eq!(differences(&wrong).len(), 2);
}
