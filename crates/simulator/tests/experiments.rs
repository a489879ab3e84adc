//! Whole experiments, small ones: that a run is the same to the byte, and that its figures say what happened.

use tulipridge_simulator::experiment::Experiment;
use tulipridge_simulator::record::Stretch;
use tulipridge_simulator::report::Report;

const RELEASE: &str = include_str!("../experiments/release.hcl");

/// The release with other lines; each must be there.
fn release(with: &[(&str, &str)]) -> String {
    let small = [
        ("warmup   = \"20s\"", "warmup   = \"3s\""),
        ("length   = \"40s\"", "length   = \"6s\""),
        ("count        = 300", "count        = 30"),
        ("count     = 100", "count     = 10"),
        ("rate  = 500", "rate  = 50"),
        ("at     = \"10s\"", "at     = \"2s\""),
    ];
    small.iter().chain(with).fold(RELEASE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "no line with {from}");
        text.replacen(from, to, 1)
    })
}

fn policies(names: &str) -> (&'static str, String) {
    let all = "policies = [\"module\", \"random\", \"round_robin\", \"least_in_flight\", \"two_choices\", \"bounded_ring\", \"oracle\"]";
    (all, format!("policies = [{names}]"))
}

fn play(text: &str) -> Report {
    let x = Experiment::parse("test.hcl", text).expect("a good experiment");
    Report::play(&x).expect("a run")
}

fn stretch<'a>(report: &'a Report, policy: &str, name: &str) -> &'a Stretch {
    let run = report.runs.iter().find(|r| r.policy == policy).expect("the policy was played");
    run.stretches.iter().find(|s| s.name == name).expect("the stretch is there")
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_one_others() {
    let text = release(&[]);
    let (one, two) = (play(&text), play(&text));
    assert_eq!(one.json().unwrap(), two.json().unwrap());
    assert_eq!(one.html().unwrap(), two.html().unwrap());
    let other = play(&text.replace("seed     = 1", "seed     = 2"));
    assert_ne!(one.json().unwrap(), other.json().unwrap());
}

#[test]
fn the_module_keeps_more_prompts_than_chance_and_knowing_all_is_the_most_even() {
    let report = play(&release(&[]));
    let all = |policy| stretch(&report, policy, "all");
    assert!(
        all("module").kept > all("random").kept + 0.05,
        "{} {}",
        all("module").kept,
        all("random").kept
    );
    for policy in ["module", "random", "round_robin", "least_in_flight", "two_choices", "bounded_ring"] {
        assert!(all("oracle").cv < all(policy).cv, "{policy} is more even than one that knows all");
    }
}

#[test]
fn every_request_comes_to_one_end_and_a_release_breaks_streams() {
    let (from, to) = policies("\"module\"");
    let report = play(&release(&[(from, &to)]));
    let all = stretch(&report, "module", "all");
    let ends = all.in_time + all.late + all.refused + all.failed + all.broken;
    assert!((ends - 1.0).abs() < 0.001, "{ends}");
    assert!(all.broken > 0.0, "streams of killed gateways are lost");
    let calm = play(&release(&[(from, &to), ("share  = 0.7", "share  = 0")]));
    assert_eq!(stretch(&calm, "module", "all").broken, 0.0);
}

#[test]
fn more_load_than_the_fleet_can_do_is_seen_in_waits_and_ends() {
    let (from, to) = policies("\"random\"");
    let calm = play(&release(&[(from, &to)]));
    let jam = play(&release(&[(from, &to), ("rate  = 50", "rate  = 200")]));
    let (calm, jam) = (stretch(&calm, "random", "all"), stretch(&jam, "random", "all"));
    assert!(jam.in_time < calm.in_time - 0.2, "{} {}", jam.in_time, calm.in_time);
    assert!(jam.wait_p50_ms > 2.0 * calm.wait_p50_ms, "{} {}", jam.wait_p50_ms, calm.wait_p50_ms);
}

#[test]
fn a_list_service_that_is_too_slow_fails_its_callers() {
    let (from, to) = policies("\"module\"");
    let fast = play(&release(&[(from, &to)]));
    let slow = play(&release(&[(from, &to), ("calls_per_s = 85", "calls_per_s = 1")]));
    assert_eq!(fast.runs[0].list_calls_failed, 0);
    assert!(slow.runs[0].list_calls_failed > 0);
}

#[test]
fn real_servers_that_die_fall_silent_slow_down_or_are_replaced_leave_their_marks() {
    let (from, to) = policies("\"module\"");
    let fault = |kind: &str| {
        let line = format!("kind   = \"{kind}\"");
        let report = play(&release(&[(from, &to), ("kind   = \"restart_gateways\"", &line)]));
        stretch(&report, "module", "all").clone()
    };
    let dead = fault("kill_replicas");
    assert!(dead.broken > 0.0, "streams of dead servers are lost");
    assert!(dead.attempts > 1.05, "failed attempts are made again: {}", dead.attempts);
    let silent = fault("silence_replicas");
    assert!(silent.broken > 0.0 && silent.attempts > 1.05, "{silent:?}");
    let line = "kind   = \"slow_replicas\"\n    factor = 5";
    let slow = play(&release(&[(from, &to), ("kind   = \"restart_gateways\"", line)]));
    let calm = play(&release(&[(from, &to), ("share  = 0.7", "share  = 0")]));
    let p99 = |report: &Report| stretch(report, "module", "all").wait_p99_ms;
    assert!(p99(&slow) > p99(&calm), "{} {}", p99(&slow), p99(&calm));
    let replaced =
        play(&release(&[(from, &to), ("kind   = \"restart_gateways\"", "kind   = \"replace_replicas\"")]));
    let run = &replaced.runs[0];
    let fresh: u64 =
        run.servers.iter().filter(|s| s.name.starts_with("release-")).map(|s| s.arrivals).sum();
    assert!(fresh > 0, "new servers get work once they are listed");
    assert!(run.cold_worst > 0.0 && run.cold_worst < 1.0, "within what they bear: {}", run.cold_worst);
}

#[test]
fn a_real_server_has_a_load_for_each_second_and_none_while_it_is_dead() {
    let (from, to) = policies("\"module\"");
    let dead = [
        ("kind   = \"restart_gateways\"", "kind   = \"kill_replicas\""),
        ("back   = \"1s\"", "back   = \"3s\""),
    ];
    let report = play(&release(&[(from, to.as_str()), dead[0], dead[1]]));
    let servers = &report.runs[0].servers;
    assert!(servers.iter().all(|s| s.loads.len() == 6 && s.loads[1].is_some()));
    // Seven in ten die within 2 s to 2.3 s, and none is back before 5 s.
    assert_eq!(servers.iter().filter(|s| s.loads[3].is_none()).count(), 7);
    let plots = report.plots().expect("plots");
    assert!(plots.iter().any(|(name, _, svg)| name == "servers-module" && svg.contains("#BEBEBE")));
}

/// A small release with a fault of another kind from 2 s on, for 3 s.
fn fault(kind: &str, more: &[(&str, &str)]) -> String {
    let kind = format!("kind   = \"{kind}\"");
    let (from, to) = policies("\"module\"");
    let own = [
        (from, to.as_str()),
        ("kind   = \"restart_gateways\"", kind.as_str()),
        ("back   = \"1s\"", "back   = \"3s\""),
        ("within = \"300ms\"", "within = \"0s\""),
    ];
    release(&[&own, more].concat())
}

#[test]
fn a_part_of_what_some_real_servers_get_fails_and_is_made_again_elsewhere() {
    let part = |part: &str| {
        let line = format!("share  = 0.3\n    part   = {part}");
        play(&fault("error_replicas", &[("share  = 0.7", &line)]))
    };
    let some = part("0.6");
    let during = stretch(&some, "module", "in release");
    assert!(during.errors > 0.03 && during.attempts > 1.03 && during.broken == 0.0, "{during:?}");
    let failing = some.runs[0].servers.iter().filter(|s| s.errors > 0);
    assert!(failing.clone().all(|s| s.errors < s.attempts), "a part, and only for 3 s");
    assert_eq!(failing.count(), 3);
    assert_eq!(stretch(&part("0"), "module", "all").errors, 0.0);
}

#[test]
fn tries_that_run_out_of_attempts_are_told() {
    let spent = |attempts: &str| {
        let allow = format!("allow {{\n  attempts = {attempts}\n}}\n\nlist {{");
        let all_fail = ("share  = 0.7", "share  = 1\n    part   = 1");
        let text = fault("error_replicas", &[all_fail, ("list {", &allow)]);
        let report = play(&text);
        (stretch(&report, "module", "in release").spent, stretch(&report, "module", "before").spent)
    };
    let (one, before) = spent("1");
    assert!(one > 0.5 && before == 0.0, "{one} {before}");
    assert!(spent("5").0 < one);
}

#[test]
fn a_real_server_that_hangs_goes_on_where_it_stood() {
    let hang = play(&fault("hang_replicas", &[("share  = 0.7", "share  = 0.3")]));
    let during = stretch(&hang, "module", "in release");
    assert_eq!(stretch(&hang, "module", "all").broken, 0.0, "no stream is lost");
    let calm = play(&fault("hang_replicas", &[("share  = 0.7", "share  = 0")]));
    let still = stretch(&calm, "module", "in release");
    assert!(during.wait_p99_ms > 2.0 * still.wait_p99_ms, "{} {}", during.wait_p99_ms, still.wait_p99_ms);
    assert!(hang.runs[0].servers.iter().all(|s| s.loads[3].is_some()), "it is there");
}

#[test]
fn pushed_lists_come_late_and_catch_up_after_an_outage() {
    // New servers start at 2.5 s; how much those had in hand in each second.
    let fresh = |late: &str, outage: &str| {
        let push = format!(
            "push = true\n  late {{\n    least = \"{late}\"\n    most = \"{late}\"\n  }}\n  calls_per_s = 85"
        );
        let more = format!(
            "faults {{\n  mute {{\n    at = \"1s\"\n    kind = \"list_outage\"\n    back = \"{outage}\"\n  }}\n"
        );
        let with = [
            ("calls_per_s = 85", push.as_str()),
            ("faults {\n", &more),
            ("back   = \"3s\"", "back   = \"500ms\""),
        ];
        let report = play(&fault("replace_replicas", &with));
        let run = &report.runs[0];
        assert_eq!(run.stretches.iter().map(|s| s.list_calls).sum::<usize>(), 0, "nobody asks");
        assert_eq!(run.without_list, 0);
        let load = |second: usize| {
            let fresh = run.servers.iter().filter(|s| s.name.starts_with("release-"));
            fresh.filter_map(|s| s.loads.get(second).copied().flatten()).sum::<f64>()
        };
        [3, 4, 5].map(|second| load(second) > 0.0)
    };
    assert_eq!(fresh("100ms", "0s"), [true, true, true]);
    assert_eq!(fresh("2s", "0s"), [false, true, true]);
    assert_eq!(fresh("100ms", "4s"), [false, false, true]);
}

#[test]
fn a_real_server_that_is_back_before_its_death_is_known_is_listed() {
    // Dead at 2 s, back at 3 s, listed at 4 s; the service would have known of its death at 5 s.
    let more = [("length   = \"6s\"", "length   = \"16s\""), ("back   = \"3s\"", "back   = \"1s\"")];
    let report = play(&fault("kill_replicas", &more));
    let busy = |s: &&tulipridge_simulator::record::Server| s.loads[15] > Some(0.0);
    assert_eq!(report.runs[0].servers.iter().filter(busy).count(), 10);
}

#[test]
fn what_is_turned_down_while_others_have_room_is_told_by_whom() {
    let x = Experiment::parse("test.hcl", &release(&[])).expect("a good experiment");
    let mut record = tulipridge_simulator::record::Record::new(&x);
    (0..2).for_each(|n| record.server(&n.to_string(), "large", 1.0, false));
    let now = 4_000_000_000;
    (0..4).for_each(|_| record.first_try(now));
    record.turned_down(now, now, [0, 1].into_iter());
    record.turned_down(now, now, [1].into_iter());
    record.turned_down(now, now, [].into_iter());
    let figures = record.figures("none");
    let all = figures.stretches.iter().find(|s| s.name == "all").expect("the stretch is there");
    assert_eq!((all.refused_with_room, figures.turned_down), (0.5, 3));
    assert_eq!([0, 1].map(|n: usize| figures.servers[n].had_room), [0.3333, 0.6667]);
}

#[test]
fn a_bad_experiment_is_refused_with_its_place_and_key() {
    let fault = |with: &[(&str, &str)]| {
        Experiment::parse("x.hcl", &release(with)).expect_err("a bad experiment").to_string()
    };
    let wrong = fault(&[("calls_per_s = 85", "calls_per_s = 0")]);
    assert!(wrong.starts_with("x.hcl:") && wrong.contains("list.calls_per_s"), "{wrong}");
    assert!(wrong.contains("0 is not between"), "{wrong}");
    assert!(fault(&[("honour    = 0.2", "honor     = 0.2")]).contains("unknown field `honor`"));
    let shares = fault(&[("share        = 0.8", "share        = 0.5")]);
    assert!(shares.contains("classes") && shares.contains("0.700, not 1"), "{shares}");
    assert!(fault(&[("share  = 0.7", "share  = 7")]).contains("faults.release.share"));
    assert!(fault(&[("at     = \"2s\"", "at     = \"2h\"")]).contains("after the end"));
    assert!(
        fault(&[("\"random\", \"round", "\"guess\", \"round")])
            .contains("policies[1]: unknown variant `guess`")
    );
    let factor = fault(&[("kind   = \"restart_gateways\"", "kind   = \"slow_replicas\"")]);
    assert!(factor.contains("needs a factor"), "{factor}");
    let kind = |new: &str, share: &str| {
        let line = format!("kind   = \"{new}\"");
        fault(&[("kind   = \"restart_gateways\"", &line), ("share  = 0.7", share)])
    };
    assert!(kind("error_replicas", "share  = 0.7").contains("faults.release: error_replicas needs a part"));
    assert!(kind("error_replicas", "share = 0.7\n    part = 2").contains("faults.release.part: 2 is not"));
    assert!(kind("hang_replicas", "share = 0.7\n    part = 1").contains("only error_replicas has one"));
    assert!(kind("hang_replicas", "").contains("faults.release: needs a share"));
    assert!(kind("list_outage", "share = 1").contains("there is one list service"));
    let late = "late {\n    least = \"2s\"\n    most = \"1s\"\n  }\n  calls_per_s = 85";
    assert!(fault(&[("calls_per_s = 85", late)]).contains("list.late: 2s is more than 1s"));
    let none = "allow {\n  attempts = 0\n}\n\nlist {";
    assert!(fault(&[("list {", none)]).contains("allow.attempts: 0 is not"));
    assert!(fault(&[("spread      = \"80ms\"", "spread      = \"2s\"")]).contains("overtake"));
}

#[test]
fn two_reports_are_set_side_by_side_only_if_they_are_of_one_experiment() {
    let (from, to) = policies("\"module\"");
    let (before, now) = (play(&release(&[(from, &to)])), play(&release(&[(from, &to)])));
    let text = now.beside(&before).unwrap();
    assert!(text.contains("module, before") && text.contains("module, now"), "{text}");
    let other = play(&release(&[(from, &to), ("seed     = 1", "seed     = 2")]));
    assert!(other.beside(&before).unwrap_err().contains("not the same experiment"));
}

#[test]
fn an_experiment_says_only_what_differs_and_a_fault_names_the_file_that_it_stands_in() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("from");
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("written");
    let read = |text: &str| Experiment::parse(&folder.join("this.hcl").display().to_string(), text);
    write("release.hcl", RELEASE);
    let x = read("from = \"release.hcl\"\nload {\n  rate = 7\n}\nfaults {\n  release = null\n}\n");
    let x = x.expect("a good experiment");
    assert_eq!((x.load.rate, x.load.think.as_secs(), x.faults.len()), (7.0, 3, 0));
    let fault = |text: &str| read(text).expect_err("a bad experiment").to_string();
    let own = fault("from = \"release.hcl\"\nload {\n  rate = 0\n}\n");
    assert!(own.contains("this.hcl:3:3: load.rate: 0 is not"), "{own}");
    write("release.hcl", &RELEASE.replace("zones        = 3", "zones        = 0"));
    let line = RELEASE.lines().position(|l| l.contains("zones ")).expect("a line") + 1;
    let theirs = fault("from = \"release.hcl\"\n");
    assert!(theirs.contains(&format!("release.hcl:{line}:3: gateways.zones: 0 is not")), "{theirs}");
    assert!(fault("from = \"nowhere.hcl\"\n").contains("nowhere.hcl: No such file"));
    write("this.hcl", "from = \"this.hcl\"\n");
    assert!(fault("from = \"this.hcl\"\n").contains("comes back to this file"));
}
