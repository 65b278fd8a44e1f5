//! Registration of instances on the platform's list.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_domain::Listing;
use cyclamen_http::Client;
use cyclamen_platform::instances::List;
use smol::Timer;

const REGISTRATION_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Registers the current listings with the platform at a fixed interval, forever.
pub async fn run(platform: SocketAddr, listings: impl Fn() -> Vec<Listing>) {
    let http = Client::new(cyclamen_http::Options::default());
    let url = format!("http://{platform}/admin/instances");
    loop {
        let list = List {
            instances: listings(),
        };
        let request = cyclamen_http::Request {
            method: trillium::Method::Post,
            url: &url,
            body: serde_json::to_vec(&list).unwrap_or_default(),
            timeout: REQUEST_TIMEOUT,
            ..cyclamen_http::Request::default()
        };
        let _ = http.call(request).await;
        Timer::after(REGISTRATION_INTERVAL).await;
    }
}
