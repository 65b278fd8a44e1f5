//! Decodes gossip.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use capnp::Error;
use cyclamen_cache::{Delta, Era, Key, Revision, Row};
use cyclamen_directory::catalog::Version;
use cyclamen_dispatch::{Load, Observation, TeamWork};
use cyclamen_quota::Report;
use cyclamen_replica::{Demand, Start};
use cyclamen_route::containment::{Answer, Crash, Part, Strike};
use cyclamen_types::{group, instance};

use super::{owner, pool_summary, rate, text};
use crate::message::{Capability, Gossip};
use crate::peer_capnp as wire;

pub(crate) fn gossip(from: wire::news::Reader<'_>) -> Result<Gossip, Error> {
    Ok(Gossip {
        sender: owner(from.get_sender()?)?,
        era: Era(from.get_store_era()),
        as_of: revision(from.get_as_of_era(), from.get_as_of()),
        operators_as_of: revision(from.get_operators_as_of_era(), from.get_operators_as_of()),
        catalog_version: Version(from.get_catalog_version()),
        summaries: each(from.get_summaries()?, pool_summary)?,
        strikes: each(from.get_strikes()?, strike)?,
        answers: each(from.get_answered()?, answer)?,
        delta: delta(from.get_delta()?)?,
        loads: each(from.get_loads()?, load)?,
        suspected: each(from.get_suspected()?, start)?,
        reached: each(from.get_reached()?, start)?,
        leaving: each(from.get_leaving()?, start)?,
        handover: optional(from.get_handover_address()?)?,
        unserved: each(from.get_unserved()?, capability)?,
        cut_off: each(from.get_cut_off()?, |name| text(name?))?,
        limits: each(from.get_limits()?, limit)?,
        issues: each(from.get_issues()?, |name| text(name?))?,
        uses_permits: from.get_uses_permits(),
        is_draining: from.get_draining(),
        store_age: Duration::from_millis(from.get_store_age_ms()),
        demands: each(from.get_demands()?, demand)?,
        observations: each(from.get_observations()?, observation)?,
        team_work: each(from.get_team_work()?, team_work)?,
    })
}

/// Decodes each element of a list.
fn each<E, T, C: FromIterator<T>>(
    list: impl IntoIterator<Item = E>,
    decode: impl FnMut(E) -> Result<T, Error>,
) -> Result<C, Error> {
    list.into_iter().map(decode).collect()
}

fn strike(from: wire::strike::Reader<'_>) -> Result<Strike, Error> {
    let parts: Vec<Part> = each(from.get_parts()?, |part| Ok(Part::new(part?.to_str()?)))?;
    Ok(Strike {
        parts: parts.into(),
        fingerprint: text(from.get_fingerprint()?)?,
        crash: Crash {
            domain: text(from.get_domain()?)?,
            group: text(from.get_group()?)?,
            fence: group::Fence(from.get_fence()),
        },
    })
}

fn answer(from: wire::answered::Reader<'_>) -> Result<Answer, Error> {
    Ok(Answer {
        part: Part::new(from.get_part()?.to_str()?),
        age: Duration::from_millis(from.get_age_ms()),
    })
}

fn revision(era: u64, version: u64) -> Revision {
    Revision {
        era: Era(era),
        version,
    }
}

fn row(from: wire::row::Reader<'_>) -> Result<Row, Error> {
    let value = from.get_value()?.to_str()?;
    Ok(Row {
        key: Key(from.get_key()?.to_str()?.into()),
        revision: revision(from.get_revision_era(), from.get_revision()),
        value: from.get_present().then(|| value.into()),
    })
}

fn delta(from: wire::delta::Reader<'_>) -> Result<Delta, Error> {
    Ok(Delta {
        since: revision(from.get_since_era(), from.get_since()),
        as_of: revision(from.get_as_of_era(), from.get_as_of()),
        rows: each(from.get_rows()?, row)?,
    })
}

fn load(from: wire::load::Reader<'_>) -> Result<Load, Error> {
    Ok(Load {
        instance: text(from.get_instance()?)?,
        fence: group::Fence(from.get_fence()),
        running: from.get_running(),
        backlog: from.get_backlog(),
    })
}

fn start(from: wire::start::Reader<'_>) -> Result<Start, Error> {
    Ok(Start {
        instance: text(from.get_instance()?)?,
        incarnation: instance::Incarnation(from.get_incarnation()),
    })
}

/// Returns an amount of work; what is no amount counts as none.
fn amount(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

fn demand(from: wire::demand::Reader<'_>) -> Result<Demand, Error> {
    Ok(Demand {
        service: text(from.get_service()?)?,
        model: text(from.get_model()?)?,
        requests: amount(from.get_requests()),
        prompt_tokens: amount(from.get_prompt_tokens()),
        answer_tokens: amount(from.get_answer_tokens()),
        refused: amount(from.get_refused()),
    })
}

fn observation(from: wire::observation::Reader<'_>) -> Result<Observation, Error> {
    Ok(Observation {
        instance: text(from.get_instance()?)?,
        fence: group::Fence(from.get_fence()),
        running: from.get_running(),
        queued: from.get_queued(),
        pace: amount(from.get_pace()),
        age: Duration::from_millis(from.get_age_ms()),
    })
}

fn team_work(from: wire::team_work::Reader<'_>) -> Result<TeamWork, Error> {
    Ok(TeamWork {
        service: text(from.get_service()?)?,
        model: optional(from.get_model()?)?,
        team: text(from.get_team()?)?,
        tokens: amount(from.get_tokens()),
    })
}

fn limit(from: wire::limit::Reader<'_>) -> Result<Report, Error> {
    Ok(Report {
        instance: text(from.get_instance()?)?,
        incarnation: instance::Incarnation(from.get_incarnation()),
        limit: if from.get_lifted() {
            None
        } else {
            Some(rate(from.get_per_second())?)
        },
        age: Duration::from_millis(from.get_age_ms()),
    })
}

/// Decodes a value; `None` if its text is empty.
fn optional<T: FromStr<Err: Display>>(from: capnp::text::Reader<'_>) -> Result<Option<T>, Error> {
    if from.is_empty() {
        return Ok(None);
    }
    text(from).map(Some)
}

fn capability(from: wire::capability::Reader<'_>) -> Result<Capability, Error> {
    Ok(Capability {
        service: text(from.get_service()?)?,
        model: optional(from.get_model()?)?,
    })
}
