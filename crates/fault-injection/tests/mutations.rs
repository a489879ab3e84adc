//! The list of mutations names existing sources and tests, and the map of rules names exactly the listed mutations.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use tulipridge_fault_injection::mutation::{Mutation, read_list};

const RULES_PAGE: &str = "docs/design/rules.md";
/// The first heading after the rules; the tables below it have other columns.
const HEADING_AFTER_RULES: &str = "## A core whose share is a quota";
/// Number of columns: rule, requirement, modules, mutations and tests, days.
const RULE_COLUMNS: usize = 5;

/// Names in a row of the map of rules.
struct RuleRow {
    modules: Vec<String>,
    mutations_and_tests: Vec<String>,
}

/// The text of each pair of backticks in a cell.
fn backticked_names(cell: &str) -> Vec<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn rule_rows() -> Vec<RuleRow> {
    let page = read_file(Path::new(RULES_PAGE));
    let (rules, _) = page.split_once(HEADING_AFTER_RULES).expect("the heading after the rules");
    let rows = rules
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| ---") && !line.starts_with("| rule"));
    rows.map(parse_rule_row).collect()
}

fn parse_rule_row(row: &str) -> RuleRow {
    let cells: Vec<&str> = row.trim_matches('|').split(" | ").collect();
    assert_eq!(cells.len(), RULE_COLUMNS, "{row}");
    RuleRow { modules: backticked_names(cells[2]), mutations_and_tests: backticked_names(cells[3]) }
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_mutations() -> Vec<Mutation> {
    read_list(&repository_root().join("crates/fault-injection/mutations.toml"))
        .expect("a valid list of mutations")
}

fn read_file(file: &Path) -> String {
    let path = repository_root().join(file);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn each_mutation_has_a_unique_name() {
    let list = read_mutations();
    let ids: BTreeSet<&str> = list.iter().map(|mutation| mutation.id.as_str()).collect();
    assert!(list.len() >= 40 && ids.len() == list.len(), "{} names of {}", ids.len(), list.len());
}

#[test]
fn the_text_of_each_mutation_occurs_once_in_its_file() {
    for Mutation { id, file, find, replace, .. } in read_mutations() {
        assert_eq!(read_file(&file).matches(&find).count(), 1, "{id}");
        assert_ne!(find, replace, "{id}");
    }
}

#[test]
fn the_test_of_each_mutation_exists() {
    for Mutation { id, test, .. } in read_mutations() {
        let function = format!("fn {}(", test.function);
        assert_eq!(read_file(&test.source_file()).matches(&function).count(), 1, "{id}: {function}");
    }
}

#[test]
fn each_rule_names_existing_modules_and_mutations_or_tests() {
    let rows = rule_rows();
    assert!(rows.len() >= 60, "{} rows", rows.len());
    for RuleRow { modules, mutations_and_tests } in rows {
        assert!(
            !modules.is_empty() && !mutations_and_tests.is_empty(),
            "{modules:?} {mutations_and_tests:?}"
        );
        for module in modules {
            assert!(repository_root().join("crates").join(&module).is_file(), "{module}");
        }
    }
}

#[test]
fn the_map_of_rules_names_all_mutations_and_existing_tests() {
    let mutations_and_tests: Vec<String> =
        rule_rows().into_iter().flat_map(|row| row.mutations_and_tests).collect();
    let (tests, ids): (BTreeSet<String>, BTreeSet<String>) =
        mutations_and_tests.into_iter().partition(|name| name.contains(' '));
    let listed: BTreeSet<String> = read_mutations().into_iter().map(|mutation| mutation.id).collect();
    assert_eq!(ids, listed);
    for test in tests {
        let [package, file, function] = test.split(' ').collect::<Vec<_>>()[..] else {
            panic!("not PACKAGE FILE FUNCTION: {test}")
        };
        let source =
            read_file(&Path::new("crates").join(package).join("tests").join(file).with_extension("rs"));
        assert_eq!(source.matches(&format!("fn {function}(")).count(), 1, "{test}");
    }
}
