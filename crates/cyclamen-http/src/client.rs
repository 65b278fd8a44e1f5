//! Calls with a bounded time.

use std::future::Future;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::or;
use trillium_client::{Conn, EventStream, ResponseBody, SseErrorKind};
use trillium_http::{Headers, Method};

use crate::dialer::Dialer;
use crate::error::Error;

/// The largest answer that is read into memory, in bytes.
const REPLY_LIMIT: u64 = 8 << 20;

/// Durations of calls.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time to make a connection.
    pub connect_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// A request to one address.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// The whole URL.
    pub url: &'a str,
    /// Headers besides those of the connection.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// The time for the whole answer, or for its head if the answer is a stream.
    pub timeout: Duration,
}

impl Default for Request<'_> {
    fn default() -> Self {
        Self {
            method: Method::Get,
            url: "",
            headers: Headers::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(2),
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body decoded from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| Error::Malformed)
    }
}

/// An answer whose body is still to be read, over a connection of its own.
///
/// Dropping it closes the connection, which tells the peer to stop.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body; a read fails if the connection ends before the body is whole.
    pub body: ResponseBody<'static>,
}

/// Makes HTTP calls.
#[derive(Debug, Clone)]
pub struct Client {
    reusing: trillium_client::Client,
    single: trillium_client::Client,
}

impl Client {
    /// A caller with its own pool of connections.
    pub fn new(options: Options) -> Self {
        let client = trillium_client::Client::new(Dialer::new(options.connect_timeout));
        Self {
            single: client.clone().without_keepalive(),
            reusing: client,
        }
    }

    /// Makes an idempotent call, over a connection used before if there is one.
    pub async fn call(&self, request: Request<'_>) -> Result<Response, Error> {
        exchange(&self.reusing, request).await
    }

    /// Makes a call over a connection of its own.
    pub async fn call_unpooled(&self, request: Request<'_>) -> Result<Response, Error> {
        exchange(&self.single, request).await
    }

    /// Posts JSON over a connection used before if there is one, and reads JSON.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let request = Request {
            method: Method::Post,
            url,
            body: serde_json::to_vec(body).map_err(|_| Error::Malformed)?,
            timeout,
            ..Request::default()
        };
        success(self.call(request).await?)?.json()
    }

    /// Reads JSON over a connection used before if there is one.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let request = Request {
            url,
            timeout,
            ..Request::default()
        };
        success(self.call(request).await?)?.json()
    }

    /// Makes a call over a connection of its own, and gives its answer once the head is there.
    pub async fn call_streaming(&self, request: Request<'_>) -> Result<StreamingResponse, Error> {
        let timeout = request.timeout;
        let mut conn = build(&self.single, request);
        within(timeout, async {
            (&mut conn).await?;
            Ok(())
        })
        .await?;
        let status = conn.status().ok_or(Error::Malformed)?;
        let headers = conn.response_headers().clone();
        let body = conn.take_response_body().ok_or(Error::Closed)?;
        Ok(StreamingResponse {
            status: status as u16,
            headers,
            body: body.with_max_len(u64::MAX),
        })
    }

    /// Opens a stream of events over a connection of its own.
    ///
    /// An answer that is not a stream of events is read whole instead.
    pub async fn open_event_stream(
        &self,
        request: Request<'_>,
    ) -> Result<Result<EventStream, Response>, Error> {
        let timeout = request.timeout;
        let conn = build(&self.single, request);
        within(timeout, async {
            let refused = match conn.into_sse().await {
                Ok(stream) => return Ok(Ok(stream)),
                Err(refused) => refused,
            };
            match refused.kind {
                SseErrorKind::Http(error) => Err(error.into()),
                _ => read(refused.into()).await.map(Err),
            }
        })
        .await
    }
}

fn success(reply: Response) -> Result<Response, Error> {
    if reply.is_success() {
        Ok(reply)
    } else {
        Err(Error::Malformed)
    }
}

async fn exchange(
    client: &trillium_client::Client,
    request: Request<'_>,
) -> Result<Response, Error> {
    let timeout = request.timeout;
    let mut conn = build(client, request);
    within(timeout, async {
        (&mut conn).await?;
        read(conn).await
    })
    .await
}

fn build(client: &trillium_client::Client, request: Request<'_>) -> Conn {
    let mut conn = client.build_conn(request.method, request.url);
    conn.request_headers_mut().append_all(request.headers);
    if request.body.is_empty() {
        conn
    } else {
        conn.with_body(request.body)
    }
}

async fn read(mut conn: Conn) -> Result<Response, Error> {
    let status = conn.status().ok_or(Error::Malformed)?;
    let headers = conn.response_headers().clone();
    let body = conn
        .response_body()
        .with_max_len(REPLY_LIMIT)
        .read_bytes()
        .await?;
    conn.recycle().await;
    Ok(Response {
        status: status as u16,
        headers,
        body,
    })
}

async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = async {
        Timer::after(timeout).await;
        Err(Error::TimedOut)
    };
    or(call, late).await
}
