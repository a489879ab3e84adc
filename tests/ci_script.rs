//! What CI does with tests that are known to fail: `.ci/run` with a stand-in for cargo, in a folder of its own.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Notes how it is called, and fails when a single test is asked for whose name begins with `red`.
const CARGO: &str = "#!/bin/sh\n\
    echo \"$@\" >> calls\n\
    case \"$*\" in *'-- --exact red'*) exit 101;; esac\n";

struct Ended {
    is_green: bool,
    printed: String,
    calls: String,
}

/// Runs the script in an empty folder of this name.
fn run_with(folder: &str, known_red: Option<&str>) -> Ended {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ci_script").join(folder);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let at = |name: &str| folder.join(name);
    for name in [".ci", "bin", "crates", "tests"] {
        fs::create_dir(at(name)).expect("a folder");
    }
    write_program(&at("bin/cargo"), CARGO);
    write_program(&at(".ci/run"), include_str!("../.ci/run"));
    let tests = "fn red_one() {}\nfn red_two() {}\nfn green() {}\nfn twice() {}\n";
    fs::write(at("tests/a.rs"), tests).expect("a file");
    fs::write(at("crates/b.rs"), "fn twice() {}\n").expect("a file");
    if let Some(known_red) = known_red {
        fs::write(at("KNOWN-RED.txt"), known_red).expect("a file");
    }
    let path = format!("{}:/usr/bin:/bin", at("bin").display());
    let run = Command::new("bash").arg(at(".ci/run")).env("PATH", path).output();
    let Output { status, stdout, .. } = run.expect("bash runs it");
    let printed = String::from_utf8_lossy(&stdout).into_owned();
    let calls = fs::read_to_string(at("calls")).unwrap_or_default();
    Ended { is_green: status.success(), printed, calls }
}

fn write_program(path: &Path, text: &str) {
    fs::write(path, text).expect("a file");
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).expect("it may be run");
}

#[test]
fn without_a_list_all_tests_count() {
    let ended = run_with("none", None);
    assert!(ended.is_green, "{}", ended.printed);
    assert!(ended.calls.ends_with("test --locked --workspace\n"), "{}", ended.calls);
}

#[test]
fn just_the_listed_tests_are_passed_over_and_printed() {
    let ended = run_with("two", Some("p a red_one | cause | issue 1\np a red_two | cause | issue 2\n"));
    assert!(ended.is_green, "{}", ended.printed);
    let skips = "test --locked --workspace -- --exact --skip red_one --skip red_two\n";
    assert!(ended.calls.contains(skips), "{}", ended.calls);
    assert!(ended.printed.contains("known red: p a red_one | cause | issue 1"), "{}", ended.printed);
    assert!(ended.printed.contains("known red: p a red_two | cause | issue 2"), "{}", ended.printed);
}

#[test]
fn a_list_that_hides_more_than_it_says_fails() {
    let beyond_three = "p a red_one |\np a red_two |\np a red_one |\np a red_two |\n";
    for (folder, known_red, complaint) in [
        ("passes", "p a green | c | i\n", "but it passes: green"),
        ("several", "p a twice | c | i\n", "not the name of just one test: twice"),
        ("absent", "p a absent | c | i\n", "not the name of just one test: absent"),
        ("many", beyond_three, "more than three lines"),
    ] {
        let ended = run_with(folder, Some(known_red));
        assert!(!ended.is_green, "{folder}");
        assert!(ended.printed.contains(complaint), "{folder}: {}", ended.printed);
    }
}
