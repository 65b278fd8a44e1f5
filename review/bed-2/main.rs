//! The cases of the second review that are scripts: `bed CASE FOLDER`.
//!
//! A case exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run. With `TROUBLE=0` in
//! the environment, it does the same without the disruption.

mod case_ahead;
mod case_crash;
mod case_keys;
mod case_long;
mod case_part;
mod client;
mod gateway;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// The longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// It could not run.
    Unclear,
}

/// What a case is given.
pub struct Setting {
    pub record: Arc<Record>,
    /// A folder for settings and logs of processes, which is removed at the end.
    pub scratch: PathBuf,
    /// Whether the disruption comes.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("bed CASE FOLDER");
        std::process::exit(2);
    };
    match case.as_str() {
        "stream-worker" => case_crash::serve(folder),
        "part-worker" => case_part::serve(folder),
        _ => {}
    }
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        // The gateways end with this process.
        std::process::exit(2);
    });
    let scratch = std::env::temp_dir().join(format!("cyclamen-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let setting = Setting {
        record: Arc::new(Record::create(Path::new(folder))),
        scratch: scratch.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "ahead" => case_ahead::run(&setting),
        "crash" => case_crash::run(&setting),
        "keys" => case_keys::run(&setting),
        "long" => case_long::run(&setting),
        "part" => case_part::run(&setting),
        _ => Verdict::Unclear,
    };
    setting
        .record
        .line(format!("trouble={} verdict: {verdict:?}", setting.trouble));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::Unclear => 2,
    });
}
