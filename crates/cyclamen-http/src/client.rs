//! HTTP client whose calls have a timeout.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::or;
use trillium_client::{Conn, EventStream, SseErrorKind};
use trillium_http::Method;

use crate::dialer::Dialer;
use crate::error::Error;
use crate::message::{Forward, Request, Response, StreamingResponse};
use crate::request_line;
use crate::transport::Form;

/// Maximum size of a response body that is read into memory, in bytes.
const MAX_RESPONSE_BODY_BYTES: u64 = 8 << 20;

/// Options of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// An HTTP client.
///
/// Kept connections may go silent without closing, most often all at once. A call over a kept
/// connection that times out therefore discards all that are idle.
#[derive(Debug, Clone)]
pub struct Client {
    /// The client with the current pool of kept connections.
    pooled: Arc<Mutex<Pooled>>,
    unpooled: trillium_client::Client,
    /// The client for the requests of callers, on whose connections targets are encoded.
    forwarding: trillium_client::Client,
    dialer: Dialer,
}

/// A client with a pool of kept connections.
#[derive(Debug, Clone)]
struct Pooled {
    client: trillium_client::Client,
    /// The number of pools discarded before this one.
    generation: u64,
}

impl Client {
    /// Creates a client with its own connection pool.
    pub fn new(options: Options) -> Self {
        let timeout = options.connect_timeout;
        let dialer = Dialer::new(timeout, Form::Plain);
        let client = trillium_client::Client::new(dialer);
        let forwarding = trillium_client::Client::new(Dialer::new(timeout, Form::Encoded));
        Self {
            forwarding: forwarding.without_keepalive(),
            unpooled: client.clone().without_keepalive(),
            pooled: Arc::new(Mutex::new(Pooled {
                client,
                generation: 0,
            })),
            dialer,
        }
    }

    fn pooled(&self) -> MutexGuard<'_, Pooled> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the pool of this generation, unless another call has done so.
    fn discard_pool(&self, generation: u64) {
        let mut pooled = self.pooled();
        if pooled.generation == generation {
            pooled.client = trillium_client::Client::new(self.dialer);
            pooled.generation += 1;
        }
    }

    /// Makes an idempotent call over a pooled connection if one is idle.
    pub async fn call(&self, request: Request<'_>) -> Result<Response, Error> {
        let Pooled { client, generation } = self.pooled().clone();
        let result = send(&client, request).await;
        if matches!(result, Err(Error::TimedOut)) {
            self.discard_pool(generation);
        }
        result
    }

    /// Makes a call over a new connection that is not reused.
    pub async fn call_unpooled(&self, request: Request<'_>) -> Result<Response, Error> {
        send(&self.unpooled, request).await
    }

    /// Posts JSON over a pooled connection if one is idle, and decodes the response from JSON.
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
        require_success(self.call(request).await?)?.json()
    }

    /// Gets JSON over a pooled connection if one is idle.
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
        require_success(self.call(request).await?)?.json()
    }

    /// Sends a caller's request on and returns the complete response.
    pub async fn forward(&self, request: Forward<'_>) -> Result<Response, Error> {
        let timeout = request.timeout;
        complete(self.build_forwarding_conn(request), timeout).await
    }

    /// Sends a caller's request on and returns as soon as the response head is received.
    pub async fn forward_streaming(
        &self,
        request: Forward<'_>,
    ) -> Result<StreamingResponse, Error> {
        let timeout = request.timeout;
        let mut conn = self.build_forwarding_conn(request);
        with_timeout(timeout, async {
            (&mut conn).await?;
            Ok(())
        })
        .await?;
        let status = final_status(&conn)?;
        let headers = conn.response_headers().clone();
        let body = conn.take_response_body().ok_or(Error::Closed)?;
        Ok(StreamingResponse {
            status,
            headers,
            body: body.with_max_len(u64::MAX),
        })
    }

    fn build_forwarding_conn(&self, request: Forward<'_>) -> Conn {
        let path = request_line::encode(request.target);
        let url = format!("http://{}{path}", request.address);
        let mut conn = self.forwarding.build_conn(request.method, url.as_str());
        conn.request_headers_mut().append_all(request.headers);
        if request.body.is_empty() {
            conn
        } else {
            conn.with_body(request.body)
        }
    }

    /// Opens a stream of server-sent events over a new connection.
    ///
    /// A response that is not an event stream is read completely and returned as
    /// the inner `Err`.
    pub async fn open_event_stream(
        &self,
        request: Request<'_>,
    ) -> Result<Result<EventStream, Response>, Error> {
        let timeout = request.timeout;
        let conn = build_conn(&self.unpooled, request);
        with_timeout(timeout, async {
            let error = match conn.into_sse().await {
                Ok(stream) => return Ok(Ok(stream)),
                Err(error) => error,
            };
            match error.kind {
                SseErrorKind::Http(error) => Err(error.into()),
                _ => read_response(error.into()).await.map(Err),
            }
        })
        .await
    }
}

fn require_success(response: Response) -> Result<Response, Error> {
    if response.is_success() {
        Ok(response)
    } else {
        Err(Error::Malformed)
    }
}

async fn send(client: &trillium_client::Client, request: Request<'_>) -> Result<Response, Error> {
    let timeout = request.timeout;
    complete(build_conn(client, request), timeout).await
}

/// Runs a call and reads the response completely.
async fn complete(mut conn: Conn, timeout: Duration) -> Result<Response, Error> {
    with_timeout(timeout, async {
        (&mut conn).await?;
        read_response(conn).await
    })
    .await
}

fn build_conn(client: &trillium_client::Client, request: Request<'_>) -> Conn {
    let mut conn = client.build_conn(request.method, request.url);
    conn.request_headers_mut().append_all(request.headers);
    if request.body.is_empty() {
        conn
    } else {
        conn.with_body(request.body)
    }
}

/// Returns the status of a response; fails if it is none of a final one, such as 101, which the HTTP
/// library takes for the end of HTTP on the connection.
fn final_status(conn: &Conn) -> Result<u16, Error> {
    let status = conn.status().map(|status| status as u16);
    status
        .filter(|status| *status >= 200)
        .ok_or(Error::Malformed)
}

async fn read_response(mut conn: Conn) -> Result<Response, Error> {
    let status = final_status(&conn)?;
    let headers = conn.response_headers().clone();
    let body = conn
        .response_body()
        .with_max_len(MAX_RESPONSE_BODY_BYTES)
        .read_bytes()
        .await?;
    conn.recycle().await;
    Ok(Response {
        status,
        headers,
        body,
    })
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(Error::TimedOut)
    };
    or(call, timed_out).await
}
