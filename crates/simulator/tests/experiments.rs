//! Simulations of a small fleet: reports are reproducible, and their statistics show the load and the faults.

use tulipridge_simulator::experiment::Experiment;
use tulipridge_simulator::record::{IntervalSummary, Recorder, ReplicaSummary};
use tulipridge_simulator::report::Report;

const RELEASE: &str = include_str!("../experiments/release.hcl");

/// Returns `release.hcl` for a small fleet, with replacements of parts of lines. Panics if a replaced part is missing.
fn release(replacements: &[(&str, &str)]) -> String {
    let small = [
        ("warmup   = \"20s\"", "warmup   = \"3s\""),
        ("length   = \"40s\"", "length   = \"6s\""),
        ("count        = 300", "count        = 30"),
        ("count     = 100", "count     = 10"),
        ("rate  = 500", "rate  = 50"),
        ("at     = \"10s\"", "at     = \"2s\""),
    ];
    small.iter().chain(replacements).fold(RELEASE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "no line with {from}");
        text.replacen(from, to, 1)
    })
}

/// Returns the policies of `release.hcl`, and the line that replaces them.
fn policies(names: &str) -> (&'static str, String) {
    let all = "policies = [\"module\", \"random\", \"round_robin\", \"least_in_flight\", \"two_choices\", \"bounded_ring\", \"oracle\"]";
    (all, format!("policies = [{names}]"))
}

fn simulate(text: &str) -> Report {
    let experiment = Experiment::parse("test.hcl", text).expect("a valid experiment");
    Report::simulate(&experiment).expect("a report")
}

fn interval<'a>(report: &'a Report, policy: &str, name: &str) -> &'a IntervalSummary {
    let run = report.runs.iter().find(|run| run.policy == policy).expect("the policy was simulated");
    run.intervals.iter().find(|interval| interval.name == name).expect("the interval exists")
}

#[test]
fn the_same_seed_gives_identical_reports_and_another_does_not() {
    let text = release(&[]);
    let (one, two) = (simulate(&text), simulate(&text));
    assert_eq!(one.json().unwrap(), two.json().unwrap());
    assert_eq!(one.html().unwrap(), two.html().unwrap());
    let other = simulate(&text.replace("seed     = 1", "seed     = 2"));
    assert_ne!(one.json().unwrap(), other.json().unwrap());
}

#[test]
fn module_caches_more_than_random_and_oracle_is_the_most_even() {
    let report = simulate(&release(&[]));
    let all = |policy| interval(&report, policy, "all");
    assert!(
        all("module").cached > all("random").cached + 0.05,
        "{} {}",
        all("module").cached,
        all("random").cached
    );
    for policy in ["module", "random", "round_robin", "least_in_flight", "two_choices", "bounded_ring"] {
        assert!(all("oracle").cv < all(policy).cv, "{policy} is more even than the oracle");
    }
}

#[test]
fn every_request_has_one_outcome_and_a_release_breaks_streams() {
    let (from, to) = policies("\"module\"");
    let report = simulate(&release(&[(from, &to)]));
    let all = interval(&report, "module", "all");
    let outcomes = all.in_time + all.late + all.rejected + all.failed + all.broken;
    assert!((outcomes - 1.0).abs() < 0.001, "{outcomes}");
    assert!(all.broken > 0.0, "streams of restarted gateways break");
    let normal = simulate(&release(&[(from, &to), ("share  = 0.7", "share  = 0")]));
    assert_eq!(interval(&normal, "module", "all").broken, 0.0);
}

#[test]
fn overload_shows_in_latencies_and_outcomes() {
    let (from, to) = policies("\"random\"");
    let normal = simulate(&release(&[(from, &to)]));
    let overloaded = simulate(&release(&[(from, &to), ("rate  = 50", "rate  = 200")]));
    let (normal, overloaded) = (interval(&normal, "random", "all"), interval(&overloaded, "random", "all"));
    assert!(overloaded.in_time < normal.in_time - 0.2, "{} {}", overloaded.in_time, normal.in_time);
    assert!(
        overloaded.first_token_p50_ms > 2.0 * normal.first_token_p50_ms,
        "{} {}",
        overloaded.first_token_p50_ms,
        normal.first_token_p50_ms
    );
}

#[test]
fn a_list_service_that_is_too_slow_fails_calls() {
    let (from, to) = policies("\"module\"");
    let fast = simulate(&release(&[(from, &to)]));
    let slow = simulate(&release(&[(from, &to), ("calls_per_s = 85", "calls_per_s = 1")]));
    assert_eq!(fast.runs[0].list_calls_failed, 0);
    assert!(slow.runs[0].list_calls_failed > 0);
}

#[test]
fn crashed_disconnected_slow_and_replaced_replicas_are_recorded() {
    let (from, to) = policies("\"module\"");
    let fault = |kind: &str| {
        let line = format!("kind   = \"{kind}\"");
        let report = simulate(&release(&[(from, &to), ("kind   = \"restart_gateways\"", &line)]));
        interval(&report, "module", "all").clone()
    };
    let crashed = fault("kill_replicas");
    assert!(crashed.broken > 0.0, "streams of crashed replicas break");
    assert!(crashed.attempts > 1.05, "failed attempts are retried: {}", crashed.attempts);
    let unreachable = fault("silence_replicas");
    assert!(unreachable.broken > 0.0 && unreachable.attempts > 1.05, "{unreachable:?}");
    let line = "kind   = \"slow_replicas\"\n    factor = 5";
    let slow = simulate(&release(&[(from, &to), ("kind   = \"restart_gateways\"", line)]));
    let normal = simulate(&release(&[(from, &to), ("share  = 0.7", "share  = 0")]));
    let p99 = |report: &Report| interval(report, "module", "all").first_token_p99_ms;
    assert!(p99(&slow) > p99(&normal), "{} {}", p99(&slow), p99(&normal));
    let replaced = simulate(&release(&[
        (from, &to),
        ("kind   = \"restart_gateways\"", "kind   = \"replace_replicas\""),
    ]));
    let run = &replaced.runs[0];
    let arrivals: u64 = run
        .replicas
        .iter()
        .filter(|replica| replica.name.starts_with("release-"))
        .map(|replica| replica.arrivals)
        .sum();
    assert!(arrivals > 0, "listed replacements receive requests");
    assert!(
        run.max_slow_start_overload > 0.0 && run.max_slow_start_overload < 1.0,
        "below overload: {}",
        run.max_slow_start_overload
    );
}

#[test]
fn replica_loads_are_per_second_and_none_while_down() {
    let (from, to) = policies("\"module\"");
    let crash = [
        ("kind   = \"restart_gateways\"", "kind   = \"kill_replicas\""),
        ("back   = \"1s\"", "back   = \"3s\""),
    ];
    let report = simulate(&release(&[(from, to.as_str()), crash[0], crash[1]]));
    let replicas = &report.runs[0].replicas;
    assert!(replicas.iter().all(|replica| replica.loads.len() == 6 && replica.loads[1].is_some()));
    // Seven of ten crash between 2 s and 2.3 s, and none restarts before 5 s.
    assert_eq!(replicas.iter().filter(|replica| replica.loads[3].is_none()).count(), 7);
    let plots = report.plots().expect("plots");
    assert!(plots.iter().any(|plot| plot.name == "servers-module" && plot.svg.contains("#BEBEBE")));
}

/// Returns the small experiment with the module only, and a fault of this kind from 2 s to 5 s.
fn with_fault(kind: &str, replacements: &[(&str, &str)]) -> String {
    let kind = format!("kind   = \"{kind}\"");
    let (from, to) = policies("\"module\"");
    let common = [
        (from, to.as_str()),
        ("kind   = \"restart_gateways\"", kind.as_str()),
        ("back   = \"1s\"", "back   = \"3s\""),
        ("within = \"300ms\"", "within = \"0s\""),
    ];
    release(&[&common, replacements].concat())
}

#[test]
fn errors_at_some_replicas_are_retried_at_other_replicas() {
    let part = |part: &str| {
        let line = format!("share  = 0.3\n    part   = {part}");
        simulate(&with_fault("error_replicas", &[("share  = 0.7", &line)]))
    };
    let failing = part("0.6");
    let during = interval(&failing, "module", "in release");
    assert!(during.errors > 0.03 && during.attempts > 1.03 && during.broken == 0.0, "{during:?}");
    let with_errors = failing.runs[0].replicas.iter().filter(|replica| replica.errors > 0);
    assert!(
        with_errors.clone().all(|replica| replica.errors < replica.attempts),
        "only a fraction of requests fails, for 3 s"
    );
    assert_eq!(with_errors.count(), 3);
    assert_eq!(interval(&part("0"), "module", "all").errors, 0.0);
}

#[test]
fn client_attempts_that_use_all_gateway_attempts_are_counted() {
    let exhausted = |attempts: &str| {
        let allow = format!("allow {{\n  attempts = {attempts}\n}}\n\nlist {{");
        let all_fail = ("share  = 0.7", "share  = 1\n    part   = 1");
        let text = with_fault("error_replicas", &[all_fail, ("list {", &allow)]);
        let report = simulate(&text);
        (
            interval(&report, "module", "in release").exhausted,
            interval(&report, "module", "before").exhausted,
        )
    };
    let (one, before) = exhausted("1");
    assert!(one > 0.5 && before == 0.0, "{one} {before}");
    assert!(exhausted("5").0 < one);
}

#[test]
fn a_hanging_replica_resumes_its_requests() {
    let hang = simulate(&with_fault("hang_replicas", &[("share  = 0.7", "share  = 0.3")]));
    let during = interval(&hang, "module", "in release");
    assert_eq!(interval(&hang, "module", "all").broken, 0.0, "no stream breaks");
    let normal = simulate(&with_fault("hang_replicas", &[("share  = 0.7", "share  = 0")]));
    let without_fault = interval(&normal, "module", "in release");
    assert!(
        during.first_token_p99_ms > 2.0 * without_fault.first_token_p99_ms,
        "{} {}",
        during.first_token_p99_ms,
        without_fault.first_token_p99_ms
    );
    assert!(hang.runs[0].replicas.iter().all(|replica| replica.loads[3].is_some()), "the replica is up");
}

#[test]
fn pushed_lists_are_delayed_and_catch_up_after_an_outage() {
    // Replacements start at 2.5 s. The result is whether they have load in the seconds from 3 s, 4 s and 5 s on.
    let has_load = |delay: &str, outage: &str| {
        let push = format!(
            "push = true\n  late {{\n    least = \"{delay}\"\n    most = \"{delay}\"\n  }}\n  calls_per_s = 85"
        );
        let more = format!(
            "faults {{\n  mute {{\n    at = \"1s\"\n    kind = \"list_outage\"\n    back = \"{outage}\"\n  }}\n"
        );
        let with = [
            ("calls_per_s = 85", push.as_str()),
            ("faults {\n", &more),
            ("back   = \"3s\"", "back   = \"500ms\""),
        ];
        let report = simulate(&with_fault("replace_replicas", &with));
        let run = &report.runs[0];
        assert_eq!(
            run.intervals.iter().map(|interval| interval.list_calls).sum::<usize>(),
            0,
            "no gateway calls"
        );
        assert_eq!(run.gateways_without_list, 0);
        let load = |second: usize| {
            let replacements = run.replicas.iter().filter(|replica| replica.name.starts_with("release-"));
            replacements.filter_map(|replica| replica.loads.get(second).copied().flatten()).sum::<f64>()
        };
        [3, 4, 5].map(|second| load(second) > 0.0)
    };
    assert_eq!(has_load("100ms", "0s"), [true, true, true]);
    assert_eq!(has_load("2s", "0s"), [false, true, true]);
    assert_eq!(has_load("100ms", "4s"), [false, false, true]);
}

#[test]
fn a_replica_that_restarts_before_its_crash_is_known_is_listed() {
    // Crashed at 2 s, restarted at 3 s, listed at 4 s; the service would have detected the crash at 5 s.
    let more = [("length   = \"6s\"", "length   = \"16s\""), ("back   = \"3s\"", "back   = \"1s\"")];
    let report = simulate(&with_fault("kill_replicas", &more));
    let busy = |replica: &&ReplicaSummary| replica.loads[15] > Some(0.0);
    assert_eq!(report.runs[0].replicas.iter().filter(busy).count(), 10);
}

#[test]
fn rejections_are_counted_for_the_replicas_with_free_capacity() {
    let experiment = Experiment::parse("test.hcl", &release(&[])).expect("a valid experiment");
    let mut recorder = Recorder::new(&experiment);
    (0..2).for_each(|number| recorder.add_replica(&number.to_string(), "large", 1.0, false));
    let now = 4_000_000_000;
    (0..4).for_each(|_| recorder.add_request(now));
    recorder.add_rejection(now, now, [0, 1].into_iter());
    recorder.add_rejection(now, now, [1].into_iter());
    recorder.add_rejection(now, now, [].into_iter());
    let summary = recorder.summary("none");
    let all = summary.intervals.iter().find(|interval| interval.name == "all").expect("the interval");
    assert_eq!((all.rejected_with_free_capacity, summary.rejected), (0.5, 3));
    assert_eq!(
        [0, 1].map(|index: usize| summary.replicas[index].free_capacity_at_rejections),
        [0.3333, 0.6667]
    );
}

#[test]
fn an_invalid_experiment_is_rejected_with_position_and_key() {
    let error_of = |replacements: &[(&str, &str)]| {
        Experiment::parse("x.hcl", &release(replacements)).expect_err("an invalid experiment").to_string()
    };
    let rate = error_of(&[("calls_per_s = 85", "calls_per_s = 0")]);
    assert!(rate.starts_with("x.hcl:") && rate.contains("list.calls_per_s"), "{rate}");
    assert!(rate.contains("0 is not between"), "{rate}");
    assert!(error_of(&[("honour    = 0.2", "honor     = 0.2")]).contains("unknown field `honor`"));
    let shares = error_of(&[("share        = 0.8", "share        = 0.5")]);
    assert!(shares.contains("classes") && shares.contains("0.700, not 1"), "{shares}");
    assert!(error_of(&[("share  = 0.7", "share  = 7")]).contains("faults.release.share"));
    assert!(error_of(&[("at     = \"2s\"", "at     = \"2h\"")]).contains("after the end"));
    assert!(
        error_of(&[("\"random\", \"round", "\"guess\", \"round")])
            .contains("policies[1]: unknown variant `guess`")
    );
    let factor = error_of(&[("kind   = \"restart_gateways\"", "kind   = \"slow_replicas\"")]);
    assert!(factor.contains("needs a factor"), "{factor}");
    let kind = |new: &str, share: &str| {
        let line = format!("kind   = \"{new}\"");
        error_of(&[("kind   = \"restart_gateways\"", &line), ("share  = 0.7", share)])
    };
    assert!(kind("error_replicas", "share  = 0.7").contains("faults.release: error_replicas needs a part"));
    assert!(kind("error_replicas", "share = 0.7\n    part = 2").contains("faults.release.part: 2 is not"));
    assert!(kind("hang_replicas", "share = 0.7\n    part = 1").contains("only valid for error_replicas"));
    assert!(kind("hang_replicas", "").contains("faults.release: needs a share"));
    assert!(kind("list_outage", "share = 1").contains("there is one list service"));
    let delay = "late {\n    least = \"2s\"\n    most = \"1s\"\n  }\n  calls_per_s = 85";
    assert!(error_of(&[("calls_per_s = 85", delay)]).contains("list.late: 2s is more than 1s"));
    let no_attempts = "allow {\n  attempts = 0\n}\n\nlist {";
    assert!(error_of(&[("list {", no_attempts)]).contains("allow.attempts: 0 is not"));
    assert!(error_of(&[("spread      = \"80ms\"", "spread      = \"2s\"")]).contains("overtake"));
}

#[test]
fn only_reports_of_the_same_experiment_are_compared() {
    let (from, to) = policies("\"module\"");
    let (before, now) = (simulate(&release(&[(from, &to)])), simulate(&release(&[(from, &to)])));
    let text = now.compare(&before).expect("the same experiment");
    assert!(text.contains("module, before") && text.contains("module, now"), "{text}");
    let other = simulate(&release(&[(from, &to), ("seed     = 1", "seed     = 2")]));
    let error = other.compare(&before).expect_err("another seed").to_string();
    assert!(error.contains("the reports are of different experiments"), "{error}");
}

#[test]
fn base_file_is_overridden_and_errors_name_the_file_at_fault() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("from");
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("written");
    let read = |text: &str| Experiment::parse(&folder.join("this.hcl").display().to_string(), text);
    write("release.hcl", RELEASE);
    let experiment = read("from = \"release.hcl\"\nload {\n  rate = 7\n}\nfaults {\n  release = null\n}\n");
    let experiment = experiment.expect("a valid experiment");
    let load = &experiment.load;
    assert_eq!((load.requests_per_s, load.think_time.as_secs(), experiment.faults.len()), (7.0, 3, 0));
    let error_of = |text: &str| read(text).expect_err("an invalid experiment").to_string();
    let in_override = error_of("from = \"release.hcl\"\nload {\n  rate = 0\n}\n");
    assert!(in_override.contains("this.hcl:3:3: load.rate: 0 is not"), "{in_override}");
    write("release.hcl", &RELEASE.replace("zones        = 3", "zones        = 0"));
    let line = RELEASE.lines().position(|l| l.contains("zones ")).expect("a line") + 1;
    let in_base = error_of("from = \"release.hcl\"\n");
    assert!(in_base.contains(&format!("release.hcl:{line}:3: gateways.zones: 0 is not")), "{in_base}");
    assert!(error_of("from = \"nowhere.hcl\"\n").contains("nowhere.hcl: No such file"));
    write("this.hcl", "from = \"this.hcl\"\n");
    assert!(error_of("from = \"this.hcl\"\n").contains("this.hcl is a base file of itself"));
}
