//! Planning of the next steps towards complete replica groups.

use std::net::SocketAddr;

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Kind;
use cyclamen_types::{Time, domain, group, instance, pool};

use crate::monitor::Monitor;
use crate::options::Options;
use crate::reconcile::Reconciler;
use crate::report::Assignment;
use crate::row::{Group, Row};

/// A step of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this row on the condition that the current one is unchanged.
    Write(Row),
    /// Send an order to a worker.
    Order {
        /// The instance of the worker.
        instance: instance::Id,
        /// The address that the worker listens on.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Join a group.
    Join {
        /// The group and the fencing token of the order.
        assignment: Assignment,
        /// The pool whose model the worker loads.
        pool: pool::Name,
        /// The zero-based position in the group.
        rank: usize,
        /// Number of members of the group.
        size: usize,
    },
    /// Leave the current group, if any.
    Leave {
        /// The fencing token of the order.
        fence: group::Fence,
    },
}

/// The state of a domain that a plan is computed from.
pub(crate) struct View<'a> {
    pub(crate) now: Time,
    pub(crate) domain: &'a domain::Name,
    pub(crate) row: &'a Row,
    pub(crate) monitor: &'a Monitor,
    pub(crate) pools: &'a Pools,
    pub(crate) options: &'a Options,
}

impl View<'_> {
    /// Returns the row to write, if it differs from the current one.
    ///
    /// `is_idle` returns whether a group is known to have no request in progress.
    pub(crate) fn next_row(&self, is_idle: impl Fn(&Group) -> bool) -> Option<Row> {
        let mut reconciler = Reconciler::new(self, &is_idle);
        reconciler.drop_groups();
        reconciler.repair_groups();
        reconciler.form_groups();
        (reconciler.row != *self.row).then_some(reconciler.row)
    }

    /// Returns the orders that make the workers' assignments match the row.
    pub(crate) fn orders(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for group in &self.row.groups {
            if self.accepts_orders(&group.pool) {
                steps.extend(self.join_orders(group));
            }
        }
        steps.extend(self.leave_orders());
        steps
    }

    /// Returns whether the workers of a pool accept orders, as model engines do.
    pub(crate) fn accepts_orders(&self, pool: &pool::Name) -> bool {
        self.pools.get(pool).is_some_and(|p| p.kind == Kind::Model)
    }

    fn join_orders<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = Step> + 'a {
        let assignment = Assignment {
            group: group.id.clone(),
            fence: group.fence,
        };
        group
            .members
            .iter()
            .enumerate()
            .filter_map(move |(rank, member)| {
                let report = self
                    .monitor
                    .fresh_report(self.now, &member.instance, self.options)?;
                let listing = self.monitor.listing(&member.instance)?;
                let joined = report.assignment.as_ref() == Some(&assignment);
                if joined || report.incarnation != member.incarnation {
                    return None;
                }
                Some(Step::Order {
                    instance: member.instance.clone(),
                    address: listing.address,
                    order: Order::Join {
                        assignment: assignment.clone(),
                        pool: group.pool.clone(),
                        rank,
                        size: group.members.len(),
                    },
                })
            })
    }

    fn leave_orders(&self) -> impl Iterator<Item = Step> + '_ {
        self.monitor.listings().filter_map(|listing| {
            let report = self
                .monitor
                .fresh_report(self.now, &listing.instance, self.options)?;
            let is_assigned = report.assignment.is_some();
            if !is_assigned || self.row.group_of(&listing.instance).is_some() {
                return None;
            }
            Some(Step::Order {
                instance: listing.instance.clone(),
                address: listing.address,
                order: Order::Leave {
                    fence: self.row.fence,
                },
            })
        })
    }
}
