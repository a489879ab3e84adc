//! The lag monitor of the serving thread, on its own and in the program.

mod support;

use std::cell::Cell;
use std::thread;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use tulipridge::limits::Limits;
use tulipridge::process::lag::{LagMonitor, LateRun};

use support::*;

const MS: u64 = 1_000_000;

fn monitor() -> LagMonitor {
    let second = Duration::from_secs(1);
    LagMonitor::new(0, 0, &Limits::new(1024, 192, second, second))
}

#[test]
fn a_late_run_is_reported_with_cpu_time_once_per_spell() {
    let mut monitor = monitor();
    assert_eq!(monitor.record_run(50 * MS, 150 * MS, || 9 * MS), None, "within the permitted lag");
    // Other threads had the processor, or a system call blocked: little processor time of its own.
    let report = monitor.record_run(200 * MS, 900 * MS, || 10 * MS);
    assert_eq!(report, Some(LateRun { due: 200 * MS, delay: 700 * MS, span: 750 * MS, cpu_time: MS }));
    assert_eq!(monitor.record_run(900 * MS, 1100 * MS, || 200 * MS), None, "the same spell");
    assert_eq!(monitor.record_run(2080 * MS, 2090 * MS, || 210 * MS), None, "on time");
    // A long computation of the program itself.
    let report = monitor.record_run(2100 * MS, 2500 * MS, || 610 * MS);
    assert_eq!(
        report,
        Some(LateRun { due: 2100 * MS, delay: 400 * MS, span: 410 * MS, cpu_time: 400 * MS })
    );
}

#[test]
fn the_cpu_clock_is_read_at_most_every_10_ms() {
    let (mut monitor, reads) = (monitor(), Cell::new(0));
    for now in 1..=1000 {
        let report = monitor.record_run(now * MS, now * MS, || {
            reads.set(reads.get() + 1);
            now * MS
        });
        assert_eq!(report, None);
    }
    assert_eq!(reads.get(), 100, "each 10 ms, however often it runs");
}

/// Random runs that are on time, slightly late or very late, with random processor time.
#[test]
fn only_the_first_late_run_of_a_spell_is_reported() {
    fn property(steps: Vec<(u16, u16, u8)>) -> bool {
        let (mut monitor, mut now, mut cpu) = (monitor(), 0, 0);
        // When the model last saw a late run, and the two clocks at its last reading.
        let (mut last, mut seen) = (None::<u64>, (0, 0));
        steps.iter().all(|(sleep, late, busy)| {
            let due = now + u64::from(sleep % 251) * MS;
            let late = u64::from(late % 400) * MS * u64::from(busy % 3);
            now = due + late;
            cpu += (now - seen.0).min(u64::from(*busy) * MS);
            let report = monitor.record_run(due, now, || cpu);
            let over = late > 100 * MS;
            let first = over && last.is_none_or(|last| now - last >= 1000 * MS);
            let expected =
                first.then(|| LateRun { due, delay: late, span: now - seen.0, cpu_time: cpu - seen.1 });
            if over {
                last = Some(now);
            }
            if over || now - seen.0 >= 10 * MS {
                seen = (now, cpu);
            }
            report == expected
        })
    }
    let steps = property as fn(Vec<(u16, u16, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 22)).tests(300).quickcheck(steps);
}

#[test]
fn a_stopped_process_logs_a_late_run_with_little_cpu_time() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    gateway.signal("-STOP");
    thread::sleep(Duration::from_millis(1200));
    gateway.signal("-CONT");
    let number = |line: &str, name: &str| -> u64 {
        let value = line.split_once(&format!("{name}=\"")).expect("a value").1;
        value.split('"').next().expect("a value").parse().expect("a number")
    };
    // It was due at most 250 ms after it was stopped.
    let is_logged = || {
        let log = gateway.log.lock().expect("not poisoned");
        let mut late = log.iter().filter(|l| l.contains(" thread-late "));
        late.any(|l| number(l, "late_ms") >= 900 && number(l, "cpu_ms") < number(l, "late_ms") / 2)
    };
    wait_until(is_logged);
}
