//! Runs `cyclamenpath check` on settings files.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// Returns whether `cyclamenpath check` accepts the settings, and its standard error; `options`
/// precede `--settings`.
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

/// Defines one test for each invalid setting: the key to change, its value, and the text that the
/// error must contain.
#[macro_export]
macro_rules! invalid_settings {
    ($($name:ident: $key:expr, $value:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut settings = settings();
            settings[$key] = $value;
            let (valid, stderr) = check(stringify!($name), &settings);
            assert!(!valid);
            assert!(stderr.contains($expected), "{stderr}");
            assert!(!stderr.contains("sixteen"), "the error discloses a secret");
        }
    )*};
}
