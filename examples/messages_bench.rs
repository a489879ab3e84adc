//! What the messages front and the translation cost, and whether the pairings agree under faults; see
//! docs/design/messages.md for its figures. Needs a release build of the program beside it:
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

/// What became of a request, and its attempts.
type Came = (Outcome, Option<usize>);

/// Why a run could not be made.
type BenchError = Box<dyn std::error::Error>;

/// A stream of so many text events, asked for as a stream or whole.
fn long(name: &str, events: usize, whole: bool) -> Result<Case, BenchError> {
    let mut text = format!("case {name}\n");
    if whole {
        text += "  ask whole\n";
    }
    for _ in 0..events {
        text += "  serve text \"Gate A1 is open. \"\n";
    }
    text += "  serve end done\n";
    case::parse("bench", &text)?.pop().ok_or_else(|| "no case".into())
}

/// Ticks of a process's time, its own and the system's for it, in hundredths of a second.
fn ticks(id: u32) -> Result<u64, BenchError> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit_once(')').ok_or("no stat")?.1.split_whitespace().collect();
    Ok(fields[11].parse::<u64>()? + fields[12].parse::<u64>()?)
}

/// One request on an open connection: the time to its first event and to its end.
fn once(reader: &mut BufReader<TcpStream>, request: &[u8]) -> Result<(Duration, Duration), BenchError> {
    let from = Instant::now();
    reader.get_mut().write_all(request)?;
    let (mut line, mut length) = (String::new(), None);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err("the connection ended".into());
        }
        if let Some(told) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = Some(told.trim().parse::<usize>()?);
        }
        if line.trim_end().is_empty() {
            break;
        }
    }
    let mut first = None;
    if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok((from.elapsed(), from.elapsed()));
    }
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        first.get_or_insert_with(|| from.elapsed());
        if size == 0 {
            return Ok((first.unwrap_or_default(), from.elapsed()));
        }
    }
}

struct Cost {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    cpu_us: f64,
}

/// So many requests, one after the other, on one connection.
fn cost(
    addr: SocketAddr,
    id: Option<u32>,
    front: Dialect,
    case: &Case,
    count: usize,
) -> Result<Cost, BenchError> {
    let stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    let (mut first, mut whole) = (Histogram::new(3)?, Histogram::new(3)?);
    let mut before = 0;
    for n in 0..count + count / 10 {
        if n == count / 10 {
            before = id.map_or(Ok(0), ticks)?;
        }
        let request = conformance::client::request(case, front, &case.name, 0xB0_0000 + n as u64);
        let (begun, ended) = once(&mut reader, &request)?;
        if n >= count / 10 {
            first.record(begun.as_nanos() as u64 / 1000)?;
            whole.record(ended.as_nanos() as u64 / 1000)?;
        }
    }
    let used = id.map_or(Ok(0), ticks)? - before;
    Ok(Cost { first, whole, cpu_us: used as f64 * 10_000.0 / count as f64 })
}

fn gateway(stand_ins: &StandIns, servers: Dialect) -> Result<GatewayProcess, BenchError> {
    Ok(GatewayProcess::start(stand_ins, servers, &program()?, &std::env::temp_dir())?)
}

fn program() -> Result<PathBuf, BenchError> {
    let own = std::env::current_exe()?;
    let beside = own.parent().and_then(Path::parent).ok_or("no place")?.join("tulipridge");
    if beside.exists() {
        Ok(beside)
    } else {
        Err("build the program first: cargo build --release --locked".into())
    }
}

fn costs(count: usize) -> Result<(), BenchError> {
    println!("front     servers   form    events  first us p50/p99  whole us p50/p99  cpu us/request");
    for (events, whole) in [(1, false), (100, false), (1000, false), (100, true)] {
        let case = long("bench", events, whole)?;
        let count = if events > 500 { count / 4 } else { count };
        for servers in [Dialect::Platform, Dialect::Messages] {
            let stand_ins = StandIns::start(servers, Fleet::One, std::slice::from_ref(&case), 0)?;
            let running = gateway(&stand_ins, servers)?;
            for front in [Dialect::Platform, Dialect::Messages] {
                if whole && front == Dialect::Platform {
                    continue;
                }
                let cost = cost(running.front(front), Some(running.id()), front, &case, count)?;
                println!(
                    "{:9} {:9} {:7} {events:6} {:>9}/{:<7} {:>9}/{:<7} {:>10.1}",
                    format!("{front:?}"),
                    format!("{servers:?}"),
                    if whole { "whole" } else { "stream" },
                    cost.first.value_at_quantile(0.5),
                    cost.first.value_at_quantile(0.99),
                    cost.whole.value_at_quantile(0.5),
                    cost.whole.value_at_quantile(0.99),
                    cost.cpu_us,
                );
            }
            let addr = stand_ins.list()["servers"][0]["addr"].as_str().ok_or("no server")?.parse()?;
            if !whole {
                let direct = cost(addr, None, servers, &case, count)?;
                println!(
                    "{:9} {:9} {:7} {events:6} {:>9}/{:<7} {:>9}/{:<7} {:>10}",
                    "-",
                    format!("{servers:?}"),
                    "stream",
                    direct.first.value_at_quantile(0.5),
                    direct.first.value_at_quantile(0.99),
                    direct.whole.value_at_quantile(0.5),
                    direct.whole.value_at_quantile(0.99),
                    "-",
                );
            }
        }
    }
    Ok(())
}

/// What the replicas do in the run with faults, as so many parts of 16 requests.
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

/// The same requests with the same faults over each pairing: what became of each, and its attempts.
fn faults(count: usize) -> Result<(), BenchError> {
    let cases = case::parse("faults", FAULTS)?;
    let mut runs: Vec<(Pairing, Vec<Came>)> = Vec::new();
    for pairing in PAIRINGS {
        let stand_ins = StandIns::start(pairing.replicas, Fleet::Own, &cases, 0)?;
        let running = gateway(&stand_ins, pairing.replicas)?;
        let mut seed = 8u64;
        let mut came = Vec::new();
        for _ in 0..count {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            // Half of all are served at once, so that no server is taken for sick.
            let n = (seed >> 33) as usize % 16;
            let case = cases.get(n).unwrap_or(&cases[0]);
            let verdict = conformance::run(case, pairing, running.front(pairing.front), Some(&stand_ins));
            came.push((verdict.outcome, verdict.attempts));
        }
        runs.push((pairing, came));
    }
    let tally = |runs: &[Came]| {
        let of = |o: Outcome| runs.iter().filter(|(is, _)| *is == o).count();
        let sent: usize = runs.iter().filter_map(|(_, n)| *n).sum();
        (
            of(Outcome::Served),
            of(Outcome::Broken),
            of(Outcome::Shed),
            of(Outcome::Failed),
            of(Outcome::Refused),
            sent,
        )
    };
    println!(
        "front     servers   served  broken  turned-down  failed  refused  attempts  differ from the first"
    );
    let first = runs[0].1.clone();
    for (Pairing { front, replicas: servers }, came) in &runs {
        let differ = came.iter().zip(&first).filter(|(a, b)| a != b).count();
        let (served, broken, turned, failed, refused, sent) = tally(came);
        println!(
            "{:9} {:9} {served:6}  {broken:6}  {turned:11}  {failed:6}  {refused:7}  {sent:11}  {differ:6}",
            format!("{front:?}"),
            format!("{servers:?}")
        );
    }
    Ok(())
}

/// The process's memory for each whole answer in progress.
fn memory() -> Result<(), BenchError> {
    let held = |id: u32| -> Result<u64, BenchError> {
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no size")?;
        Ok(line.split_whitespace().nth(1).ok_or("no size")?.parse()?)
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
        let running = gateway(&stand_ins, Dialect::Messages)?;
        let before = held(running.id())?;
        let mut open = Vec::new();
        for n in 0..count {
            let request = conformance::client::request(&cases[0], Dialect::Messages, "hold", 0xC0_0000 + n);
            let mut stream = TcpStream::connect(running.front(Dialect::Messages))?;
            stream.write_all(&request)?;
            open.push(stream);
        }
        std::thread::sleep(Duration::from_millis(900));
        let after = held(running.id())?;
        println!("{count:13}  {:10}  {:10.1}", kib * 1000, (after - before) as f64 / count as f64);
    }
    Ok(())
}

fn main() -> Result<(), BenchError> {
    costs(2000)?;
    memory()?;
    faults(2000)
}
