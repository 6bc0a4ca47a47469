//! The platform's readiness probes.

use std::net::SocketAddr;
use std::time::Duration;

use lentilway_stand_ins::http::{HttpClient, exchange, http_client};
use lentilway_stand_ins::platform::READY_PATH;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The platform stops routing to a daemon after two failed probes, a second apart.
const READY_INTERVAL: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes readiness as the platform does.
pub(super) async fn watch_ready(
    address: SocketAddr,
    ready: watch::Sender<bool>,
    end: watch::Receiver<bool>,
) {
    let client = http_client();
    let mut misses = 0;
    while !*end.borrow() {
        let is_ready = timeout(READY_TIMEOUT, check_ready(&client, address)).await.unwrap_or(false);
        misses = if is_ready { 0 } else { misses + 1 };
        ready.send_replace(misses < 2 && (is_ready || *ready.borrow()));
        sleep(READY_INTERVAL).await;
    }
}

async fn check_ready(client: &HttpClient, address: SocketAddr) -> bool {
    let uri = format!("http://{address}{READY_PATH}");
    let request = hyper::Request::get(uri).body(Default::default());
    let answer = exchange(client, request.expect("the address is a valid URI")).await;
    answer.is_ok_and(|(status, ..)| status.is_success())
}
