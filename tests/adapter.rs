//! Tests of the simulator adapter program through its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = "group-size=1 me=0 zone=a localities=a,b discovery=push granularity-ns=1000000 \
    lanes.count=1 lanes.0.name=chat lanes.0.effect=retryable lanes.0.promise-ns=1000000000 \
    lanes.0.deadline-ns=5000000000 lanes.0.stream=true policy-limits.send-cap=3 policy-limits.cancel=true \
    safety.cold-from=0.2 safety.ramp-time-ns=1000000000 safety.fall-ns=1000000000 \
    safety.overload-factor=2.0 report.fields=queue,x0 a-new-key=9 weight-source=silent";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tulipridge-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    // The adapter may exit before all is written; its output and status are checked either way.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("wait for the adapter")
}

/// Output lines for valid input.
fn output_lines(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8").lines().map(str::to_owned).collect()
}

/// Error message for invalid input, on which the adapter exits.
fn error_message(input: &str) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(1), "no error for {input}");
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

fn provision_line(router: &str) -> String {
    format!("PROVISION {router} 5 {SETUP}\n")
}

const LIST: &str = "ROSTER 0 2\nROW 1 a worker_x old 0 SERVING -\nROW 1 b worker_y old 1 SERVING 0\n";

fn request_line(router: &str, id: u64) -> String {
    format!("ASK {router} {id:016x} 500000000 - 7 - 0 100 chat - 200 0\n")
}

fn lines_starting_with<'a>(lines: &'a [String], prefix: &str) -> Vec<&'a String> {
    lines.iter().filter(|l| l.starts_with(prefix)).collect()
}

#[test]
fn empty_input_and_an_empty_batch_are_valid() {
    assert!(output_lines("").is_empty());
    assert_eq!(output_lines("CLOCK 8412250000 1\nFLUSH\n"), ["ACK 1"]);
}

#[test]
fn a_request_is_relayed_and_its_outcome_accepted() {
    let input = format!(
        "CLOCK 1000 1\n{}{LIST}UPDATE router_0 Persisted 41 0\n{}FLUSH\nCLOCK 2000 2\n\
         HEAD_RECEIVED router_0 {:016x} 900 worker_x 0\n\
         RETURNED router_0 {:016x} 150 1000 worker_x 0 1 Ok 3,0.5\nFLUSH\n",
        provision_line("router_0"),
        request_line("router_0", 1),
        1,
        1
    );
    let lines = output_lines(&input);
    assert_eq!(
        lines_starting_with(&lines, "RELAY router_0 0000000000000001 worker_x 500000000").len(),
        1,
        "{lines:?}"
    );
    assert_eq!(lines_starting_with(&lines, "REMIND router_0").len(), 2);
    assert_eq!(lines.last().map(String::as_str), Some("ACK 2"));
}

#[test]
fn an_update_uses_the_latest_list_with_its_set_id_in_a_batch() {
    let second_list = "ROSTER 0 1\nROW 2.5 b worker_z new 3 SERVING -\n";
    let input = format!(
        "CLOCK 1 1\n{}{}{LIST}UPDATE router_0 Persisted 1 0\n{second_list}UPDATE router_1 Complete 1 0\n{}{}FLUSH\n",
        provision_line("router_0"),
        provision_line("router_1"),
        request_line("router_0", 1),
        request_line("router_1", 2)
    );
    let lines = output_lines(&input);
    assert!(!lines_starting_with(&lines, "RELAY router_0").is_empty());
    assert!(lines_starting_with(&lines, "RELAY router_0").iter().all(|l| !l.contains("worker_z")));
    assert_eq!(lines_starting_with(&lines, "RELAY router_1 0000000000000002 worker_z").len(), 1);
}

#[test]
fn a_crash_and_restart_in_one_batch_discard_all_requests() {
    let initial_lines =
        format!("CLOCK 1 1\n{}{LIST}UPDATE router_0 Persisted 1 0\n", provision_line("router_0"));
    let input = format!(
        "{initial_lines}{}FLUSH\nCLOCK 2 2\nCRASH_NOW router_0\n{}{}UPDATE router_0 Persisted 1 0\n\
         EXPIRED router_0 {:016x}\nFLUSH\n",
        request_line("router_0", 1),
        provision_line("router_0"),
        "ROSTER 3 0\n",
        1
    );
    let lines = output_lines(&input);
    assert!(lines_starting_with(&lines, "REVOKE").is_empty(), "the crash discarded the request: {lines:?}");
    assert_eq!(lines.last().map(String::as_str), Some("ACK 2"));
}

#[test]
fn routers_produce_the_same_output_in_one_or_several_processes() {
    let batch = |routers: &[&str]| {
        let mut text = "CLOCK 1 1\n".to_owned();
        for router in routers {
            text += &format!("{}{LIST}UPDATE {router} Persisted 1 0\n", provision_line(router));
        }
        for router in routers {
            text += &(0..20).map(|n| request_line(router, n)).collect::<String>();
        }
        output_lines(&(text + "FLUSH\n"))
    };
    let both = batch(&["router_0", "router_1"]);
    for router in ["router_0", "router_1"] {
        let in_shared: Vec<_> =
            both.iter().filter(|l| l.contains(&format!(" {router} "))).cloned().collect();
        let in_separate: Vec<_> = batch(&[router]).into_iter().filter(|l| !l.starts_with("ACK")).collect();
        assert_eq!(in_shared, in_separate);
    }
}

#[test]
fn errors_timers_messages_and_health_results_are_accepted() {
    let input = format!(
        "CLOCK 1 1\n{}{LIST}UPDATE router_0 Persisted 1 0\nUPDATE router_0 Error 0 -\nWAKE router_0 77\n\
         MESSAGE router_0 2 68692037\nMESSAGE router_0 2 -\nHEALTH_RESULT router_0 worker_x Ok 1400000 -\n\
         HEALTH_RESULT router_0 worker_x TimedOut 1400000 2,-\nEXPIRED router_0 58df71a60e6f2b19\n\
         WAKE router_9 1\nFLUSH\n",
        provision_line("router_0")
    );
    assert_eq!(output_lines(&input).last().map(String::as_str), Some("ACK 1"));
}

#[test]
fn invalid_input_is_reported_with_its_line_and_field() {
    let initial_lines =
        format!("CLOCK 1 1\n{}{LIST}UPDATE router_0 Persisted 1 0\n", provision_line("router_0"));
    for (line, field) in [
        ("HELLO router_0", "message"),
        ("WAKE router_0", "token"),
        ("WAKE router_0 1 2", "line"),
        ("WAKE router_0 -5", "token"),
        ("WAKE router 5", "router"),
        ("EXPIRED router_0 58df", "msg-id"),
        ("EXPIRED router_0 +8df71a60e6f2b19", "msg-id"),
        ("ROSTER 16 0", "set-id"),
        ("UPDATE router_0 Complete 1 9", "set-id"),
        ("UPDATE router_0 Sudden 1 0", "kind"),
        ("MESSAGE router_0 1 6", "raw"),
        ("MESSAGE router_0 1 6g", "raw"),
        ("ASK router_0 58df71a60e6f2b19 1 9007199254740992 7 - 0 100 chat - 200 0", "shared-prefix"),
        ("ASK router_0 58df71a60e6f2b19 1 - 7 - 0 100 mail - 200 0", "priority"),
        ("ASK router_0 58df71a60e6f2b19 1 - 7 - 0 100 chat - -3 0", "prompt-len"),
        ("ASK router_0 58df71a60e6f2b19 1 - 7 - 0 nan chat - 200 0", "n-max"),
        ("RETURNED router_0 58df71a60e6f2b19 - 1 worker_x 0 2 Ok -", "ended"),
        ("RETURNED router_0 58df71a60e6f2b19 - 1 worker_x 0 1 Fine -", "outcome"),
        ("RETURNED router_0 58df71a60e6f2b19 - 1 worker_x 0 1 Ok 1,x", "gauge"),
        ("PROVISION router_1 5 group-size=1", "setup"),
        ("PROVISION router_1 5 group-size=many lanes.count=0", "group-size"),
        ("PROVISION router_1 5 lanes.count=1 lanes.0.name=x lanes.0.effect=odd", "lanes.0.effect"),
        ("CLOCK 2 2", "message"),
    ] {
        let text = error_message(&format!("{initial_lines}{line}\nFLUSH\n"));
        assert!(text.contains("line 7: ") && text.contains(&format!(" {field}: ")), "{line} gave {text}");
    }
    assert!(
        error_message(&format!("{initial_lines}ROSTER 1 1\nROW 1 a worker_z old 0 ASLEEP -\n"))
            .contains("phase")
    );
    assert!(error_message(&format!("{initial_lines}ROSTER 1 1\nFLUSH\n")).contains("ROW"));
    assert!(error_message("FLUSH\n").contains("line 1: message"));
    assert!(error_message("CLOCK 1 1").contains("line 1: line"), "cut off");
    assert!(error_message("CLOCK 1 1\n").contains("line 2: message"), "ends within a batch");
}
