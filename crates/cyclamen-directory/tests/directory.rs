//! Routes by host and prefix, and instances while the list is unreliable.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_directory::catalog::{Limits, Version};
use cyclamen_directory::instance::Status;
use cyclamen_directory::route::{Priority, Repeat, Target};
use cyclamen_directory::team::Key;
use cyclamen_directory::{Catalog, Instance, Register, Route, Team};
use cyclamen_types::{Time, instance};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    let target = |service: &str, weight| Target {
        service: service.parse().unwrap(),
        weight,
    };
    Route {
        name: name.parse().unwrap(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        streaming: false,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        priority: Priority(1),
        attempts: 2,
        anonymous: false,
        targets: vec![target("old", 90), target("new", 10)],
    }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::new(Version(3), Limits::default());
    catalog.add_route(route("short", "a.example", "/x/"));
    catalog.add_route(route("long", "a.example", "/x/y/"));
    catalog.add_route(route("root", "b.example", "/"));
    catalog
}

macro_rules! found {
    ($($name:ident: $host:expr, $path:expr => $route:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let catalog = catalog();
                let found = catalog.route($host, $path).map(|r| r.name.as_str());
                let expected: Option<&str> = $route;
                assert_eq!(found, expected);
            }
        )*
    };
}

found! {
    the_longest_prefix_wins: "a.example", "/x/y/z" => Some("long");
    a_shorter_prefix_serves_the_rest: "a.example", "/x/z" => Some("short");
    a_prefix_ends_with_its_slash: "a.example", "/xy" => None;
    the_prefix_itself: "a.example", "/x/" => Some("short");
    another_host: "b.example", "/x/y/z" => Some("root");
    an_unknown_host: "c.example", "/x/" => None;
    no_path: "a.example", "" => None;
}

macro_rules! split {
    ($($name:ident: $draw:expr => $service:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let route = route("r", "a.example", "/");
                assert_eq!(route.target($draw).unwrap().as_str(), $service);
            }
        )*
    };
}

split! {
    the_first_weight_begins_at_zero: 0.0 => "old";
    the_first_weight_ends_at_its_part: 0.899 => "old";
    the_rest_goes_to_the_second: 0.901 => "new";
}

#[test]
fn a_key_names_its_team_and_is_never_printed() {
    let mut catalog = catalog();
    let team = Team {
        name: "herders".parse().unwrap(),
        priority: None,
    };
    catalog.add_team(team, [Key::new("secret")]);
    let found = catalog.team(&Key::new("secret")).unwrap();
    assert_eq!(found.name.as_str(), "herders");
    assert!(catalog.team(&Key::new("other")).is_none());
    assert_eq!(format!("{:?}", Key::new("secret")), "Key(..)");
}

fn instance(name: &str) -> Instance {
    Instance {
        id: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        domain: None,
        slots: 4,
        status: Status::Ready,
        cold: Duration::from_millis(3_000),
        staged: Vec::new(),
        model: None,
        membership: None,
    }
}

/// Instances that get new work.
fn ready(register: &Register) -> Vec<&str> {
    let ready = register.entries().filter(|e| e.is_ready());
    ready.map(|e| e.instance.id.as_str()).collect()
}

#[test]
fn a_removal_counts_at_once_while_the_list_is_reliable() {
    let mut register = Register::default();
    register.list(at(0), instance("w"));
    register.remove(at(10), &"w".parse().unwrap());
    assert!(ready(&register).is_empty());
}

#[test]
fn an_instance_that_was_removed_is_leaving_until_it_is_forgotten() {
    let mut register = Register::default();
    register.list(at(0), instance("w"));
    register.remove(at(10), &"w".parse().unwrap());
    let entry = register.get(&"w".parse().unwrap()).unwrap();
    assert!(entry.has_departed());
    assert_eq!(entry.instance.status, Status::Leaving);
    assert!(!register.expire(at(12_009)));
    assert!(register.expire(at(12_010)));
    assert!(register.get(&"w".parse().unwrap()).is_none());
}

#[test]
fn an_instance_that_is_listed_again_gets_work_again() {
    let mut register = Register::default();
    register.list(at(0), instance("w"));
    register.remove(at(10), &"w".parse().unwrap());
    assert!(register.list(at(20), instance("w")));
    assert_eq!(ready(&register), ["w"]);
}

#[test]
fn a_removal_after_an_outage_counts_only_if_the_instance_stays_away() {
    let mut register = Register::default();
    register.list(at(0), instance("gone"));
    register.list(at(0), instance("back"));
    register.outage(at(1_000));
    register.replace(at(1_100), []);
    assert_eq!(ready(&register), ["back", "gone"]);
    register.list(at(2_000), instance("back"));
    assert!(!register.expire(at(3_400)));
    assert!(register.expire(at(3_600)));
    assert_eq!(ready(&register), ["back"]);
}

#[test]
fn coldness_runs_out_from_the_listing() {
    let mut register = Register::default();
    register.list(at(1_000), instance("w"));
    let entry = register.get(&"w".parse().unwrap()).unwrap();
    assert_eq!(entry.cold(at(2_000)), Duration::from_millis(2_000));
    assert_eq!(entry.cold(at(9_000)), Duration::ZERO);
}

#[test]
fn listing_an_instance_again_unchanged_changes_nothing() {
    let mut register = Register::default();
    assert!(register.list(at(0), instance("w")));
    assert!(!register.list(at(500), instance("w")));
}
