//! Generates callers' keys and verifies them against their published salted hashes.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config::config_object;

const KEY_BYTES: usize = 24;
const SALT_BYTES: usize = 16;

/// A newly generated key and the object that verifies it.
#[derive(Debug)]
pub struct KeySecret {
    /// The key itself. It is shown to the operator once and not stored.
    pub text: String,
    /// The object to publish, which holds the salted hash of the key.
    pub object: config_object::KeyObject,
}

impl KeySecret {
    /// Generates a random key for `account`.
    pub fn generate(name: &str, account: &str) -> Self {
        let text = format!("qd_{}", to_hex(&rand::random::<[u8; KEY_BYTES]>()));
        let salt = to_hex(&rand::random::<[u8; SALT_BYTES]>());
        let hash = salted_hash(&salt, &text);
        let object = config_object::KeyObject {
            name: name.to_owned(),
            account: account.to_owned(),
            salt,
            hash,
        };
        Self { text, object }
    }
}

/// Returns whether `text` is the key of `object`. The hashes are compared in constant time.
pub fn matches(object: &config_object::KeyObject, text: &str) -> bool {
    let hash = salted_hash(&object.salt, text);
    hash.as_bytes().ct_eq(object.hash.to_ascii_lowercase().as_bytes()).into()
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Computes the HMAC-SHA-256 of `message`, in hexadecimal.
pub fn keyed_hash(secret: &[u8], message: &[u8]) -> String {
    to_hex(&keyed_mac(secret, message))
}

/// Computes the HMAC-SHA-256 of `message`.
pub fn keyed_mac(secret: &[u8], message: &[u8]) -> Vec<u8> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else {
        unreachable!("an HMAC key may have any length")
    };
    mac.update(message);
    mac.finalize().into_bytes().to_vec()
}

fn salted_hash(salt: &str, text: &str) -> String {
    keyed_hash(salt.as_bytes(), text.as_bytes())
}
