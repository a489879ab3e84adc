//! The harness itself: relays that cut where they are told, and a loss of power that takes only what it may.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rstest::rstest;
use tulipridge_fault_injection::address::AddressBlock;
use tulipridge_fault_injection::disk::{Lengths, drop_unconfirmed};
use tulipridge_fault_injection::machine::MachineId;
use tulipridge_fault_injection::network::{Condition, Direction, Network};
use tulipridge_fault_injection::relay::{Route, TcpRelay};

const SENDER: MachineId = MachineId(0);
const RECEIVER: MachineId = MachineId(1);
const DIRECTION: Direction = Direction { from: SENDER, to: RECEIVER };
/// Where the relay listens, at addresses that nobody else has.
const RELAY_HOST: u8 = 2;
const RELAY_PORT: u16 = 20_000;
/// Longer than what is awaited takes.
const LIMIT: Duration = Duration::from_secs(5);
/// Plays of the loss of power.
const PLAYS: usize = 200;

/// A relayed connection: the sender's side and the receiver's.
fn connect(network: &Network) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let target = listener.local_addr().expect("an address");
    let addresses = AddressBlock::reserve().expect("addresses of our own");
    let listen = SocketAddr::from((addresses.address(RELAY_HOST), RELAY_PORT));
    TcpRelay::start(network, Route { direction: DIRECTION, listen, target }).expect("a relay");
    let sender = TcpStream::connect(listen).expect("a connection");
    let (receiver, _) = listener.accept().expect("a connection");
    receiver.set_read_timeout(Some(LIMIT)).expect("a timeout");
    (sender, receiver)
}

/// What comes until the connection ends, and how it ends.
fn read_to_end(mut receiver: TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let end = receiver.read_to_end(&mut bytes);
    (bytes, end.err().map(|error| error.kind()))
}

#[rstest]
#[case::before_the_first_byte(0)]
#[case::amid(5)]
#[case::before_the_last_byte(9)]
fn a_relay_resets_at_a_byte(#[case] passed: u64) {
    let network = Network::default();
    let (mut sender, mut receiver) = connect(&network);
    network.set_after(DIRECTION, passed, Condition::Reset);
    sender.write_all(b"0123456789").expect("it is taken");
    let mut bytes = vec![0; passed as usize];
    receiver.read_exact(&mut bytes).expect("what may pass comes");
    assert_eq!(bytes, b"0123456789"[..passed as usize]);
    let (rest, end) = read_to_end(receiver);
    assert_eq!((rest, end), (Vec::new(), Some(ErrorKind::ConnectionReset)));
    assert_eq!(network.passed(DIRECTION), passed);
}

#[test]
fn what_is_held_comes_later_and_the_other_direction_passes() {
    let network = Network::default();
    let (mut sender, mut receiver) = connect(&network);
    network.set(DIRECTION, Condition::Held);
    sender.write_all(b"held").expect("it is taken");
    receiver.write_all(b"back").expect("it is taken");
    let mut back = [0; 4];
    sender.read_exact(&mut back).expect("the other direction passes");
    assert_eq!(network.passed(DIRECTION), 0);
    network.set(DIRECTION, Condition::Open);
    drop(sender);
    assert_eq!(read_to_end(receiver), (b"held".to_vec(), None));
}

#[test]
fn what_is_held_is_lost_by_a_reset() {
    let network = Network::default();
    let (mut sender, receiver) = connect(&network);
    network.set(DIRECTION, Condition::Held);
    sender.write_all(b"held").expect("it is taken");
    network.set(DIRECTION, Condition::Reset);
    network.set(DIRECTION, Condition::Open);
    assert_eq!(read_to_end(receiver), (Vec::new(), Some(ErrorKind::ConnectionReset)));
}

#[test]
fn a_loss_of_power_takes_only_what_was_written_unheard() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log-000001");
    for _ in 0..PLAYS {
        std::fs::write(&log, b"confirmed").expect("it is written");
        let confirmed = Lengths::of(folder.path());
        std::fs::write(&log, b"confirmed, unheard").expect("it is written");
        let dropped =
            drop_unconfirmed(folder.path(), &confirmed).expect("it is cut").expect("some is dropped");
        let left = std::fs::read(&log).expect("it is read");
        assert!(left.starts_with(b"confirmed") && dropped.bytes > 0, "{dropped:?}");
        assert_eq!(left.len() as u64 + dropped.bytes, b"confirmed, unheard".len() as u64);
    }
}

#[test]
fn a_loss_of_power_takes_nothing_where_files_have_come_or_nothing_was_written() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("log-000001"), b"confirmed").expect("it is written");
    let confirmed = Lengths::of(folder.path());
    assert_eq!(drop_unconfirmed(folder.path(), &confirmed).expect("it is looked at"), None);
    std::fs::write(folder.path().join("log-000002"), b"more").expect("it is written");
    assert_eq!(drop_unconfirmed(folder.path(), &confirmed).expect("it is looked at"), None);
}
