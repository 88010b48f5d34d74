//! Signatures of messages between a server and its secondaries (TSIG, RFC 8945).

use hickory_proto::op::Message;
use hickory_proto::rr::rdata::tsig::{TSIG, TsigAlgorithm, TsigError, make_tsig_record};
use hickory_proto::rr::{Name, TSigResponseContext, TSigner};
use thiserror::Error;

/// How far the two clocks may be apart, in seconds (RFC 8945, section 10, recommends 300).
const FUDGE_S: u16 = 300;
/// A key is at least as long as what it makes (RFC 8945, section 8).
const KEY_LEAST: usize = 32;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum KeyError {
    #[error("'{0}' is no name for a key")]
    Name(String),
    #[error("a secret has {KEY_LEAST} bytes at least; this one has {0}")]
    Short(usize),
    #[error("the key cannot be used: {0}")]
    Unfit(String),
}

/// A key by HMAC-SHA256, known to both sides by its name.
#[derive(Clone)]
pub struct Key(TSigner);

/// Who signed a message.
pub(crate) enum Signed {
    /// Nobody.
    Not,
    /// The holder of the key at this place; its signature, which the answer's is made over.
    By(usize, Vec<u8>),
    /// A key that is not known, a signature that does not fit, or a time too far off: what to answer.
    Wrong(Box<TSigResponseContext>),
}

impl Key {
    /// Errors: a name that is none, a secret that is too short.
    pub fn new(name: &str, secret: Vec<u8>) -> Result<Key, KeyError> {
        if secret.len() < KEY_LEAST {
            return Err(KeyError::Short(secret.len()));
        }
        let named = Name::from_ascii(name).map_err(|_| KeyError::Name(name.into()))?;
        let signer = TSigner::new(secret, TsigAlgorithm::HmacSha256, named, FUDGE_S);
        signer
            .map(Key)
            .map_err(|wrong| KeyError::Unfit(wrong.to_string()))
    }

    pub(crate) fn signer(&self) -> &TSigner {
        &self.0
    }

    /// The signature of an answer to what was signed like this, if it fits; none if not.
    pub(crate) fn fits(&self, packet: &[u8], over: &[u8], now_s: u64) -> bool {
        let checked = self.0.verify_message_byte(packet, Some(over), true);
        checked.is_ok_and(|(_, _, range)| range.contains(&now_s))
    }
}

/// Checks a query's signature against all keys.
pub(crate) fn check(keys: &[Key], packet: &[u8], message: &Message, now_s: u64) -> Signed {
    let Some(record) = &message.signature else {
        return Signed::Not;
    };
    let id = message.metadata.id;
    let place = keys
        .iter()
        .position(|key| key.0.signer_name() == &record.name);
    let Some((n, key)) = place.map(|n| (n, &keys[n].0)) else {
        let context = TSigResponseContext::unknown_key(id, now_s, record.name.clone());
        return Signed::Wrong(Box::new(context));
    };
    match key.verify_message_byte(packet, None, true) {
        Err(_) => Signed::Wrong(Box::new(TSigResponseContext::bad_signature(
            id,
            now_s,
            key.clone(),
        ))),
        Ok((mac, _, range)) if range.contains(&now_s) => Signed::By(n, mac),
        Ok((mac, ..)) => {
            let late = Some(TsigError::BadTime);
            Signed::Wrong(Box::new(TSigResponseContext::new(
                id,
                now_s,
                key.clone(),
                mac,
                late,
            )))
        }
    }
}

/// Signs one message after the other, each over the one before (RFC 8945, section 5.3.1).
pub(crate) struct Chain {
    signer: TSigner,
    before: Vec<u8>,
    first: bool,
    now_s: u64,
}

impl Chain {
    /// Answers to a query with this signature.
    pub(crate) fn new(key: &Key, query: Vec<u8>, now_s: u64) -> Chain {
        Chain {
            signer: key.0.clone(),
            before: query,
            first: true,
            now_s,
        }
    }

    /// The message as bytes with its signature; none if it cannot be written.
    pub(crate) fn sign(&mut self, mut message: Message) -> Option<Vec<u8>> {
        let (id, bytes) = (message.metadata.id, message.to_vec().ok()?);
        let record = if self.first {
            let before = std::mem::take(&mut self.before);
            TSigResponseContext::new(id, self.now_s, self.signer.clone(), before, None)
                .sign(&bytes)
                .ok()?
        } else {
            // From the second on, of the variables only the times are signed.
            let mut over = Vec::with_capacity(bytes.len() + self.before.len() + 10);
            over.extend((self.before.len() as u16).to_be_bytes());
            over.extend(&self.before);
            over.extend(&bytes);
            over.extend(&self.now_s.to_be_bytes()[2..]);
            over.extend(FUDGE_S.to_be_bytes());
            let mac = self.signer.sign(&over).ok()?;
            let algorithm = self.signer.algorithm().clone();
            let tsig = TSIG::new(algorithm, self.now_s, FUDGE_S, mac, id, None, Vec::new());
            Box::new(make_tsig_record(self.signer.signer_name().clone(), tsig))
        };
        (self.before, self.first) = (record.data.mac.clone(), false);
        message.set_signature(record);
        message.to_vec().ok()
    }
}
