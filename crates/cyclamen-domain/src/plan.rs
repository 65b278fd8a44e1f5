//! The next steps towards whole replica groups.

use std::net::SocketAddr;

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Kind;
use cyclamen_types::{Time, domain, group, instance, pool};

use crate::monitor::Watch;
use crate::options::Options;
use crate::reconcile::Draft;
use crate::report::Assignment;
use crate::row::{Group, Row};

/// A step to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this row, on the condition that the present one still stands.
    Write(Row),
    /// Send an order to a worker.
    Order {
        /// The instance of the worker.
        instance: instance::Id,
        /// Where the worker listens.
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
        /// The group and the fencing number of the order.
        assignment: Assignment,
        /// The pool whose model to load.
        pool: pool::Name,
        /// The place in the group, from zero.
        rank: usize,
        /// Members of the group.
        size: usize,
    },
    /// Leave any group.
    Leave {
        /// The fencing number of the order.
        fence: group::Fence,
    },
}

/// The state that a plan is made from.
pub(crate) struct Scene<'a> {
    pub(crate) now: Time,
    pub(crate) domain: &'a domain::Name,
    pub(crate) row: &'a Row,
    pub(crate) watch: &'a Watch,
    pub(crate) pools: &'a Pools,
    pub(crate) options: &'a Options,
}

impl Scene<'_> {
    /// The row to write, if it differs from the present one.
    ///
    /// `idle` tells whether a group has no request in progress.
    pub(crate) fn row(&self, idle: impl Fn(&Group) -> bool) -> Option<Row> {
        let mut draft = Draft::new(self);
        draft.drop_groups(&idle);
        draft.repair_groups(&idle);
        draft.form_groups();
        (draft.row != *self.row).then_some(draft.row)
    }

    /// The orders that bring workers in line with the row.
    pub(crate) fn orders(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for group in &self.row.groups {
            if self.takes_orders(&group.pool) {
                steps.extend(self.joins(group));
            }
        }
        steps.extend(self.leaves());
        steps
    }

    pub(crate) fn takes_orders(&self, pool: &pool::Name) -> bool {
        self.pools.get(pool).is_some_and(|p| p.kind == Kind::Model)
    }

    fn joins<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = Step> + 'a {
        let assignment = Assignment {
            group: group.id.clone(),
            fence: group.fence,
        };
        group
            .members
            .iter()
            .enumerate()
            .filter_map(move |(rank, member)| {
                let report = self.watch.fresh(self.now, &member.instance, self.options)?;
                let listing = self.watch.listing(&member.instance)?;
                let matches = report.assignment.as_ref() == Some(&assignment);
                if matches || report.incarnation != member.incarnation {
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

    fn leaves(&self) -> impl Iterator<Item = Step> + '_ {
        self.watch.listings().filter_map(|listing| {
            let report = self
                .watch
                .fresh(self.now, &listing.instance, self.options)?;
            let stray = report.assignment.is_some();
            if !stray || self.row.group_of(&listing.instance).is_some() {
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
