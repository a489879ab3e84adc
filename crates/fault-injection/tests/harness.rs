//! Fault injection: relays reset at the configured byte, and a power loss drops only unacknowledged data.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rstest::rstest;
use tulipridge_fault_injection::address::AddressBlock;
use tulipridge_fault_injection::disk::{FileLengths, drop_unacknowledged_tail};
use tulipridge_fault_injection::machine::MachineId;
use tulipridge_fault_injection::network::{Direction, LinkState, Network};
use tulipridge_fault_injection::relay::{RelayRoute, TcpRelay};

const SENDER: MachineId = MachineId(0);
const RECEIVER: MachineId = MachineId(1);
const DIRECTION: Direction = Direction { from: SENDER, to: RECEIVER };
/// Last octet of the relay's address in the reserved block.
const RELAY_HOST: u8 = 2;
/// Port of the relay.
const RELAY_PORT: u16 = 20_000;
/// Timeout of reads at the receiver.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of simulated power losses.
const POWER_LOSSES: usize = 200;

/// Opens a connection through a relay and returns the sender's and the receiver's end.
fn connect_through_relay(network: &Network) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let target = listener.local_addr().expect("an address");
    let addresses = AddressBlock::reserve().expect("a free block of addresses");
    let listen = SocketAddr::from((addresses.address(RELAY_HOST), RELAY_PORT));
    TcpRelay::start(network, RelayRoute { direction: DIRECTION, listen, target }).expect("a relay");
    let sender = TcpStream::connect(listen).expect("a connection");
    let (receiver, _) = listener.accept().expect("a connection");
    receiver.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    (sender, receiver)
}

/// Reads until the connection ends and returns the bytes and the error, if any.
fn read_to_end(mut receiver: TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let end = receiver.read_to_end(&mut bytes);
    (bytes, end.err().map(|error| error.kind()))
}

#[rstest]
#[case::before_the_first_byte(0)]
#[case::in_the_middle(5)]
#[case::before_the_last_byte(9)]
fn a_relay_resets_the_connection_after_the_configured_byte(#[case] forwarded: u64) {
    let network = Network::default();
    let (mut sender, mut receiver) = connect_through_relay(&network);
    network.set_after(DIRECTION, forwarded, LinkState::Reset);
    sender.write_all(b"0123456789").expect("a write");
    let mut bytes = vec![0; forwarded as usize];
    receiver.read_exact(&mut bytes).expect("the bytes before the reset");
    assert_eq!(bytes, b"0123456789"[..forwarded as usize]);
    let (rest, end) = read_to_end(receiver);
    assert_eq!((rest, end), (Vec::new(), Some(ErrorKind::ConnectionReset)));
    assert_eq!(network.forwarded_bytes(DIRECTION), forwarded);
}

#[test]
fn a_stall_delays_one_direction_and_leaves_the_other_open() {
    let network = Network::default();
    let (mut sender, mut receiver) = connect_through_relay(&network);
    network.set(DIRECTION, LinkState::Stalled);
    sender.write_all(b"data").expect("a write");
    receiver.write_all(b"back").expect("a write");
    let mut back = [0; 4];
    sender.read_exact(&mut back).expect("bytes in the other direction");
    assert_eq!(network.forwarded_bytes(DIRECTION), 0);
    network.set(DIRECTION, LinkState::Open);
    drop(sender);
    assert_eq!(read_to_end(receiver), (b"data".to_vec(), None));
}

#[test]
fn a_reset_drops_stalled_bytes() {
    let network = Network::default();
    let (mut sender, receiver) = connect_through_relay(&network);
    network.set(DIRECTION, LinkState::Stalled);
    sender.write_all(b"data").expect("a write");
    network.set(DIRECTION, LinkState::Reset);
    network.set(DIRECTION, LinkState::Open);
    assert_eq!(read_to_end(receiver), (Vec::new(), Some(ErrorKind::ConnectionReset)));
}

#[test]
fn a_power_loss_drops_only_unacknowledged_data() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log-000001");
    for _ in 0..POWER_LOSSES {
        std::fs::write(&log, b"acknowledged").expect("a write");
        let acknowledged = FileLengths::of(folder.path());
        std::fs::write(&log, b"acknowledged, not acknowledged").expect("a write");
        let dropped = drop_unacknowledged_tail(folder.path(), &acknowledged)
            .expect("the files are truncated")
            .expect("a dropped tail");
        let remaining = std::fs::read(&log).expect("the log");
        assert!(remaining.starts_with(b"acknowledged") && dropped.dropped_bytes > 0, "{dropped:?}");
        assert_eq!(
            remaining.len() as u64 + dropped.dropped_bytes,
            b"acknowledged, not acknowledged".len() as u64
        );
    }
}

#[test]
fn a_power_loss_drops_nothing_if_a_file_is_new_or_none_grew() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("log-000001"), b"acknowledged").expect("a write");
    let acknowledged = FileLengths::of(folder.path());
    assert_eq!(drop_unacknowledged_tail(folder.path(), &acknowledged).expect("the folder is read"), None);
    std::fs::write(folder.path().join("log-000002"), b"more").expect("a write");
    assert_eq!(drop_unacknowledged_tail(folder.path(), &acknowledged).expect("the folder is read"), None);
}
