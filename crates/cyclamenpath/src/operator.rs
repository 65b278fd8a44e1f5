//! Calls to the operator listener of an entry instance.

use std::time::Duration;

use cyclamen_http::{Client, Request};
use eyre::{WrapErr, bail};
use serde_json::Value;
use trillium::{Headers, Method};

use crate::options::Target;

/// Timeout of one try.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum tries of a call that gets no response or a 503. Retries are safe because every call here
/// is idempotent.
const MAX_TRIES: u32 = 3;

/// Reads a resource.
pub(crate) fn get(target: &Target, path: &str) -> eyre::Result<Value> {
    call(target, Method::Get, path, Vec::new())
}

/// Posts to a resource.
pub(crate) fn post(target: &Target, path: &str, body: &Value) -> eyre::Result<Value> {
    call(target, Method::Post, path, body.to_string().into_bytes())
}

fn call(target: &Target, method: Method, path: &str, body: Vec<u8>) -> eyre::Result<Value> {
    let token = std::fs::read_to_string(&target.token_file).wrap_err("token_file")?;
    let http = Client::new(cyclamen_http::Options::default());
    let url = format!("http://{}{path}", target.entry);
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let mut headers = Headers::new();
        headers.insert("authorization", format!("Bearer {}", token.trim()));
        let request = Request {
            method,
            url: &url,
            headers,
            body: body.clone(),
            timeout: TIMEOUT,
        };
        match smol::block_on(http.call_unpooled(request)) {
            Ok(response) if response.is_success() => return Ok(response.json()?),
            Ok(response) if response.status == 401 => {
                bail!("the entry rejected the operator token")
            }
            Ok(response) if response.status != 503 => {
                bail!(
                    "{}: {}",
                    response.status,
                    String::from_utf8_lossy(&response.body)
                )
            }
            Ok(response) => last_error = Some(String::from_utf8_lossy(&response.body).into_owned()),
            Err(error) => last_error = Some(error.to_string()),
        }
    }
    bail!(
        "no response; the call may have taken effect: {}",
        last_error.unwrap_or_default()
    )
}

/// Pretty-prints JSON to standard output.
pub(crate) fn print(value: &Value) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
