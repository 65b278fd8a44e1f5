//! Containment of requests that crash workers, and of those that share a part of their prompts.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_dispatch::Dispatch;
use cyclamen_route::containment::{Answer, Decision, Fingerprint, Part};

use crate::frontend::call::Call;
use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;
use crate::node::Canary;
use crate::tasks;
use crate::tasks::Suspect;

/// Maximum number of parts of a prompt that are considered.
const MAX_PARTS: usize = 32;
/// Maximum length of the id of a part, in bytes.
const MAX_PART_BYTES: usize = 64;
/// The retry delay of requests while another one runs with the same undecided part.
const CANARY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How far a request has come that may have undecided parts.
#[derive(Clone, Default)]
pub(super) enum Stage {
    /// No worker was chosen for it while it had any.
    #[default]
    Unsent,
    /// It is the canary of its undecided parts: it may crash its worker.
    Canary(Arc<Canary>),
    /// A worker began to answer it.
    Begun,
}

impl Stage {
    fn canary(&self) -> Option<Arc<Canary>> {
        match self {
            Self::Canary(canary) => Some(canary.clone()),
            Self::Unsent | Self::Begun => None,
        }
    }
}

impl Request {
    /// Makes the request the canary of its undecided parts, if it has any; refuses it while another
    /// request is that.
    pub(super) fn begin_canary(&mut self) -> Result<(), Refusal> {
        if !matches!(self.stage, Stage::Unsent) {
            return Ok(());
        }
        let node = &self.call.node;
        let undecided = node.state().strikes.undecided(&self.call.parts);
        if undecided.is_empty() {
            return Ok(());
        }
        let busy = Refusal::retry_later("undecided_part", CANARY_RETRY_DELAY);
        let canary = Canary::begin(node, undecided).ok_or(busy)?;
        self.stage = Stage::Canary(Arc::new(canary));
        Ok(())
    }

    /// Records that a worker began to answer the request, which is no canary from then on.
    pub(super) fn record_begin(&mut self) {
        self.stage = Stage::Begun;
    }
}

impl Call {
    /// Refuses a request that crashes workers.
    pub(super) fn check_containment(&self) -> Result<(), Refusal> {
        if self.node.state().strikes.is_empty() {
            return Ok(());
        }
        let fingerprint = self.fingerprint();
        let now = self.node.now();
        let state = self.node.state();
        if state.strikes.decide(now, fingerprint, &self.parts) != Decision::Refuse {
            return Ok(());
        }
        let expires_in = state.strikes.expires_in(now, fingerprint, &self.parts);
        log::warn!(
            "event=request_contained id={} fingerprint={fingerprint} lasts_ms={}",
            self.id,
            expires_in.as_millis()
        );
        Err(Refusal::retry_later("crashes_workers", expires_in))
    }

    /// Returns the fingerprint of the request's content, which does not depend on its id.
    fn fingerprint(&self) -> &Fingerprint {
        self.fingerprint.get_or_init(|| {
            let team = self.team.as_ref().map_or("", |team| team.name.as_str());
            Fingerprint::of_parts([
                self.route.name.as_str().as_bytes(),
                self.method.as_str().as_bytes(),
                self.target.as_target().as_str().as_bytes(),
                team.as_bytes(),
                &self.body,
            ])
        })
    }

    /// Records that a worker, which may have crashed, closed the connection before its response or
    /// at the beginning of it.
    ///
    /// A canary stays one until it is known whether the worker has.
    pub(super) fn record_disconnect(&self, dispatch: &Dispatch, stage: &Stage) {
        let canary = stage.canary();
        if let Some(canary) = &canary {
            canary.record_disconnect();
        }
        let suspect = Suspect {
            canary,
            id: self.id.clone(),
            fingerprint: self.fingerprint().clone(),
            parts: self.parts.clone(),
        };
        tasks::confirm_crash(&self.node, &dispatch.target, suspect);
    }

    /// Records that the request received a complete response, which clears its strikes. A response
    /// with which it was answered also clears the parts of its prompt.
    pub(crate) fn record_completion(&self, was_answered: bool) {
        let now = self.node.now();
        let mut state = self.node.state();
        if was_answered {
            state.record_answers(now, self.parts.iter().map(Answer::now));
        }
        if !state.strikes.is_empty() {
            state.strikes.record_completion(self.fingerprint());
        }
    }
}

/// Returns the parts of a prompt that requests may share: all but the last, from their list in a
/// header.
pub(super) fn shared_parts(header: &str) -> Vec<Part> {
    let mut ids = header.split(',').map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim()
    });
    ids.next_back();
    let ids = ids.filter(|id| !id.is_empty() && id.len() <= MAX_PART_BYTES);
    ids.take(MAX_PARTS).map(Part::new).collect()
}
