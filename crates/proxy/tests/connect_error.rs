//! Maps each connect error to an attempt outcome after which a retry is safe.

use std::error::Error;
use std::io;

use rstest::rstest;
use tulipridge_proxy::replica::connect_error::ConnectError;
use tulipridge_proxy::replica::outcome::{AttemptOutcome, Execution};

#[rstest]
#[case::system_limit(io::Error::from_raw_os_error(23), AttemptOutcome::OutOfDescriptors)]
#[case::process_limit(io::Error::from_raw_os_error(24), AttemptOutcome::OutOfDescriptors)]
#[case::refused(io::ErrorKind::ConnectionRefused.into(), AttemptOutcome::ConnectRefused)]
#[case::unreachable(io::ErrorKind::HostUnreachable.into(), AttemptOutcome::ConnectRefused)]
#[case::timed_out(io::ErrorKind::TimedOut.into(), AttemptOutcome::ConnectTimedOut)]
fn a_system_error_leads_to_its_outcome(#[case] cause: io::Error, #[case] expected: AttemptOutcome) {
    let error = ConnectError::from(cause);
    assert_eq!(error.outcome(), expected);
    assert_eq!(error.outcome().execution(), Execution::NotRun);
    assert!(error.source().is_some());
}

#[test]
fn too_many_connections_are_an_internal_fault() {
    let error = ConnectError::TooManyConnections { max_open: 7 };
    assert_eq!(error.outcome(), AttemptOutcome::OutOfDescriptors);
    assert_eq!(error.to_string(), "all 7 connections to replicas are in use");
}
