//! Messages to their wire form.

use std::time::Duration;

use cyclamen_cache::{Delta, Row};
use cyclamen_claim::Progress;
use cyclamen_dispatch::Load;
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_replica::Start;
use cyclamen_route::containment::Strike;
use cyclamen_tables::routes::Priority;

use crate::message::{Admission, Answer, Ask, News, Notice, Release};
use crate::peer_capnp as wire;

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn owner(mut to: wire::owner::Builder<'_>, owner: &Owner) {
    to.set_entry(owner.entry.as_str());
    to.set_incarnation(owner.incarnation.0);
}

fn notice(mut to: wire::summary::Builder<'_>, notice: &Notice) {
    to.set_pool(notice.pool.as_str());
    to.set_domain(notice.domain.as_str());
    to.set_serving(notice.summary.serving);
    to.set_free(notice.summary.free);
    to.set_wait_ms(notice.summary.wait_ms);
}

fn strike(mut to: wire::strike::Builder<'_>, strike: &Strike) {
    to.set_fingerprint(strike.fingerprint.to_string());
    to.set_domain(strike.crash.domain.as_str());
    to.set_group(strike.crash.group.as_str());
    to.set_fence(strike.crash.fence.0);
}

fn row(mut to: wire::row::Builder<'_>, row: &Row) {
    to.set_key(&*row.key.0);
    to.set_revision(row.revision.0);
    to.set_present(row.value.is_some());
    to.set_value(row.value.as_deref().unwrap_or_default());
}

fn delta(mut to: wire::delta::Builder<'_>, delta: &Delta) {
    to.set_since(delta.since.0);
    to.set_as_of(delta.as_of.0);
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

pub(crate) fn news(mut to: wire::news::Builder<'_>, news: &News) {
    owner(to.reborrow().init_sender(), &news.sender);
    to.set_as_of(news.as_of.0);
    to.set_operators_as_of(news.operators_as_of.0);
    let mut summaries = to.reborrow().init_summaries(count(news.summaries.len()));
    for (i, each) in (0..).zip(&news.summaries) {
        notice(summaries.reborrow().get(i), each);
    }
    let mut strikes = to.reborrow().init_strikes(count(news.strikes.len()));
    for (i, each) in (0..).zip(&news.strikes) {
        strike(strikes.reborrow().get(i), each);
    }
    let mut loads = to.reborrow().init_loads(count(news.loads.len()));
    for (i, each) in (0..).zip(&news.loads) {
        load(loads.reborrow().get(i), each);
    }
    let mut suspected = to.reborrow().init_suspected(count(news.suspected.len()));
    for (i, each) in (0..).zip(&news.suspected) {
        start(suspected.reborrow().get(i), each);
    }
    delta(to.init_delta(), &news.delta);
}

pub(crate) fn ask(mut to: wire::ask::Builder<'_>, ask: &Ask) {
    to.set_ticket(ask.ticket.0);
    to.set_domain(ask.domain.as_str());
    to.set_pool(ask.pool.as_str());
    to.set_team(ask.team.as_str());
    to.set_share(ask.share);
    to.set_interactive(ask.priority == Priority::Interactive);
    to.set_deadline_ms(millis(ask.time_left));
    to.set_suspect(ask.suspect);
    to.set_patient(ask.patient);
    to.set_traceparent(&*ask.traceparent);
    owner(to.init_holder(), &ask.holder);
}

fn grant(mut to: wire::grant::Builder<'_>, grant: &Grant) {
    to.set_ticket(grant.ticket.0);
    to.set_group(grant.group.as_str());
    to.set_fence(grant.fence.0);
    to.set_instance(grant.instance.as_str());
    to.set_address(grant.address.to_string());
    to.set_start_within_ms(millis(grant.start_within));
}

pub(crate) fn answer(mut to: wire::answer::Builder<'_>, answer: &Answer) {
    to.set_has_summary(answer.summary.is_some());
    if let Some(summary) = &answer.summary {
        notice(to.reborrow().init_summary(), summary);
    }
    match &answer.admission {
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

pub(crate) fn fate(fate: Progress) -> wire::Fate {
    match fate {
        Progress::Claiming => wire::Fate::Claiming,
        Progress::Sent => wire::Fate::Sent,
        Progress::Abandoned => wire::Fate::Abandoned,
        Progress::Unknown => wire::Fate::Forgotten,
    }
}
