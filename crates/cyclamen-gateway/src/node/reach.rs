//! Which services this entry reaches, and which other entries take requests that are handed over.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_peer::Capability;
use cyclamen_types::{Time, entry, pool};
use rand::Rng;

use crate::node::{Knowledge, Peer, State};

/// The maximum age of another entry's last gossip at which requests are handed over to it.
const MAX_GOSSIP_AGE: Duration = Duration::from_millis(1_200);
/// How many more requests handed over and in progress an entry of this availability zone may have
/// than one of another zone.
const OTHER_ZONE_COST: f64 = 8.0;

/// An entry to which a request is handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Receiver {
    pub(crate) entry: entry::Name,
    pub(crate) address: SocketAddr,
}

/// The numbers of other entries, by whether a request is handed over to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Receivers {
    /// Those to which it was handed over before.
    tried: usize,
    /// Those that were not heard lately.
    silent: usize,
    /// Those that reach no worker for it or take no requests.
    lacking: usize,
    /// Those that take it.
    ready: usize,
}

/// Writes the keys and values of log lines.
impl fmt::Display for Receivers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            tried,
            silent,
            lacking,
            ready,
        } = self;
        write!(
            f,
            "tried={tried} silent={silent} lacking={lacking} ready={ready}"
        )
    }
}

impl State {
    /// Returns the address on which this entry takes requests that are handed over; `None` while it
    /// takes none.
    pub(crate) fn handover_address(&self) -> Option<SocketAddr> {
        self.handover_listen.filter(|_| !self.is_draining())
    }

    /// Chooses an entry that reaches workers of a service or model, and counts the request as in
    /// progress there; `tried` are entries to which it was handed over before.
    pub(crate) fn choose_receiver(
        &mut self,
        now: Time,
        wanted: &Capability,
        tried: &[entry::Name],
    ) -> Option<Receiver> {
        let mut best: Option<(f64, Receiver)> = None;
        for (name, peer) in &self.peers {
            let address = peer.handover_address(now, wanted);
            let Some(address) = address.filter(|_| !tried.contains(name)) else {
                continue;
            };
            let in_progress = self.handed_over.get(name).copied().unwrap_or_default();
            let zone_cost = if peer.same_zone { 0.0 } else { OTHER_ZONE_COST };
            let cost = f64::from(in_progress) + zone_cost + self.rng.random::<f64>();
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let entry = name.clone();
                best = Some((cost, Receiver { entry, address }));
            }
        }
        let (_, receiver) = best?;
        *self.handed_over.entry(receiver.entry.clone()).or_default() += 1;
        Some(receiver)
    }

    /// Returns why requests for a service or model are handed over to no entry.
    pub(crate) fn receivers(
        &self,
        now: Time,
        wanted: &Capability,
        tried: &[entry::Name],
    ) -> Receivers {
        let mut receivers = Receivers::default();
        for (name, peer) in &self.peers {
            let count = if tried.contains(name) {
                &mut receivers.tried
            } else if !peer.is_heard(now) {
                &mut receivers.silent
            } else if peer.handover_address(now, wanted).is_none() {
                &mut receivers.lacking
            } else {
                &mut receivers.ready
            };
            *count += 1;
        }
        receivers
    }

    /// Records that a request that was handed over has ended.
    pub(crate) fn record_handover_end(&mut self, receiver: &Receiver) {
        if let Some(count) = self.handed_over.get_mut(&receiver.entry) {
            *count = count.saturating_sub(1);
        }
        self.handed_over.retain(|_, count| *count > 0);
    }

    /// Returns whether gossip of an entry has arrived lately.
    pub(crate) fn is_heard(&self, now: Time, entry: &entry::Name) -> bool {
        let peer = self.peers.get(entry);
        peer.is_some_and(|peer| peer.is_heard(now))
    }

    /// Returns what this entry has no worker for, of the configured services and models.
    pub(crate) fn unserved(&self) -> Vec<Capability> {
        let counts = self.target_counts().into_iter();
        let unserved = counts.filter(|count| count.count == 0);
        unserved
            .map(|count| Capability {
                service: count.service,
                model: count.model.parse().ok(),
            })
            .collect()
    }

    /// Returns the services whose workers this entry does not reach although others do.
    pub(crate) fn cut_off(&self, now: Time) -> Vec<pool::Service> {
        let services = self.catalog.services().map(|service| &service.name);
        services
            .filter(|service| self.is_cut_off(now, service))
            .cloned()
            .collect()
    }

    /// Returns the services whose workers this entry does not reach, for whatever reason.
    pub(crate) fn lost(&self) -> Vec<pool::Service> {
        let services = self.catalog.services().map(|service| &service.name);
        services
            .filter(|service| self.reach.is_lost(service))
            .cloned()
            .collect()
    }
}

impl Peer {
    /// Returns the address on which the entry takes requests for a service or model that are handed
    /// over; `None` if it does not reach a worker for them, takes none or is silent.
    fn handover_address(&self, now: Time, wanted: &Capability) -> Option<SocketAddr> {
        let Knowledge {
            handover,
            unserved,
            cut_off,
            ..
        } = &self.knowledge;
        let lacks = unserved.contains(wanted) || cut_off.contains(&wanted.service);
        handover.filter(|_| self.is_heard(now) && !lacks)
    }

    pub(super) fn is_heard(&self, now: Time) -> bool {
        let heard_at = self.knowledge.heard_at;
        heard_at.is_some_and(|at| now.since(at) < MAX_GOSSIP_AGE)
    }
}
