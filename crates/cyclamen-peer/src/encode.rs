//! Encodes messages to the wire format.

use std::time::Duration;

use cyclamen_cache::{Delta, Row};
use cyclamen_claim::Progress;
use cyclamen_dispatch::{Load, Observation, TeamWork};
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_quota::{Decision, Report};
use cyclamen_replica::{Demand, Start};
use cyclamen_route::containment::{Answer, Strike};
use cyclamen_tables::routes::Priority;

use crate::message::{
    Admission, AdmissionRequest, AdmissionResponse, Capability, Gossip, PermitRequest,
    PermitResponse, PoolSummary, Release,
};
use crate::peer_capnp as wire;

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn owner(mut to: wire::owner::Builder<'_>, owner: &Owner) {
    to.set_entry(owner.entry.as_str());
    to.set_incarnation(owner.incarnation.0);
}

fn pool_summary(mut to: wire::summary::Builder<'_>, state: &PoolSummary) {
    to.set_pool(state.pool.as_str());
    to.set_domain(state.domain.as_str());
    to.set_serving(state.summary.serving);
    to.set_free(state.summary.free);
    to.set_wait_ms(state.summary.wait_ms);
}

fn strike(mut to: wire::strike::Builder<'_>, strike: &Strike) {
    to.set_fingerprint(strike.fingerprint.to_string());
    to.set_domain(strike.crash.domain.as_str());
    to.set_group(strike.crash.group.as_str());
    to.set_fence(strike.crash.fence.0);
    let mut parts = to.init_parts(count(strike.parts.len()));
    for (i, part) in (0..).zip(strike.parts.iter()) {
        parts.set(i, part.as_str());
    }
}

fn answer(mut to: wire::answered::Builder<'_>, answer: &Answer) {
    to.set_part(answer.part.as_str());
    to.set_age_ms(millis(answer.age));
}

fn row(mut to: wire::row::Builder<'_>, row: &Row) {
    to.set_key(&*row.key.0);
    to.set_revision(row.revision.version);
    to.set_revision_era(row.revision.era.0);
    to.set_present(row.value.is_some());
    to.set_value(row.value.as_deref().unwrap_or_default());
}

fn delta(mut to: wire::delta::Builder<'_>, delta: &Delta) {
    to.set_since(delta.since.version);
    to.set_since_era(delta.since.era.0);
    to.set_as_of(delta.as_of.version);
    to.set_as_of_era(delta.as_of.era.0);
    let mut rows = to.init_rows(count(delta.rows.len()));
    for (i, each) in (0..).zip(&delta.rows) {
        row(rows.reborrow().get(i), each);
    }
}

fn load(mut to: wire::load::Builder<'_>, load: &Load) {
    to.set_instance(load.instance.as_str());
    to.set_fence(load.fence.0);
    to.set_running(load.running);
    to.set_backlog(load.backlog);
}

fn start(mut to: wire::start::Builder<'_>, start: &Start) {
    to.set_instance(start.instance.as_str());
    to.set_incarnation(start.incarnation.0);
}

pub(crate) fn gossip(mut to: wire::news::Builder<'_>, gossip: &Gossip) {
    owner(to.reborrow().init_sender(), &gossip.sender);
    to.set_as_of(gossip.as_of.version);
    to.set_as_of_era(gossip.as_of.era.0);
    to.set_operators_as_of(gossip.operators_as_of.version);
    to.set_operators_as_of_era(gossip.operators_as_of.era.0);
    to.set_catalog_version(gossip.catalog_version.0);
    to.set_store_era(gossip.era.0);
    let mut summaries = to.reborrow().init_summaries(count(gossip.summaries.len()));
    for (i, each) in (0..).zip(&gossip.summaries) {
        pool_summary(summaries.reborrow().get(i), each);
    }
    let mut strikes = to.reborrow().init_strikes(count(gossip.strikes.len()));
    for (i, each) in (0..).zip(&gossip.strikes) {
        strike(strikes.reborrow().get(i), each);
    }
    let mut answers = to.reborrow().init_answered(count(gossip.answers.len()));
    for (i, each) in (0..).zip(&gossip.answers) {
        answer(answers.reborrow().get(i), each);
    }
    let mut loads = to.reborrow().init_loads(count(gossip.loads.len()));
    for (i, each) in (0..).zip(&gossip.loads) {
        load(loads.reborrow().get(i), each);
    }
    let mut suspected = to.reborrow().init_suspected(count(gossip.suspected.len()));
    for (i, each) in (0..).zip(&gossip.suspected) {
        start(suspected.reborrow().get(i), each);
    }
    let mut reached = to.reborrow().init_reached(count(gossip.reached.len()));
    for (i, each) in (0..).zip(&gossip.reached) {
        start(reached.reborrow().get(i), each);
    }
    let mut leaving = to.reborrow().init_leaving(count(gossip.leaving.len()));
    for (i, each) in (0..).zip(&gossip.leaving) {
        start(leaving.reborrow().get(i), each);
    }
    if let Some(address) = gossip.handover {
        to.set_handover_address(address.to_string());
    }
    let mut unserved = to.reborrow().init_unserved(count(gossip.unserved.len()));
    for (i, each) in (0..).zip(&gossip.unserved) {
        capability(unserved.reborrow().get(i), each);
    }
    let mut cut_off = to.reborrow().init_cut_off(count(gossip.cut_off.len()));
    for (i, each) in (0..).zip(&gossip.cut_off) {
        cut_off.set(i, each.as_str());
    }
    let mut limits = to.reborrow().init_limits(count(gossip.limits.len()));
    for (i, each) in (0..).zip(&gossip.limits) {
        limit(limits.reborrow().get(i), each);
    }
    let mut issues = to.reborrow().init_issues(count(gossip.issues.len()));
    for (i, each) in (0..).zip(&gossip.issues) {
        issues.set(i, each.as_str());
    }
    to.set_uses_permits(gossip.uses_permits);
    to.set_draining(gossip.is_draining);
    to.set_store_age_ms(millis(gossip.store_age));
    let mut demands = to.reborrow().init_demands(count(gossip.demands.len()));
    for (i, each) in (0..).zip(&gossip.demands) {
        demand(demands.reborrow().get(i), each);
    }
    let observed = count(gossip.observations.len());
    let mut observations = to.reborrow().init_observations(observed);
    for (i, each) in (0..).zip(&gossip.observations) {
        observation(observations.reborrow().get(i), each);
    }
    let mut work = to.reborrow().init_team_work(count(gossip.team_work.len()));
    for (i, each) in (0..).zip(&gossip.team_work) {
        team_work(work.reborrow().get(i), each);
    }
    delta(to.init_delta(), &gossip.delta);
}

fn demand(mut to: wire::demand::Builder<'_>, demand: &Demand) {
    to.set_service(demand.service.as_str());
    to.set_model(demand.model.as_str());
    to.set_requests(demand.requests);
    to.set_prompt_tokens(demand.prompt_tokens);
    to.set_answer_tokens(demand.answer_tokens);
    to.set_refused(demand.refused);
}

fn observation(mut to: wire::observation::Builder<'_>, observation: &Observation) {
    to.set_instance(observation.instance.as_str());
    to.set_fence(observation.fence.0);
    to.set_running(observation.running);
    to.set_queued(observation.queued);
    to.set_pace(observation.pace);
    to.set_age_ms(millis(observation.age));
}

fn team_work(mut to: wire::team_work::Builder<'_>, work: &TeamWork) {
    to.set_service(work.service.as_str());
    if let Some(model) = &work.model {
        to.set_model(model.as_str());
    }
    to.set_team(work.team.as_str());
    to.set_tokens(work.tokens);
}

fn limit(mut to: wire::limit::Builder<'_>, report: &Report) {
    to.set_instance(report.instance.as_str());
    to.set_incarnation(report.incarnation.0);
    to.set_lifted(report.limit.is_none());
    to.set_per_second(report.limit.unwrap_or_default().per_second());
    to.set_age_ms(millis(report.age));
}

pub(crate) fn permit_request(mut to: wire::permit_ask::Builder<'_>, request: &PermitRequest) {
    to.set_scope(request.scope.as_str());
    to.set_instance(request.ask.instance.as_str());
    to.set_incarnation(request.ask.incarnation.0);
    to.set_per_second(request.ask.rate.per_second());
    to.set_priority(request.ask.priority);
}

pub(crate) fn permit_response(mut to: wire::permit_answer::Builder<'_>, response: PermitResponse) {
    match response {
        PermitResponse::NotIssuer => to.set_not_issuer(()),
        PermitResponse::Decided(Decision::Issued) => to.set_issued(()),
        PermitResponse::Decided(Decision::Denied(wait)) => to.set_denied_ms(millis(wait)),
    }
}

fn capability(mut to: wire::capability::Builder<'_>, capability: &Capability) {
    to.set_service(capability.service.as_str());
    if let Some(model) = &capability.model {
        to.set_model(model.as_str());
    }
}

pub(crate) fn admission_request(mut to: wire::ask::Builder<'_>, request: &AdmissionRequest) {
    to.set_ticket(request.ticket.0);
    to.set_domain(request.domain.as_str());
    to.set_pool(request.pool.as_str());
    to.set_team(request.team.as_str());
    to.set_share(request.share);
    to.set_interactive(request.priority == Priority::Interactive);
    to.set_deadline_ms(millis(request.remaining));
    to.set_suspect(request.suspect);
    to.set_patient(request.may_queue);
    to.set_traceparent(&*request.traceparent);
    owner(to.init_holder(), &request.holder);
}

fn grant(mut to: wire::grant::Builder<'_>, grant: &Grant) {
    to.set_ticket(grant.ticket.0);
    to.set_group(grant.group.as_str());
    to.set_fence(grant.fence.0);
    to.set_instance(grant.instance.as_str());
    to.set_address(grant.address.to_string());
    to.set_start_within_ms(millis(grant.start_within));
}

pub(crate) fn admission_response(mut to: wire::answer::Builder<'_>, response: &AdmissionResponse) {
    to.set_has_summary(response.summary.is_some());
    if let Some(summary) = &response.summary {
        pool_summary(to.reborrow().init_summary(), summary);
    }
    match &response.admission {
        Admission::Granted(granted) => grant(to.init_granted(), granted),
        Admission::NotServing => to.set_not_serving(()),
        Admission::NotOwner => to.set_not_owner(()),
        Admission::Busy(wait) => to.set_busy_ms(millis(*wait)),
        Admission::Late(wait) => to.set_late_ms(millis(*wait)),
    }
}

pub(crate) fn releases(
    mut to: capnp::struct_list::Builder<'_, wire::release::Owned>,
    releases: &[Release],
) {
    for (i, each) in (0..).zip(releases) {
        release(to.reborrow().get(i), each);
    }
}

fn release(mut to: wire::release::Builder<'_>, release: &Release) {
    to.set_domain(release.domain.as_str());
    to.set_ticket(release.ticket.0);
    match release.ending {
        Ending::Complete(first_byte) => to.set_whole_ms(millis(first_byte)),
        Ending::Unused => to.set_unused(()),
        Ending::Failed => to.set_failed(()),
    }
}

pub(crate) fn progress(progress: Progress) -> wire::Fate {
    match progress {
        Progress::Claiming => wire::Fate::Claiming,
        Progress::Sent => wire::Fate::Sent,
        Progress::Abandoned => wire::Fate::Abandoned,
        Progress::Unknown => wire::Fate::Forgotten,
    }
}
