//! Decodes messages from the wire format.

mod gossip;

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use capnp::Error;
use cyclamen_claim::Progress;
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_quota::{Ask, Decision, Rate};
use cyclamen_route::balancer::Summary;
use cyclamen_tables::routes::Priority;
use cyclamen_types::{entry, group, instance};

use crate::message::{
    Admission, AdmissionRequest, AdmissionResponse, PermitRequest, PermitResponse, PoolSummary,
    Release,
};
use crate::peer_capnp as wire;

pub(crate) use gossip::gossip;

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

fn rate(per_second: f64) -> Result<Rate, Error> {
    Rate::new(per_second).ok_or_else(|| Error::failed(format!("not a rate: {per_second}")))
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
