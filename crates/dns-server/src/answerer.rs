//! Turns the packet of a query into a reply.

mod lookup;
mod targets;

use crate::reply::{Reply, Transport};
use crate::request::Request;
use crate::response::{ResponseDraft, empty_reply, format_error, signature_error};
use crate::transfer::{ApexRecords, ZoneTransfers};
use crate::tsig::{ResponseSigner, Verification, verify};
use crate::view::View;
use crate::zone::Zone;
use hickory_proto::op::{Message, MessageType, Metadata, ResponseCode};
use hickory_proto::rr::RecordType;
use pondarch_controller::{DurationExt, Time};
use pondarch_dns_core::{RateLimitAction, RateLimiter, SecondaryEvent};
use std::net::IpAddr;

/// Answers queries from a view of the tables.
pub struct Answerer {
    zone: Zone,
    rate_limiter: RateLimiter,
    transfers: ZoneTransfers,
    rng: fastrand::Rng,
}

impl Answerer {
    /// `seed` is that of the random numbers for samples and message ids.
    #[must_use]
    pub fn new(
        zone: Zone,
        rate_limiter: RateLimiter,
        transfers: ZoneTransfers,
        seed: u64,
    ) -> Answerer {
        Answerer {
            zone,
            rate_limiter,
            transfers,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The zone transfers to secondaries. The caller sets their zone whenever the view changes.
    pub fn transfers(&mut self) -> &mut ZoneTransfers {
        &mut self.transfers
    }

    /// The notification to a secondary that the zone has changed; `None` if there is no such secondary.
    pub fn notification(&mut self, now: Time, secondary: u16) -> Option<Vec<u8>> {
        let id = self.rng.u16(..);
        let soa = self.soa(self.transfers.serial())?;
        self.transfers
            .notification(&self.zone, soa, secondary, id, unix_seconds(now))
    }

    /// The zone that this server is authoritative for.
    #[must_use]
    pub fn zone(&self) -> &Zone {
        &self.zone
    }

    /// The reply to one packet. A malformed query gets FORMERR. A response is dropped, and may be an acknowledgement of
    /// a notification.
    #[must_use]
    pub fn answer(
        &mut self,
        now: Time,
        client: IpAddr,
        transport: Transport,
        packet: &[u8],
        view: &View,
    ) -> Reply {
        let message = match Message::from_vec(packet) {
            Ok(message) if message.metadata.message_type == MessageType::Query => message,
            Ok(message) => return self.on_response(now, packet, &message),
            Err(_) => return format_error(packet),
        };
        let rate_limit = match transport {
            Transport::Udp => self.rate_limiter.on_query(now, client),
            Transport::Tcp => RateLimitAction::Answer,
        };
        let mut metadata = Metadata::response_from_request(&message.metadata);
        let [query] = message.queries.as_slice() else {
            metadata.response_code = ResponseCode::FormErr;
            return empty_reply(metadata, None, None);
        };
        let request = Request {
            packet,
            message: &message,
            query,
            client,
            transport,
            now_s: unix_seconds(now),
        };
        match rate_limit {
            RateLimitAction::Drop => Reply::default(),
            RateLimitAction::Truncate => {
                metadata.truncation = true;
                empty_reply(metadata, Some(query), request.response_edns())
            }
            RateLimitAction::Answer => self.answer_request(&request, metadata, view),
        }
    }

    /// Records the acknowledgement of a notification; any other response is dropped.
    fn on_response(&mut self, now: Time, packet: &[u8], message: &Message) -> Reply {
        let secondary = self
            .transfers
            .acknowledged_by(packet, message, unix_seconds(now));
        Reply {
            secondary_events: secondary
                .map(|secondary| (secondary, SecondaryEvent::Acknowledged))
                .into_iter()
                .collect(),
            ..Reply::default()
        }
    }

    fn answer_request(
        &mut self,
        request: &Request<'_>,
        mut metadata: Metadata,
        view: &View,
    ) -> Reply {
        if let Some(code) = request.unsupported() {
            metadata.response_code = code;
            let edns = request.response_edns().map(|mut edns| {
                edns.set_rcode_high(code.high());
                edns
            });
            return empty_reply(metadata, Some(request.query), edns);
        }
        if matches!(
            request.query.query_type,
            RecordType::AXFR | RecordType::IXFR
        ) {
            return self.answer_transfer(request);
        }
        let keys = self.transfers.keys();
        let signer = match verify(keys, request.packet, request.message, request.now_s) {
            Verification::Unsigned => None,
            Verification::Signed { key, mac } => {
                Some(ResponseSigner::new(&keys[key], mac, request.now_s))
            }
            Verification::Failed(context) => {
                return signature_error(metadata, request.query, *context);
            }
        };
        let draft = ResponseDraft {
            metadata,
            query: request.query,
            edns: request.response_edns(),
            max_size: request.max_response_size(signer.is_some()),
            lifetime_s: self.zone.lifetime.hosts_s,
        };
        let mut reply = self.look_up(draft, request.client_address(), view);
        if let Some(mut signer) = signer {
            let sign = |bytes: Vec<u8>| signer.sign(Message::from_vec(&bytes).ok()?);
            reply.packets = reply.packets.into_iter().filter_map(sign).collect();
        }
        reply
    }

    fn answer_transfer(&self, request: &Request<'_>) -> Reply {
        let Some(soa) = self.soa(self.transfers.serial()) else {
            return Reply::default();
        };
        let apex = ApexRecords {
            soa,
            name_server: self.name_server(),
        };
        self.transfers.answer(&self.zone, apex, request)
    }
}

/// Seconds since 1970, the time format of signatures.
fn unix_seconds(now: Time) -> u64 {
    (now - Time::default()).micros() / 1_000_000
}
