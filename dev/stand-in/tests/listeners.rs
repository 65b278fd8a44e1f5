//! Addresses for listeners of processes that start at the same moment.

#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cyclamen_stand_in::server;

/// The number of threads that start processes.
const STARTING_THREADS: usize = 4;
/// The number of addresses chosen meanwhile.
const ADDRESSES: usize = 4_000;

/// A child holds copies of all descriptors of this process until it executes its program.
#[test]
fn an_address_can_be_bound_while_other_threads_start_processes() {
    let stopped = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..STARTING_THREADS)
        .map(|_| {
            let stopped = Arc::clone(&stopped);
            std::thread::spawn(move || start_processes(&stopped))
        })
        .collect();
    let addresses = (0..ADDRESSES).map(|_| server::free_address().unwrap());
    let taken = addresses.filter(|address| TcpListener::bind(address).is_err());
    let taken = taken.count();
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}

fn start_processes(stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamenpath-stand-in"));
        assert!(command.arg("--help").output().is_ok());
    }
}
