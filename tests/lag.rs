//! The watch on the serving thread: what it tells, and through the program.

mod support;

use std::cell::Cell;
use std::thread;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use tulipridge::limits::Limits;
use tulipridge::process::lag::{LagMonitor, LagSpell};

use support::*;

const MS: u64 = 1_000_000;

fn watch() -> LagMonitor {
    let second = Duration::from_secs(1);
    LagMonitor::new(0, 0, &Limits::new(1024, 192, second, second))
}

#[test]
fn a_late_run_is_reported_with_the_threads_own_time_once_a_spell() {
    let mut watch = watch();
    assert_eq!(watch.ran(50 * MS, 150 * MS, || 9 * MS), None, "late by no more than is usual");
    // Others had the processor, or a system call waited: hardly any time of its own.
    let told = watch.ran(200 * MS, 900 * MS, || 10 * MS);
    assert_eq!(told, Some(LagSpell { due: 200 * MS, late: 700 * MS, span: 750 * MS, cpu: MS }));
    assert_eq!(watch.ran(900 * MS, 1100 * MS, || 200 * MS), None, "the same spell");
    assert_eq!(watch.ran(2080 * MS, 2090 * MS, || 210 * MS), None, "on time");
    // A loop of the program's own.
    let told = watch.ran(2100 * MS, 2500 * MS, || 610 * MS);
    assert_eq!(told, Some(LagSpell { due: 2100 * MS, late: 400 * MS, span: 410 * MS, cpu: 400 * MS }));
}

#[test]
fn the_threads_clock_is_read_seldom() {
    let (mut watch, reads) = (watch(), Cell::new(0));
    for now in 1..=1000 {
        let told = watch.ran(now * MS, now * MS, || {
            reads.set(reads.get() + 1);
            now * MS
        });
        assert_eq!(told, None);
    }
    assert_eq!(reads.get(), 100, "each 10 ms, however often it runs");
}

/// Random runs: each is on time, a little late or very late, and uses some of its time.
#[test]
fn it_tells_each_spells_first_late_run_and_no_other() {
    fn property(steps: Vec<(u16, u16, u8)>) -> bool {
        let (mut watch, mut now, mut cpu) = (watch(), 0, 0);
        // When the model last saw it late, and when it last looked.
        let (mut last, mut seen) = (None::<u64>, (0, 0));
        steps.iter().all(|(sleep, late, busy)| {
            let due = now + u64::from(sleep % 251) * MS;
            let late = u64::from(late % 400) * MS * u64::from(busy % 3);
            now = due + late;
            cpu += (now - seen.0).min(u64::from(*busy) * MS);
            let told = watch.ran(due, now, || cpu);
            let over = late > 100 * MS;
            let first = over && last.is_none_or(|last| now - last >= 1000 * MS);
            let expected = first.then(|| LagSpell { due, late, span: now - seen.0, cpu: cpu - seen.1 });
            if over {
                last = Some(now);
            }
            if over || now - seen.0 >= 10 * MS {
                seen = (now, cpu);
            }
            told == expected
        })
    }
    let steps = property as fn(Vec<(u16, u16, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 22)).tests(300).quickcheck(steps);
}

#[test]
fn a_program_that_was_not_run_says_so_and_that_it_was_not_its_own_work() {
    let server = server("platform", Manner::Serve);
    let gateway = Gateway::start("platform", vec![entry(0, &server, "ready", 0)], 1);
    gateway.signal("-STOP");
    thread::sleep(Duration::from_millis(1200));
    gateway.signal("-CONT");
    let number = |line: &str, name: &str| -> u64 {
        let value = line.split_once(&format!("{name}=\"")).expect("a value").1;
        value.split('"').next().expect("a value").parse().expect("a number")
    };
    // At the latest it was due 250 ms after it was stopped.
    let shown = || {
        let log = gateway.log.lock().expect("whole");
        let mut late = log.iter().filter(|l| l.contains(" thread-late "));
        late.any(|l| number(l, "late_ms") >= 900 && number(l, "cpu_ms") < number(l, "late_ms") / 2)
    };
    eventually(shown);
}
