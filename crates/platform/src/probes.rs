//! Probes of hosts, bounded in time and number.

use crate::word::{Told, Word};
use pondarch_controller::HostId;
use pondarch_io_util::get;
use pondarch_platform_protocol::load;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Under way at one time; one more counts as unanswered, and the module asks again.
const PROBES_MOST: usize = 16;
const TIME_LIMIT: Duration = Duration::from_millis(1_000);
/// Bytes of an answer: a load report is a line.
const ANSWER_MOST: usize = 4 * 1024;

pub(crate) struct Probes {
    say: mpsc::Sender<Told>,
    under_way: JoinSet<()>,
}

impl Probes {
    pub(crate) fn new(say: mpsc::Sender<Told>) -> Probes {
        Probes {
            say,
            under_way: JoinSet::new(),
        }
    }

    pub(crate) fn ask(&mut self, host: HostId, at: SocketAddr) {
        while self.under_way.try_join_next().is_some() {}
        let room = self.under_way.len() < PROBES_MOST;
        let say = self.say.clone();
        self.under_way.spawn(async move {
            let asked = async {
                if room {
                    get(at, "/stats", ANSWER_MOST).await
                } else {
                    None
                }
            };
            let answer = timeout(TIME_LIMIT, asked).await.ok().flatten();
            let load = answer
                .as_ref()
                .and_then(|answer| load::read_body(&answer.body));
            // If the program is gone, nobody needs to know.
            say.send((
                0,
                Word::Probed {
                    host,
                    good: answer.is_some(),
                    load,
                },
            ))
            .await
            .ok();
        });
    }
}
