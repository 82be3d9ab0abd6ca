//! The operator: sends configurations, again until they are acknowledged, and reads the newest one back.

use crate::agents::Network;
use crate::http_call::call;
use crate::recorder::Recorder;
use crate::{rng, SeededRng};
use rand::Rng;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{sleep, timeout};

const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(100);
/// The operator gives a configuration up after this; it may be in force or not.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// For so long the newest configuration is asked for.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
/// Redirections that are followed.
const MAX_REDIRECTS: usize = 2;

/// The operator of a run.
pub(crate) struct Operator {
    network: Network,
    controllers: usize,
    recorder: Recorder,
    newest: AtomicU64,
    seed: u64,
}

/// Returns the text of a configuration with so many routes that no client uses; what it says differs by its version.
fn config_text(version: u64, unused_routes: usize) -> String {
    let once = if version.is_multiple_of(2) {
        "firing"
    } else {
        "calendar"
    };
    let idle_s = 10 + version % 5;
    let unused = |number| {
        format!(
            r#",
{{"name":"unused-{number}","sort":"safe","target":"600ms","sorting":{{"lane_prefix":"/unused/{number}/"}},"dispatch":{{"service":"calendar","give_up":"2500ms","tries":2}}}}"#
        )
    };
    let unused: String = (0..unused_routes).map(unused).collect();
    format!(
        r#"{{"edition":{version},"allowances":{{"header_bytes":16384,"body_bytes":1048576,"header":"3s","idle":"{idle_s}s"}},
"wickets":[{{"depot":"h","regulations":[
{{"name":"lookup","sort":"safe","target":"600ms","precedence":2,"sorting":{{"lane_prefix":"/safe/"}},"dispatch":{{"service":"calendar","give_up":"2500ms","tries":2}}}},
{{"name":"order","sort":"unsafe","target":"800ms","precedence":1,"sorting":{{"lane_prefix":"/once/"}},"dispatch":{{"service":"{once}","give_up":"2500ms","tries":2}}}}{unused}]}}],
"fleets":[{{"name":"calendar","health_path":"/health","conn_cap":1000}},{{"name":"firing","health_path":"/health","conn_cap":1000}}]}}"#
    )
}

impl Operator {
    pub(crate) fn new(
        network: Network,
        controllers: usize,
        recorder: Recorder,
        seed: u64,
    ) -> Operator {
        Operator {
            network,
            controllers,
            recorder,
            newest: AtomicU64::new(0),
            seed,
        }
    }

    fn draw_controller(&self, rng: &mut SeededRng) -> SocketAddrV4 {
        self.network.control(rng.gen_range(0..self.controllers))
    }

    /// Sends the next configuration, with so many routes that no client uses, until it is acknowledged. Returns whether it was.
    pub(crate) async fn change_config(&self, unused_routes: usize) -> bool {
        let version = self.newest.fetch_add(1, Ordering::Relaxed) + 1;
        let mut rng = rng(self.seed ^ version);
        let sent_at = self.recorder.now();
        self.recorder.lock().sent_configs.insert(version, sent_at);
        let text = config_text(version, unused_routes);
        let sending = async {
            while !self.send(&mut rng, &text).await {
                sleep(PAUSE).await;
            }
        };
        let is_acknowledged = timeout(SEND_TIMEOUT, sending).await.is_ok();
        if is_acknowledged {
            let now = self.recorder.now();
            self.recorder
                .lock()
                .acknowledged_configs
                .insert(version, now);
        }
        is_acknowledged
    }

    /// Sends a configuration once. Returns whether it was acknowledged.
    async fn send(&self, rng: &mut SeededRng, text: &str) -> bool {
        let mut address = self.draw_controller(rng);
        for _ in 0..=MAX_REDIRECTS {
            let path = "/v1/rpc?call=config.replace";
            let Some(answer) = call(address, "POST", path, text, CALL_TIMEOUT).await else {
                return false;
            };
            match answer.status() {
                200 => return true,
                307 => {}
                400..=428 => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let exit = format!("a valid configuration was refused: {text}");
                    self.recorder.lock().exits.push(exit);
                    return false;
                }
                _ => return false,
            }
            let location = answer.header("location").and_then(redirect_address);
            let Some(location) = location else {
                return false;
            };
            address = location;
        }
        false
    }

    /// Reads the newest configuration back, and records its version.
    pub(crate) async fn read_back(&self) {
        let mut rng = rng(self.seed);
        let reading = async {
            loop {
                if let Some(version) = self.read(&mut rng).await {
                    return version;
                }
                sleep(PAUSE).await;
            }
        };
        let version = timeout(READ_TIMEOUT, reading).await.ok();
        self.recorder.lock().read_back = version;
    }

    async fn read(&self, rng: &mut SeededRng) -> Option<u64> {
        let mut address = self.draw_controller(rng);
        for _ in 0..=MAX_REDIRECTS {
            let answer = call(
                address,
                "POST",
                "/v1/rpc?call=config.read",
                "",
                CALL_TIMEOUT,
            )
            .await?;
            if answer.status() == 200 {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                return jzon::parse(&text).ok()?["edition"].as_u64();
            }
            address = answer.header("location").and_then(redirect_address)?;
        }
        None
    }
}

/// Parses the address of a `Location`.
fn redirect_address(location: &str) -> Option<SocketAddrV4> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}
