//! API keys of the routes table.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use cyclamen_tables::Routes;
use serde_json::{Value, json};

macro_rules! unknown {
    ($($name:ident: $teams:expr;)*) => {
        $(
            /// Guards against callers that are admitted once no team holds a key.
            #[test]
            fn $name() {
                let teams: Value = $teams;
                let table = json!({"routes": [], "teams": teams});
                let routes: Routes = serde_json::from_value(table).unwrap();
                for key in ["", "dropped", "never-configured"] {
                    assert_eq!(routes.team_of_key(key), None, "{key}");
                }
            }
        )*
    };
}

unknown! {
    no_key_is_known_without_teams: json!([]);
    no_key_is_known_once_a_team_holds_none: json!([{"name": "herders", "keys": []}]);
}
