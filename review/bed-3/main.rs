//! Stand-ins for the platform's store, workers and clients, and the cases of the third review.
//!
//! `bed CASE FOLDER` starts gateways as separate processes, runs the case and writes `record.txt`
//! into the folder. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod crowd;
mod gateway;
mod http;
mod json;
mod record;
mod requests;
mod rollback;
mod store;
mod worker;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: bed CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "routes" => requests::run(folder, trouble),
        "crowd" => crowd::run(folder, trouble),
        "rollback" => rollback::run(folder, trouble),
        other => Err(format!("no case {other}")),
    };
    match result {
        Ok(true) => std::process::exit(1),
        Ok(false) => std::process::exit(0),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
