//! Settings files that `cyclamenpath check` looks at.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// Whether a settings file is well, and what is said of it; `options` go before the file.
pub fn check(options: &[&str], name: &str, settings: &Value) -> (bool, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamenpath"))
        .arg("check")
        .args(options)
        .args(["--settings", file.to_str().unwrap()])
        .output()
        .unwrap();
    (
        output.status.success(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

/// Names a case for each fault: the key that is changed, its value, and what has to be said.
#[macro_export]
macro_rules! refused {
    ($($name:ident: $key:expr, $value:expr => $said:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut settings = settings();
            settings[$key] = $value;
            let (well, said) = check(stringify!($name), &settings);
            assert!(!well);
            assert!(said.contains($said), "{said}");
            assert!(!said.contains("sixteen"), "a secret is shown");
        }
    )*};
}
