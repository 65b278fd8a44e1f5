//! Calls to the operators' listener of an entry instance.

use std::time::Duration;

use cyclamen_http::{Client, Request};
use eyre::{WrapErr, bail};
use serde_json::Value;
use trillium::{Headers, Method};

use crate::options::Target;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of a call whose answer was lost; every call here can be repeated.
const TRIES: u32 = 3;

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
    let caller = Client::new(cyclamen_http::Options::default());
    let url = format!("http://{}{path}", target.entry);
    let mut last = None;
    for _ in 0..TRIES {
        let mut headers = Headers::new();
        headers.insert("authorization", format!("Bearer {}", token.trim()));
        let request = Request {
            method,
            url: &url,
            headers,
            body: body.clone(),
            timeout: TIMEOUT,
        };
        match smol::block_on(caller.call_unpooled(request)) {
            Ok(reply) if reply.is_success() => return Ok(reply.json()?),
            Ok(reply) if reply.status == 401 => bail!("the token is refused"),
            Ok(reply) if reply.status != 503 => {
                bail!("{}: {}", reply.status, String::from_utf8_lossy(&reply.body))
            }
            Ok(reply) => last = Some(String::from_utf8_lossy(&reply.body).into_owned()),
            Err(error) => last = Some(error.to_string()),
        }
    }
    bail!(
        "no answer; the call may have taken effect: {}",
        last.unwrap_or_default()
    )
}

/// Prints JSON for a person.
pub(crate) fn print(value: &Value) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
