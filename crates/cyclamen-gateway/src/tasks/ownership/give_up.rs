//! Gives up the fabric domains whose workers this entry does not reach although others do.

use std::sync::Arc;

use cyclamen_types::{Time, domain};

use crate::node::{Node, State};
use crate::platform::{Commit, Table, Transaction};
use crate::settings::millis;
use crate::tasks::ownership::choice::Choice;
use crate::tasks::ownership::read_owners;
use crate::tasks::{gossip_now, store};

/// The maximum number of domains given up at once; the store bounds the size of a transaction.
const MAX_DOMAINS: usize = 64;

/// Gives up domains, so that another entry takes them over at once. The lease is kept.
pub(crate) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let names = domains(node, now);
    if names.is_empty() {
        return;
    }
    let transaction = transaction(&mut node.state(), &names);
    match store::commit(node, transaction).await {
        Ok(Commit::Done(_)) => {
            let mut state = node.state();
            for name in &names {
                log::info!("event=domain_given_up domain={name}");
                state.ownership.owner_rows.remove(name);
            }
            drop(state);
            gossip_now(node);
        }
        Ok(Commit::Conflict) => {
            log::info!("event=domains_not_given_up reason=conflict");
            // The rows decide; if they cannot be read now, the next step tries again.
            let _ = read_owners(node).await;
        }
        Err(error) => log::warn!("event=domains_not_given_up reason=\"{error}\""),
    }
}

/// Returns the domains to give up now.
fn domains(node: &Node, now: Time) -> Vec<domain::Name> {
    let silence = millis(node.settings.timing.peer_silence_ms);
    let state = node.state();
    if state.is_draining() || state.reach.cut_off_count() == 0 {
        return Vec::new();
    }
    let mut names = Choice::new(&state, now, silence).to_give_up();
    names.truncate(MAX_DOMAINS);
    names
}

/// Drops the planners of domains and returns the transaction that deletes their rows.
fn transaction(state: &mut State, names: &[domain::Name]) -> Transaction {
    let ownership = &mut state.ownership;
    let mut transaction = Transaction {
        conditions: Vec::new(),
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    for name in names {
        ownership.planners.remove(name);
        if let Some(row) = ownership.owner_rows.get(name) {
            let key: Arc<str> = name.as_str().into();
            let condition = (Table::Domains, key.clone(), row.revision);
            transaction.conditions.push(condition);
            transaction.deletes.push((Table::Domains, key));
        }
    }
    transaction
}
