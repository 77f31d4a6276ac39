//! Reports to a witness while a right is held. A witness is an outside observer of who acts under the right.

use super::Fleet;
use fennelscale_time::from_millis;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports periodically, checking the lease against the clock immediately before each write.
pub async fn report(fleet: Rc<Fleet>, right: String, witness: SocketAddr, every: f64) {
    let every = from_millis(every);
    let mut stream: Option<TcpStream> = None;
    loop {
        sleep(every).await;
        let Some(fence) = fleet.fence(&right) else { continue };
        if stream.is_none() {
            stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(witness)).await.ok().and_then(Result::ok);
        }
        let Some(connected) = &stream else { continue };
        let me = fleet.node.borrow().me().clone();
        let line = serde_json::json!({
            "right": right, "name": me.name, "incarnation": me.incarnation, "fence": fence.0,
        });
        let line = format!("{line}\n");
        // The final check; nothing may come between it and the write. If the process is suspended right here,
        // only a comparison of the fencing numbers detects the late write.
        if fleet.fence(&right) != Some(fence) {
            continue;
        }
        if connected.try_write(line.as_bytes()).is_err() {
            stream = None;
        }
    }
}
