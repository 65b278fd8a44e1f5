//! Tickets, which are released when they are dropped.

use std::sync::Arc;

use cyclamen_domain::{Ending, Grant};
use cyclamen_peer::Release;
use cyclamen_types::{Time, domain, group};

use crate::node::Node;

/// A granted ticket, which is released on drop.
pub(crate) struct Admitted {
    pub(crate) grant: Grant,
    pub(crate) domain: domain::Name,
    pub(crate) granted_at: Time,
    pub(super) ending: Ending,
    pub(super) node: Arc<Node>,
}

impl Admitted {
    /// Records how the request ended, for the release that is sent to the domain's owner.
    pub(crate) fn end(&mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Returns whether the request may still be sent.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        if now.since(self.granted_at) > self.grant.start_within {
            return false;
        }
        let state = self.node.state();
        let domain = state.domains.get(&self.domain);
        let listing = domain.and_then(|d| d.listings().find(|l| l.instance == self.grant.instance));
        listing.is_none_or(|l| !state.pools.body.zones_out.contains(&l.zone))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.node
            .release(&self.domain, self.grant.ticket, self.ending);
    }
}

/// A requested ticket that may have been issued; released on drop unless it is kept.
pub(super) struct RequestedTicket {
    pub(super) node: Arc<Node>,
    pub(super) domain: domain::Name,
    pub(super) ticket: group::Ticket,
    pub(super) kept: bool,
}

impl Drop for RequestedTicket {
    fn drop(&mut self) {
        if !self.kept {
            self.node.release(&self.domain, self.ticket, Ending::Unused);
        }
    }
}

impl Node {
    /// Releases a ticket to the domain that may have issued it.
    fn release(&self, domain: &domain::Name, ticket: group::Ticket, ending: Ending) {
        let now = self.now();
        let mut state = self.state();
        let pools = state.pools.clone();
        if let Some(own) = state.domains.get_mut(domain).filter(|d| d.is_mine()) {
            own.release(now, ticket, ending, &pools.body);
            state.poll_queue(now, domain);
            return;
        }
        drop(state);
        let release = Release {
            domain: domain.clone(),
            ticket,
            ending,
        };
        if self.release_sender.try_send(release).is_err() {
            log::warn!("event=release_dropped domain={domain} ticket={ticket}");
        }
    }
}
