//! The page of the table of sends says what the table says.

use tulipridge_proxy::replica::outcome::{ConnectionState, Known, Next, RequestKind, SendEvent, decide};

const PAGE: &str = include_str!("../../../docs/design/calls.md");

fn known(known: Known) -> &'static str {
    match known {
        Known::NotRun => "has not run",
        Known::MayHaveRun => "may have run",
        Known::HasRun => "has run",
    }
}

fn next(next: Next) -> &'static str {
    match next {
        Next::SendAgain => "send again",
        Next::SendAgainOrPassOn => "send again, else pass on",
        Next::Resume => "resume, else break off",
        Next::PassOn => "pass on",
        Next::Fail => "last answer",
        Next::BreakOff => "break off",
    }
}

fn rows() -> Vec<String> {
    let row = |event| {
        let cells: Vec<_> = RequestKind::ALL.iter().map(|kind| next(decide(*kind, event).next)).collect();
        format!(
            "| `{event:?}` | {} | {} | `{:?}` |",
            known(event.known()),
            cells.join(" | "),
            event.verdict()
        )
    };
    let state = |state: ConnectionState| {
        format!("| `{state:?}` | {} |", if state.is_reusable() { "kept" } else { "closed" })
    };
    SendEvent::ALL.into_iter().map(row).chain(ConnectionState::ALL.into_iter().map(state)).collect()
}

/// Rows that a page lacks, and rows of these tables that it has beyond them.
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
fn the_page_has_each_row_of_the_table_and_no_other() {
    assert_eq!(differences(PAGE), Vec::<String>::new(), "\n{}", rows().join("\n"));
}

#[test]
fn a_page_that_says_otherwise_is_seen() {
    let wrong = PAGE.replacen("| last answer |", "| send again |", 1);
    assert_eq!(differences(&wrong).len(), 2);
}
