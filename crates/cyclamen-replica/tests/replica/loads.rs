//! Tests of the number of fabric domains that share the weight store.

use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Status;
use cyclamen_replica::loading_domains;
use cyclamen_types::instance;

use crate::simulation::engine;

/// Returns workers of a domain, the first `empty` of which hold no weights.
fn workers(domain: &'static str, count: usize, empty: usize) -> impl Iterator<Item = Instance> {
    (0..count).map(move |n| Instance {
        id: format!("{domain}-{n}").parse().unwrap(),
        incarnation: instance::Incarnation(1),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        domain: Some(domain.parse().unwrap()),
        slots: 26,
        status: Status::Ready,
        cold: Duration::ZERO,
        staged: if n < empty {
            Vec::new()
        } else {
            vec!["small".parse().unwrap()]
        },
        model: None,
        membership: None,
    })
}

macro_rules! loading {
    ($($name:ident: $domains:expr => $count:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let domains: &[(&'static str, usize, usize)] = &$domains;
                let instances = domains.iter().flat_map(|(d, count, empty)| workers(d, *count, *empty));
                let instances: Vec<_> = instances.collect();
                assert_eq!(loading_domains(&engine(), &instances), $count);
            }
        )*
    };
}

// The smallest model of the engine has groups of two.
loading! {
    domains_whose_workers_all_hold_weights_load_none: [("d0", 8, 0), ("d1", 8, 0)] => 0;
    domains_with_empty_workers_load: [("d0", 8, 1), ("d1", 8, 8), ("d2", 8, 0)] => 2;
    domains_too_small_for_any_group_load_none: [("d0", 1, 1), ("d1", 2, 2)] => 1;
}
