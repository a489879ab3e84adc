//! Measures the cost of the messages API and of the translation between dialects, and compares all pairings of a
//! front's and the replicas' dialect under faults. The figures are in docs/design/messages.md. Needs a release build
//! of the program in the target folder:
//!
//! ```text
//! cargo build --release --locked && cargo run --release --locked --example messages_bench
//! ```

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use tulipridge::conformance::case::{self, Case, Fleet, Outcome};
use tulipridge::conformance::stand_in::StandIns;
use tulipridge::conformance::{self, GatewayProcess, PAIRINGS, Pairing};
use tulipridge::names::Dialect;

/// Outcome of a request, and the number of its attempts if the replicas counted them.
type CaseResult = (Outcome, Option<usize>);

/// Reason why a measurement failed.
type BenchError = Box<dyn std::error::Error>;

/// A case with `event_count` text events, requested as a stream or as one complete response.
fn text_case(name: &str, event_count: usize, is_complete_response: bool) -> Result<Case, BenchError> {
    let mut text = format!("case {name}\n");
    if is_complete_response {
        text += "  ask whole\n";
    }
    for _ in 0..event_count {
        text += "  serve text \"Gate A1 is open. \"\n";
    }
    text += "  serve end done\n";
    case::parse("bench", &text)?.pop().ok_or_else(|| "no case".into())
}

/// CPU time of a process, user and system, in clock ticks of 10 ms.
fn cpu_ticks(process_id: u32) -> Result<u64, BenchError> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit_once(')').ok_or("/proc/PID/stat has no process name")?.1.split_whitespace().collect();
    Ok(fields[11].parse::<u64>()? + fields[12].parse::<u64>()?)
}

/// Sends a request on an open connection; returns the time to the first event and to the end of the response.
fn exchange(reader: &mut BufReader<TcpStream>, request: &[u8]) -> Result<(Duration, Duration), BenchError> {
    let started_at = Instant::now();
    reader.get_mut().write_all(request)?;
    let (mut line, mut content_length) = (String::new(), None);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err("the connection ended before the end of the head".into());
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            content_length = Some(value.trim().parse::<usize>()?);
        }
        if line.trim_end().is_empty() {
            break;
        }
    }
    let mut first_event_time = None;
    if let Some(length) = content_length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok((started_at.elapsed(), started_at.elapsed()));
    }
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        first_event_time.get_or_insert_with(|| started_at.elapsed());
        if size == 0 {
            return Ok((first_event_time.unwrap_or_default(), started_at.elapsed()));
        }
    }
}

struct RequestCost {
    first_event_us: Histogram<u64>,
    complete_us: Histogram<u64>,
    cpu_us: f64,
}

/// Measures `count` requests in sequence on one connection, after a tenth as many that are not measured.
fn measure_requests(
    addr: SocketAddr,
    process_id: Option<u32>,
    front: Dialect,
    case: &Case,
    count: usize,
) -> Result<RequestCost, BenchError> {
    let stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    let (mut first_event_us, mut complete_us) = (Histogram::new(3)?, Histogram::new(3)?);
    let mut initial_ticks = 0;
    for n in 0..count + count / 10 {
        if n == count / 10 {
            initial_ticks = process_id.map_or(Ok(0), cpu_ticks)?;
        }
        let request = conformance::client::request(case, front, &case.name, 0xB0_0000 + n as u64);
        let (first_event_time, complete_time) = exchange(&mut reader, &request)?;
        if n >= count / 10 {
            first_event_us.record(first_event_time.as_nanos() as u64 / 1000)?;
            complete_us.record(complete_time.as_nanos() as u64 / 1000)?;
        }
    }
    let used_ticks = process_id.map_or(Ok(0), cpu_ticks)? - initial_ticks;
    Ok(RequestCost { first_event_us, complete_us, cpu_us: used_ticks as f64 * 10_000.0 / count as f64 })
}

fn start_gateway(stand_ins: &StandIns, replica_dialect: Dialect) -> Result<GatewayProcess, BenchError> {
    Ok(GatewayProcess::start(stand_ins, replica_dialect, &program_path()?, &std::env::temp_dir())?)
}

fn program_path() -> Result<PathBuf, BenchError> {
    let example_path = std::env::current_exe()?;
    let program_path = example_path
        .parent()
        .and_then(Path::parent)
        .ok_or("the example's path has no parent folder")?
        .join("tulipridge");
    if program_path.exists() {
        Ok(program_path)
    } else {
        Err("build the program first: cargo build --release --locked".into())
    }
}

fn measure_costs(count: usize) -> Result<(), BenchError> {
    println!("front     servers   form    events  first us p50/p99  whole us p50/p99  cpu us/request");
    for (event_count, is_complete_response) in [(1, false), (100, false), (1000, false), (100, true)] {
        let case = text_case("bench", event_count, is_complete_response)?;
        let count = if event_count > 500 { count / 4 } else { count };
        for replica_dialect in [Dialect::Platform, Dialect::Messages] {
            let stand_ins = StandIns::start(replica_dialect, Fleet::One, std::slice::from_ref(&case), 0)?;
            let gateway = start_gateway(&stand_ins, replica_dialect)?;
            for front in [Dialect::Platform, Dialect::Messages] {
                if is_complete_response && front == Dialect::Platform {
                    continue;
                }
                let cost = measure_requests(gateway.front(front), Some(gateway.id()), front, &case, count)?;
                println!(
                    "{:9} {:9} {:7} {event_count:6} {:>9}/{:<7} {:>9}/{:<7} {:>10.1}",
                    format!("{front:?}"),
                    format!("{replica_dialect:?}"),
                    if is_complete_response { "whole" } else { "stream" },
                    cost.first_event_us.value_at_quantile(0.5),
                    cost.first_event_us.value_at_quantile(0.99),
                    cost.complete_us.value_at_quantile(0.5),
                    cost.complete_us.value_at_quantile(0.99),
                    cost.cpu_us,
                );
            }
            let addr = stand_ins.list()["servers"][0]["addr"]
                .as_str()
                .ok_or("the list has no replica")?
                .parse()?;
            if !is_complete_response {
                let direct = measure_requests(addr, None, replica_dialect, &case, count)?;
                println!(
                    "{:9} {:9} {:7} {event_count:6} {:>9}/{:<7} {:>9}/{:<7} {:>10}",
                    "-",
                    format!("{replica_dialect:?}"),
                    "stream",
                    direct.first_event_us.value_at_quantile(0.5),
                    direct.first_event_us.value_at_quantile(0.99),
                    direct.complete_us.value_at_quantile(0.5),
                    direct.complete_us.value_at_quantile(0.99),
                    "-",
                );
            }
        }
    }
    Ok(())
}

/// Cases with and without faults. Each is chosen for 1 in 16 requests; the remaining 7 in 16 use the first case too,
/// which has no fault.
const FAULTS: &str = "case served
case full-once
  serve full
  then
  serve hello
case reset-first
  serve reset
  then
  serve hello
case error-first
  serve error overloaded_error \"no\"
  then
  serve hello
case status-first
  serve status 500 \"no\"
  then
  serve hello
case reset-amid
  serve text \"Hel\"
  serve pause 5
  serve reset
case error-amid
  serve text \"Hel\"
  serve pause 5
  serve error api_error \"no\"
case unknown-amid
  serve text \"Hel\"
  serve unknown
  serve text \"lo\"
  serve end done
case wrong
  serve status 422 \"no\"
";

/// Sends the same requests with the same faults over each pairing and prints the numbers of outcomes and attempts.
fn compare_pairings(count: usize) -> Result<(), BenchError> {
    let cases = case::parse("faults", FAULTS)?;
    let mut runs: Vec<(Pairing, Vec<CaseResult>)> = Vec::new();
    for pairing in PAIRINGS {
        let stand_ins = StandIns::start(pairing.replicas, Fleet::Own, &cases, 0)?;
        let gateway = start_gateway(&stand_ins, pairing.replicas)?;
        let mut seed = 8u64;
        let mut results = Vec::new();
        for _ in 0..count {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            // Half of the requests have no fault, so that no replica is ejected as an outlier.
            let case_index = (seed >> 33) as usize % 16;
            let case = cases.get(case_index).unwrap_or(&cases[0]);
            let verdict = conformance::run(case, pairing, gateway.front(pairing.front), Some(&stand_ins));
            results.push((verdict.outcome, verdict.attempts));
        }
        runs.push((pairing, results));
    }
    let count_outcomes = |results: &[CaseResult]| {
        let count = |outcome: Outcome| results.iter().filter(|(actual, _)| *actual == outcome).count();
        let attempts: usize = results.iter().filter_map(|(_, n)| *n).sum();
        (
            count(Outcome::Served),
            count(Outcome::Broken),
            count(Outcome::Shed),
            count(Outcome::Failed),
            count(Outcome::Refused),
            attempts,
        )
    };
    println!(
        "front     servers   served  broken  turned-down  failed  refused  attempts  differ from the first"
    );
    let reference = runs[0].1.clone();
    for (Pairing { front, replicas: replica_dialect }, results) in &runs {
        let differing_count = results.iter().zip(&reference).filter(|(a, b)| a != b).count();
        let (served, broken, shed, failed, refused, attempts) = count_outcomes(results);
        println!(
            "{:9} {:9} {served:6}  {broken:6}  {shed:11}  {failed:6}  {refused:7}  {attempts:11}  {differing_count:6}",
            format!("{front:?}"),
            format!("{replica_dialect:?}")
        );
    }
    Ok(())
}

/// Measures the gateway's memory per complete response that is being assembled.
fn measure_memory() -> Result<(), BenchError> {
    let resident_kib = |process_id: u32| -> Result<u64, BenchError> {
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no VmRSS")?;
        Ok(line.split_whitespace().nth(1).ok_or("no VmRSS")?.parse()?)
    };
    println!("whole answers  bytes each  KiB of the process for each");
    for (count, kib) in [(100, 4), (100, 32), (400, 4)] {
        let mut text = String::from("case hold\n  ask whole\n");
        for _ in 0..kib {
            text += &format!("  serve text \"{}\"\n", "x".repeat(1000));
        }
        text += "  serve pause 450\n  serve ping\n  serve pause 450\n  serve ping\n  serve pause 450\n  serve ping\n  serve pause 450\n  serve end done\n";
        let cases = case::parse("hold", &text)?;
        let stand_ins = StandIns::start(Dialect::Messages, Fleet::One, &cases, 0)?;
        let gateway = start_gateway(&stand_ins, Dialect::Messages)?;
        let initial_kib = resident_kib(gateway.id())?;
        let mut streams = Vec::new();
        for n in 0..count {
            let request = conformance::client::request(&cases[0], Dialect::Messages, "hold", 0xC0_0000 + n);
            let mut stream = TcpStream::connect(gateway.front(Dialect::Messages))?;
            stream.write_all(&request)?;
            streams.push(stream);
        }
        std::thread::sleep(Duration::from_millis(900));
        let final_kib = resident_kib(gateway.id())?;
        println!("{count:13}  {:10}  {:10.1}", kib * 1000, (final_kib - initial_kib) as f64 / count as f64);
    }
    Ok(())
}

fn main() -> Result<(), BenchError> {
    measure_costs(2000)?;
    measure_memory()?;
    compare_pairings(2000)
}
