//! Reads a caller's messages and passes them to the handlers of `pgwire`.
//!
//! The decoder of `pgwire` takes strings up to the next zero byte, wherever the message ends, so
//! the rest of a malformed message would be read as further messages. Here a message ends where its
//! length says, and one that is not used up by then is rejected.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::api::{ClientInfo, PgWireConnectionState, PgWireServerHandlers};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::{MESSAGE_TYPE_BYTE_QUERY, Query};
use pgwire::tokio::server::{
    MaybeTls, PgWireMessageServerCodec, negotiate_tls, process_error, process_message,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Framed};

/// Longest time from the connection to the end of the login.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of a message during the login, in bytes.
const LOGIN_MESSAGE_BYTES_MAX: usize = 10_000;
/// Maximum length of a message after the login, in bytes.
const MESSAGE_BYTES_MAX: usize = 0x3fff_fffe;
/// Bytes of the length field of a message, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Bytes requested from the socket at a time.
const READ_BYTES: usize = 8 * 1024;
/// Types of the messages after whose error all messages up to `Sync` are skipped.
const EXTENDED_QUERY_TYPES: &[u8] = b"PBCDEH";
/// Types of the messages that are handled while others are skipped: `Sync` and `Terminate`.
const UNSKIPPED_TYPES: &[u8] = b"SX";
/// SQLSTATE `protocol_violation`.
const STATE_PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE `character_not_in_repertoire`.
const STATE_INVALID_ENCODING: &str = "22021";

type CallerSocket<S> = Framed<MaybeTls, PgWireMessageServerCodec<S>>;

/// Serves a caller until its connection ends.
///
/// # Errors
///
/// Fails when the socket fails.
pub async fn serve<H: PgWireServerHandlers>(socket: TcpStream, handlers: H) -> io::Result<()> {
    let startup_handler = handlers.startup_handler();
    let query_handler = handlers.simple_query_handler();
    let extended_query_handler = handlers.extended_query_handler();
    let copy_handler = handlers.copy_handler();
    let cancel_handler = handlers.cancel_handler();
    let deadline = Instant::now() + LOGIN_TIMEOUT;
    let negotiated = tokio::time::timeout_at(deadline, negotiate_tls(socket, None)).await;
    let Ok(negotiated) = negotiated else { return Ok(()) };
    let Some(mut socket) = negotiated? else { return Ok(()) };
    loop {
        let login = is_login(socket.state());
        let read = if login {
            let read = tokio::time::timeout_at(deadline, read_message(&mut socket)).await;
            let Ok(read) = read else { return Ok(()) };
            read
        } else {
            read_message(&mut socket).await
        };
        let (message_type, message) = match read {
            Ok(Some(mut bytes)) => {
                let message_type = bytes[0];
                let skipping = matches!(socket.state(), PgWireConnectionState::AwaitingSync);
                if skipping && !UNSKIPPED_TYPES.contains(&message_type) {
                    continue;
                }
                (message_type, decode(&mut socket, &mut bytes))
            }
            Ok(None) => return Ok(()),
            Err(error) => return process_error(&mut socket, error, false).await,
        };
        if matches!(message, Ok(PgWireFrontendMessage::Terminate(_))) {
            return Ok(());
        }
        let cancel = matches!(message, Ok(PgWireFrontendMessage::CancelRequest(_)));
        let processed = match message {
            Ok(message) => {
                process_message(
                    message,
                    &mut socket,
                    startup_handler.clone(),
                    query_handler.clone(),
                    extended_query_handler.clone(),
                    copy_handler.clone(),
                    cancel_handler.clone(),
                )
                .await
            }
            Err(error) => Err(error),
        };
        let ended = cancel || (login && processed.is_err());
        if let Err(error) = processed {
            let fatal = error.is_fatal();
            let wait_for_sync = !login && EXTENDED_QUERY_TYPES.contains(&message_type);
            process_error(&mut socket, error, wait_for_sync).await?;
            if fatal {
                return Ok(());
            }
        }
        if ended {
            return Ok(());
        }
    }
}

/// Reads the next message, with its type, if it has one, and length. Returns `None` at the end of
/// the stream.
async fn read_message<S>(socket: &mut CallerSocket<S>) -> PgWireResult<Option<BytesMut>> {
    let type_bytes = match socket.codec().client_info.state() {
        PgWireConnectionState::AwaitingStartup => 0,
        _ => 1,
    };
    let login = is_login(socket.codec().client_info.state());
    let limit = if login { LOGIN_MESSAGE_BYTES_MAX } else { MESSAGE_BYTES_MAX };
    loop {
        let buffer = socket.read_buffer_mut();
        if let Some(field) = buffer.get(type_bytes..type_bytes + LENGTH_BYTES) {
            let length = field.iter().fold(0, |length, byte| length << 8 | usize::from(*byte));
            if !(LENGTH_BYTES..=limit).contains(&length) {
                let text = format!("a message cannot be {length} bytes long");
                return Err(protocol_error("FATAL", STATE_PROTOCOL_VIOLATION, text));
            }
            if buffer.len() >= type_bytes + length {
                return Ok(Some(buffer.split_to(type_bytes + length)));
            }
        }
        let mut buffer = std::mem::take(buffer);
        buffer.reserve(READ_BYTES);
        let read = socket.get_mut().read_buf(&mut buffer).await;
        *socket.read_buffer_mut() = buffer;
        if read? == 0 {
            return Ok(None);
        }
    }
}

/// Decodes one whole message.
fn decode<S>(
    socket: &mut CallerSocket<S>,
    bytes: &mut BytesMut,
) -> PgWireResult<PgWireFrontendMessage> {
    let login = is_login(socket.codec().client_info.state());
    if !login && bytes[0] == MESSAGE_TYPE_BYTE_QUERY {
        return decode_query(&bytes[1 + LENGTH_BYTES..]);
    }
    let message = socket.codec_mut().decode(bytes);
    match message {
        Ok(Some(message)) if bytes.is_empty() => Ok(message),
        Ok(_) | Err(_) => {
            let severity = if login { "FATAL" } else { "ERROR" };
            let text = "the message is malformed".to_owned();
            Err(protocol_error(severity, STATE_PROTOCOL_VIOLATION, text))
        }
    }
}

/// Decodes the body of a query: a text that ends with the only zero byte.
fn decode_query(body: &[u8]) -> PgWireResult<PgWireFrontendMessage> {
    let text = body.strip_suffix(b"\0").filter(|text| !text.contains(&0));
    let Some(text) = text else {
        let text = "a statement ends with its only zero byte".to_owned();
        return Err(protocol_error("ERROR", STATE_PROTOCOL_VIOLATION, text));
    };
    let text = std::str::from_utf8(text).map_err(|error| {
        protocol_error(
            "ERROR",
            STATE_INVALID_ENCODING,
            format!("the statement is not UTF-8: {error}"),
        )
    })?;
    Ok(PgWireFrontendMessage::Query(Query::new(text.to_owned())))
}

fn is_login(state: PgWireConnectionState) -> bool {
    matches!(
        state,
        PgWireConnectionState::AwaitingStartup | PgWireConnectionState::AuthenticationInProgress
    )
}

fn protocol_error(severity: &str, state: &str, text: String) -> PgWireError {
    let mut info = ErrorInfo::new(severity.to_owned(), state.to_owned(), text);
    info.detail = Some("verdict: not run".to_owned());
    PgWireError::UserError(Box::new(info))
}
