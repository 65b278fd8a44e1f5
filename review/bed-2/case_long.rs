//! A part of long prompts crashes each worker that begins to answer on it.
//!
//! The prompts are conversations of some forty turns, each a part. Once such requests have crashed workers
//! five times, no more than three of them may reach workers.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::case_part::{CONTACT, CRASHING, Clients, DOCUMENT, FIRST, Fleet, record_all, with_site};
use crate::gateway::Gateway;
use crate::{Setting, Verdict};

/// The number of turns before the part that crashes workers.
const TURNS: usize = 36;
/// How long requests come, one that crashes workers each second.
const LENGTH: Duration = Duration::from_secs(16);
const SOUND_PAUSE: Duration = Duration::from_millis(200);
const CRASH_PAUSE: Duration = Duration::from_millis(1_000);
/// The most requests that may reach workers later than `contact_ms` after the fifth crash.
const MOST: usize = 3;

pub fn run(setting: &Setting) -> Verdict {
    with_site(setting, play)
}

/// Returns the parts of a conversation: the first part of all prompts, and turns that no other one shares.
fn conversation(number: usize) -> Vec<String> {
    let turns = (0..TURNS).map(|turn| format!("{:08x}:20", 0x0100_0000 + number * 0x100 + turn));
    std::iter::once(FIRST.to_string()).chain(turns).collect()
}

fn play(setting: &Setting, fleet: &Arc<Fleet>, gateways: &[Gateway]) -> Verdict {
    let record = &setting.record;
    let (seen_tx, seen_rx) = mpsc::channel();
    let mut clients = Clients {
        gateways: gateways.iter().map(|gateway| gateway.front).collect(),
        sent: 0,
        seen_tx,
    };
    let begun = Instant::now();
    let (mut replaced, mut next_crash, mut number) = (0, begun + CRASH_PAUSE, 0);
    while begun.elapsed() < LENGTH {
        clients.send(&[FIRST, DOCUMENT]);
        if Instant::now() >= next_crash {
            number += 1;
            let mut parts = conversation(number);
            if setting.trouble {
                parts.push(CRASHING.into());
            }
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            clients.send(&parts);
            next_crash += CRASH_PAUSE;
        }
        fleet.replace(&mut replaced);
        std::thread::sleep(SOUND_PAUSE);
    }
    std::thread::sleep(Duration::from_secs(2));
    drop(clients);
    let crashes = fleet.crashes.lock().unwrap().clone();
    let seen: Vec<_> = seen_rx.into_iter().collect();
    record_all(record, &seen);
    let counts_from = crashes.get(4).map(|(at, _)| *at + CONTACT);
    let mut reached: Vec<&str> = Vec::new();
    for (at, request) in &crashes {
        if counts_from.is_some_and(|from| *at > from) && !reached.contains(&request.as_str()) {
            reached.push(request);
        }
    }
    let sound = seen.iter().filter(|seen| !seen.parts.contains(CRASHING));
    let (mut all, mut served) = (0, 0);
    for seen in sound {
        all += 1;
        served += usize::from(seen.status == 200);
    }
    record.line(format!(
        "{number} long requests of {} parts sent, the part in question at place {}; {} crashes; of {all} other \
         requests, {served} were served",
        TURNS + 3,
        TURNS + 2,
        crashes.len()
    ));
    record.line(format!(
        "BUDGET: {} requests with the part reached workers later than contact_ms after the fifth crash",
        reached.len()
    ));
    if setting.trouble && crashes.len() < 5 {
        record.line("fewer than five crashes");
        return Verdict::Unclear;
    }
    match reached.len() {
        0..=MOST => Verdict::Held,
        _ => Verdict::Broken,
    }
}
