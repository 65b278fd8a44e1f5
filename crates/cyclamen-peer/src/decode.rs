//! Decodes messages from the wire format.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use capnp::Error;
use cyclamen_cache::{Delta, Era, Key, Revision, Row};
use cyclamen_claim::Progress;
use cyclamen_directory::catalog::Version;
use cyclamen_dispatch::{Load, Observation, TeamWork};
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_quota::{Ask, Decision, Rate, Report};
use cyclamen_replica::{Demand, Start};
use cyclamen_route::balancer::Summary;
use cyclamen_route::containment::{Answer, Crash, Part, Strike};
use cyclamen_tables::routes::Priority;
use cyclamen_types::{entry, group, instance};

use crate::message::{
    Admission, AdmissionRequest, AdmissionResponse, Capability, Gossip, PermitRequest,
    PermitResponse, PoolSummary, Release,
};
use crate::peer_capnp as wire;

fn text<T: FromStr<Err: Display>>(reader: capnp::text::Reader<'_>) -> Result<T, Error> {
    let text = reader.to_str()?;
    text.parse()
        .map_err(|e: T::Err| Error::failed(e.to_string()))
}

fn owner(from: wire::owner::Reader<'_>) -> Result<Owner, Error> {
    Ok(Owner {
        entry: text(from.get_entry()?)?,
        incarnation: entry::Incarnation(from.get_incarnation()),
    })
}

fn pool_summary(from: wire::summary::Reader<'_>) -> Result<PoolSummary, Error> {
    Ok(PoolSummary {
        pool: text(from.get_pool()?)?,
        domain: text(from.get_domain()?)?,
        summary: Summary {
            serving: from.get_serving(),
            free: from.get_free(),
            wait_ms: from.get_wait_ms(),
        },
    })
}

fn strike(from: wire::strike::Reader<'_>) -> Result<Strike, Error> {
    let parts = from.get_parts()?.iter();
    let parts = parts.map(|part| Ok(Part::new(part?.to_str()?)));
    Ok(Strike {
        parts: parts.collect::<Result<Vec<_>, Error>>()?.into(),
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
        rows: from.get_rows()?.iter().map(row).collect::<Result<_, _>>()?,
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

pub(crate) fn gossip(from: wire::news::Reader<'_>) -> Result<Gossip, Error> {
    Ok(Gossip {
        sender: owner(from.get_sender()?)?,
        era: Era(from.get_store_era()),
        as_of: revision(from.get_as_of_era(), from.get_as_of()),
        operators_as_of: revision(from.get_operators_as_of_era(), from.get_operators_as_of()),
        catalog_version: Version(from.get_catalog_version()),
        summaries: from
            .get_summaries()?
            .iter()
            .map(pool_summary)
            .collect::<Result<_, _>>()?,
        strikes: from
            .get_strikes()?
            .iter()
            .map(strike)
            .collect::<Result<_, _>>()?,
        answers: from
            .get_answered()?
            .iter()
            .map(answer)
            .collect::<Result<_, _>>()?,
        delta: delta(from.get_delta()?)?,
        loads: from
            .get_loads()?
            .iter()
            .map(load)
            .collect::<Result<_, _>>()?,
        suspected: from
            .get_suspected()?
            .iter()
            .map(start)
            .collect::<Result<_, _>>()?,
        reached: from
            .get_reached()?
            .iter()
            .map(start)
            .collect::<Result<_, _>>()?,
        leaving: from
            .get_leaving()?
            .iter()
            .map(start)
            .collect::<Result<_, _>>()?,
        handover: address(from.get_handover_address()?)?,
        unserved: from
            .get_unserved()?
            .iter()
            .map(capability)
            .collect::<Result<_, _>>()?,
        cut_off: from
            .get_cut_off()?
            .iter()
            .map(|name| text(name?))
            .collect::<Result<_, _>>()?,
        limits: from
            .get_limits()?
            .iter()
            .map(limit)
            .collect::<Result<_, _>>()?,
        issues: from
            .get_issues()?
            .iter()
            .map(|name| text(name?))
            .collect::<Result<_, _>>()?,
        uses_permits: from.get_uses_permits(),
        is_draining: from.get_draining(),
        store_age: Duration::from_millis(from.get_store_age_ms()),
        demands: from
            .get_demands()?
            .iter()
            .map(demand)
            .collect::<Result<_, _>>()?,
        observations: from
            .get_observations()?
            .iter()
            .map(observation)
            .collect::<Result<_, _>>()?,
        team_work: from
            .get_team_work()?
            .iter()
            .map(team_work)
            .collect::<Result<_, _>>()?,
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
    let model = from.get_model()?;
    Ok(TeamWork {
        service: text(from.get_service()?)?,
        model: if model.is_empty() {
            None
        } else {
            Some(text(model)?)
        },
        team: text(from.get_team()?)?,
        tokens: amount(from.get_tokens()),
    })
}

fn rate(per_second: f64) -> Result<Rate, Error> {
    Rate::new(per_second).ok_or_else(|| Error::failed(format!("not a rate: {per_second}")))
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

pub(crate) fn permit_request(from: wire::permit_ask::Reader<'_>) -> Result<PermitRequest, Error> {
    Ok(PermitRequest {
        scope: text(from.get_scope()?)?,
        ask: Ask {
            instance: text(from.get_instance()?)?,
            incarnation: instance::Incarnation(from.get_incarnation()),
            rate: rate(from.get_per_second())?,
            priority: from.get_priority(),
        },
    })
}

pub(crate) fn permit_response(
    from: wire::permit_answer::Reader<'_>,
) -> Result<PermitResponse, Error> {
    Ok(match from.which()? {
        wire::permit_answer::NotIssuer(()) => PermitResponse::NotIssuer,
        wire::permit_answer::Issued(()) => PermitResponse::Decided(Decision::Issued),
        wire::permit_answer::DeniedMs(ms) => {
            PermitResponse::Decided(Decision::Denied(Duration::from_millis(ms)))
        }
    })
}

/// Decodes an address; `None` if the text is empty.
fn address(from: capnp::text::Reader<'_>) -> Result<Option<SocketAddr>, Error> {
    if from.is_empty() {
        return Ok(None);
    }
    text(from).map(Some)
}

fn capability(from: wire::capability::Reader<'_>) -> Result<Capability, Error> {
    let model = from.get_model()?;
    Ok(Capability {
        service: text(from.get_service()?)?,
        model: if model.is_empty() {
            None
        } else {
            Some(text(model)?)
        },
    })
}

pub(crate) fn admission_request(from: wire::ask::Reader<'_>) -> Result<AdmissionRequest, Error> {
    let interactive = from.get_interactive();
    Ok(AdmissionRequest {
        ticket: group::Ticket(from.get_ticket()),
        domain: text(from.get_domain()?)?,
        pool: text(from.get_pool()?)?,
        team: text(from.get_team()?)?,
        share: from.get_share(),
        priority: if interactive {
            Priority::Interactive
        } else {
            Priority::Batch
        },
        remaining: Duration::from_millis(from.get_deadline_ms()),
        suspect: from.get_suspect(),
        may_queue: from.get_patient(),
        holder: owner(from.get_holder()?)?,
        traceparent: from.get_traceparent()?.to_str()?.into(),
    })
}

fn grant(from: wire::grant::Reader<'_>) -> Result<Grant, Error> {
    Ok(Grant {
        ticket: group::Ticket(from.get_ticket()),
        group: text(from.get_group()?)?,
        fence: group::Fence(from.get_fence()),
        instance: text(from.get_instance()?)?,
        address: text(from.get_address()?)?,
        start_within: Duration::from_millis(from.get_start_within_ms()),
    })
}

pub(crate) fn admission_response(
    from: wire::answer::Reader<'_>,
) -> Result<AdmissionResponse, Error> {
    let summary = from
        .get_has_summary()
        .then(|| pool_summary(from.get_summary()?))
        .transpose()?;
    let admission = match from.which()? {
        wire::answer::Granted(granted) => Admission::Granted(grant(granted?)?),
        wire::answer::NotServing(()) => Admission::NotServing,
        wire::answer::NotOwner(()) => Admission::NotOwner,
        wire::answer::BusyMs(ms) => Admission::Busy(Duration::from_millis(ms)),
        wire::answer::LateMs(ms) => Admission::Late(Duration::from_millis(ms)),
    };
    Ok(AdmissionResponse { admission, summary })
}

pub(crate) fn releases(
    from: capnp::struct_list::Reader<'_, wire::release::Owned>,
) -> Result<Vec<Release>, Error> {
    from.iter().map(release).collect()
}

fn release(from: wire::release::Reader<'_>) -> Result<Release, Error> {
    Ok(Release {
        domain: text(from.get_domain()?)?,
        ticket: group::Ticket(from.get_ticket()),
        ending: match from.which()? {
            wire::release::WholeMs(ms) => Ending::Complete(Duration::from_millis(ms)),
            wire::release::Unused(()) => Ending::Unused,
            wire::release::Failed(()) => Ending::Failed,
        },
    })
}

pub(crate) fn progress(progress: wire::Fate) -> Progress {
    match progress {
        wire::Fate::Claiming => Progress::Claiming,
        wire::Fate::Sent => Progress::Sent,
        wire::Fate::Abandoned => Progress::Abandoned,
        wire::Fate::Forgotten => Progress::Unknown,
    }
}
