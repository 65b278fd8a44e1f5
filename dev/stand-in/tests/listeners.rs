//! Addresses for listeners of processes that start at the same moment.

#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::process::Command;
use std::thread::JoinHandle;

use cyclamen_stand_in::server;

/// The number of threads that start processes.
const STARTING_THREADS: usize = 4;
/// The number of processes that each thread starts.
const PROCESSES: usize = 100;

/// A child holds copies of all descriptors of this process until it executes its program.
#[test]
fn an_address_can_be_bound_while_other_threads_start_processes() {
    let threads: Vec<_> = (0..STARTING_THREADS)
        .map(|_| std::thread::spawn(start_processes))
        .collect();
    let mut addresses = 0;
    let mut taken = 0;
    while !threads.iter().all(JoinHandle::is_finished) {
        let address = server::free_address().unwrap();
        addresses += 1;
        taken += usize::from(TcpListener::bind(address).is_err());
    }
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(taken, 0, "of {addresses} addresses");
}

fn start_processes() {
    for _ in 0..PROCESSES {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamenpath-stand-in"));
        command.arg("--help").output().unwrap();
    }
}
