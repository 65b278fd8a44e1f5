//! What differs between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::catalog::Access;
use crate::draft::{Draft, Membership};
use crate::route::{Repeat, Route};
use crate::service::Service;
use crate::team::Key;

/// What kind of part differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Whether callers need an API key.
    Access,
    /// The limits on caller requests.
    Limits,
    /// A route.
    Route,
    /// A service.
    Service,
    /// A team.
    Team,
}

impl Kind {
    /// Returns the name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Access => "access",
            Self::Limits => "limits",
            Self::Route => "route",
            Self::Service => "service",
            Self::Team => "team",
        }
    }
}

/// One difference to the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The kind of the part.
    pub kind: Kind,
    /// The name of the part.
    pub name: Arc<str>,
    /// What becomes of it, such as `added` or `timeout 2000 ms, was 3000 ms`.
    pub what: Arc<str>,
    /// What callers lose by it, if they lose service.
    pub loss: Option<&'static str>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.kind.as_str(), self.name, self.what)?;
        match self.loss {
            Some(loss) => write!(f, " ({loss})"),
            None => Ok(()),
        }
    }
}

/// The fields of a part, as texts.
type Fields = BTreeMap<&'static str, String>;

/// The parts of one kind by name.
type Parts = BTreeMap<Arc<str>, Fields>;

impl Draft {
    /// Returns what differs from the configuration in force, by kind and name.
    ///
    /// Keys are counted and never shown.
    pub fn changes(&self, in_force: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        compare(
            Kind::Access,
            &in_force.access_parts(),
            &self.access_parts(),
            &mut changes,
        );
        compare(
            Kind::Limits,
            &in_force.limit_parts(),
            &self.limit_parts(),
            &mut changes,
        );
        compare(
            Kind::Route,
            &in_force.route_parts(),
            &self.route_parts(),
            &mut changes,
        );
        let (before, after) = (in_force.service_parts(), self.service_parts());
        compare(Kind::Service, &before, &after, &mut changes);
        compare(
            Kind::Team,
            &in_force.team_parts(),
            &self.team_parts(),
            &mut changes,
        );
        self.compare_keys(in_force, &mut changes);
        changes.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
        changes
    }

    fn access_parts(&self) -> Parts {
        let access = match self.access {
            Access::ByKey => "by the key of a team",
            Access::Open => "open to all",
        };
        let fields = [("routes", access.to_string())];
        Parts::from([("of callers".into(), Fields::from(fields))])
    }

    fn limit_parts(&self) -> Parts {
        let fields = [
            ("head", format!("{} bytes", self.limits.head_bytes)),
            ("body", format!("{} bytes", self.limits.body_bytes)),
        ];
        Parts::from([("of requests".into(), Fields::from(fields))])
    }

    fn route_parts(&self) -> Parts {
        let routes = self.routes.iter().map(|route| &route.value);
        let name = |route: &Route| format!("{}{}", route.host, route.prefix).into();
        routes
            .map(|route| (name(route), route_fields(route)))
            .collect()
    }

    fn service_parts(&self) -> Parts {
        let services = self.services.iter().map(|service| &service.value);
        let parts = services.map(|s| (s.name.as_str().into(), service_fields(s)));
        parts.collect()
    }

    fn team_parts(&self) -> Parts {
        let teams = self.teams.iter().map(|team| &team.value.team);
        let priority = |priority: Option<crate::route::Priority>| match priority {
            Some(priority) => priority.0.to_string(),
            None => "of the route".to_string(),
        };
        let fields = teams.map(|team| {
            let fields = Fields::from([("priority", priority(team.priority))]);
            (team.name.as_str().into(), fields)
        });
        fields.collect()
    }

    /// Reports how many keys teams that stay gain and lose.
    fn compare_keys(&self, in_force: &Self, changes: &mut Vec<Change>) {
        let after = self.keys();
        let before = in_force.keys();
        for (name, keys) in &after {
            let Some(former) = before.get(name) else {
                continue;
            };
            let added = keys.difference(former).count();
            let removed = former.difference(keys).count();
            if added + removed == 0 {
                continue;
            }
            changes.push(Change {
                kind: Kind::Team,
                name: name.clone(),
                what: format!("{added} keys added, {removed} removed").into(),
                loss: (removed > 0).then_some("callers with the removed keys get 401"),
            });
        }
    }

    fn keys(&self) -> BTreeMap<Arc<str>, BTreeSet<&Key>> {
        let mut keys: BTreeMap<Arc<str>, BTreeSet<&Key>> = BTreeMap::new();
        for Membership { team, keys: held } in self.teams.iter().map(|team| &team.value) {
            let team = keys.entry(team.name.as_str().into()).or_default();
            team.extend(held);
        }
        keys
    }
}

/// Reports the parts of a kind that were added, removed or changed.
fn compare(kind: Kind, before: &Parts, after: &Parts, changes: &mut Vec<Change>) {
    let mut report = |name: &Arc<str>, what: String, loss| {
        changes.push(Change {
            kind,
            name: name.clone(),
            what: what.into(),
            loss,
        });
    };
    for (name, fields) in after {
        let Some(former) = before.get(name) else {
            report(name, "added".to_string(), None);
            continue;
        };
        for (field, value) in fields {
            match former.get(field) {
                Some(was) if was == value => {}
                Some(was) => report(name, format!("{field} {value}, was {was}"), None),
                None => report(name, format!("{field} {value}, new"), None),
            }
        }
        for (field, was) in former
            .iter()
            .filter(|(field, _)| !fields.contains_key(*field))
        {
            report(name, format!("{field} no longer {was}"), None);
        }
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        report(name, "removed".to_string(), removal_loss(kind));
    }
}

/// Returns what callers lose if a part of a kind is removed.
fn removal_loss(kind: Kind) -> Option<&'static str> {
    match kind {
        Kind::Access | Kind::Limits => None,
        Kind::Route => Some("its callers get 404, or the route of a shorter prefix"),
        Kind::Service => Some("routes that lead to it serve nothing"),
        Kind::Team => Some("its callers get 401"),
    }
}

fn route_fields(route: &Route) -> Fields {
    let weights = route
        .targets
        .iter()
        .map(|t| format!("{} {}", t.service, t.weight));
    let repeat = match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Never => "never repeated",
        Repeat::Resume => "resumable",
    };
    Fields::from([
        ("name", route.name.to_string()),
        ("kind", repeat.to_string()),
        ("streaming", route.streaming.to_string()),
        ("timeout", format!("{} ms", route.timeout.as_millis())),
        ("goal", format!("{} ms", route.goal.as_millis())),
        ("priority", route.priority.0.to_string()),
        ("attempts", route.attempts.to_string()),
        ("anonymous", route.anonymous.to_string()),
        ("services", weights.collect::<Vec<_>>().join(", ")),
    ])
}

fn service_fields(service: &Service) -> Fields {
    let health = service.health_path.as_deref().unwrap_or("none");
    let cold = service.cold_per_second;
    let cold = cold.map_or("none".to_string(), |limit| format!("{limit} requests/s"));
    let mut fields = Fields::from([("health path", health.to_string()), ("cold limit", cold)]);
    if let Some(engine) = &service.engine {
        let models = engine.models.iter().map(|model| {
            let load = model.load.as_millis();
            let (size, share, pace) = (model.size, model.share, model.pace);
            format!(
                "{} of {size}, share {share}, pace {pace}, load {load} ms",
                model.name
            )
        });
        fields.insert("slots", engine.slots.to_string());
        fields.insert("models", models.collect::<Vec<_>>().join("; "));
    }
    fields
}
