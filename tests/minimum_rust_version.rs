//! The oldest toolchain that builds the programs of the system, held against their sources and dependencies: the machines
//! may have Debian's 1.85, which CI's own toolchain is newer than.

#[path = "support/cargo_metadata.rs"]
mod cargo_metadata;
#[path = "support/source_files.rs"]
mod source_files;

use std::fs;

use cargo_metadata::{Metadata, Package, TARGET_PLATFORM};
use source_files::sources_below;

/// What `deploy/system.toml` builds.
const PROGRAMS: [&str; 3] = ["tulipridge-proxy", "tulipridge-agent", "tulipridge-control-plane"];

/// The version of Debian 12's `rustc-web` without security updates.
const MINIMUM: (u32, u32) = (1, 85);

fn needed_packages() -> Vec<Package> {
    Metadata::read(TARGET_PLATFORM).into_packages_needed_by(&PROGRAMS)
}

/// Major and minor version.
fn version(text: &str) -> (u32, u32) {
    let mut parts = text.split('.').map(|part| part.parse().expect("a number"));
    (parts.next().unwrap_or(0), parts.next().unwrap_or(0))
}

/// The conditions of `if` and `while`, each on one line, with the number of the line where it begins.
fn conditions(source: &str) -> Vec<(usize, String)> {
    let mut found: Vec<(usize, String)> = Vec::new();
    let mut is_open = false;
    for (index, line) in source.lines().map(str::trim).enumerate() {
        let begins = ["if ", "while ", "} else if "].iter().any(|keyword| line.starts_with(keyword));
        if begins {
            found.push((index + 1, String::new()));
            is_open = true;
        }
        if is_open {
            let (_, condition) = found.last_mut().expect("one was begun");
            condition.push_str(line);
            condition.push(' ');
            is_open = !line.ends_with('{') && !line.ends_with('}');
        }
    }
    found
}

/// Whether a condition joins a pattern with another condition, which is Rust 1.88.
fn is_let_chain(condition: &str) -> bool {
    let mut depth = 0_i32;
    let mut outside = String::new();
    for character in condition.chars() {
        match character {
            '(' | '[' => depth += 1,
            ')' | ']' => depth -= 1,
            _ if depth == 0 => outside.push(character),
            _ => {}
        }
    }
    outside.contains("let ") && outside.contains("&&")
}

#[test]
fn let_chains_are_found_and_other_conditions_are_not() {
    let source = "if a\n    && let Some(b) = c()\n{\n}\nif let Some(b) = c(d && e) {\n}\nif a && b {\n}\n\
                  } else if let Some(b) = c && d {\n}\nwhile a && let Ok(b) = c {\n}\n";
    let chains: Vec<usize> =
        conditions(source).iter().filter(|(_, text)| is_let_chain(text)).map(|(line, _)| *line).collect();
    assert_eq!(chains, [1, 9, 11]);
}

#[test]
fn each_package_of_the_programs_states_the_oldest_toolchain() {
    for package in needed_packages().iter().filter(|package| package.is_in_workspace()) {
        let stated = package.rust_version.as_deref().map(version);
        assert_eq!(stated, Some(MINIMUM), "{}", package.name);
    }
}

#[test]
fn no_dependency_of_the_programs_needs_a_newer_toolchain() {
    let packages = needed_packages();
    let newer: Vec<(&str, &str)> = packages
        .iter()
        .filter_map(|package| Some((package.name.as_str(), package.rust_version.as_deref()?)))
        .filter(|(_, stated)| version(stated) > MINIMUM)
        .collect();
    assert!(newer.is_empty(), "{newer:?}");
}

#[test]
fn no_source_of_the_programs_has_a_let_chain() {
    let mut sources = Vec::new();
    for package in needed_packages().iter().filter(|package| package.is_in_workspace()) {
        sources_below(&package.folder(), &mut sources);
    }
    let mut chains = Vec::new();
    for path in &sources {
        let text = fs::read_to_string(path).expect("a source is UTF-8");
        let found = conditions(&text).into_iter().filter(|(_, condition)| is_let_chain(condition));
        chains.extend(found.map(|(line, _)| format!("{}:{line}", path.display())));
    }
    assert!(chains.is_empty(), "{chains:#?}");
}
