//! What goes into the proxy core and what comes out of it.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::endpoint_command;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_tuning;
use crate::proxy::session_request;
use crate::proxy::store_message;

/// How the platform answered the appointment of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionReply {
    /// It is under way or done.
    Accepted,
    /// The endpoint is not running.
    Rejected,
    /// Nothing is known.
    NoReply,
}

/// What happened outside the core.
#[derive(Debug)]
pub enum ProxyEvent {
    /// A caller names a database and presents its key.
    CallerOpened {
        /// The door's number.
        caller: core_message::CallerId,
        /// The database named.
        database: String,
        /// The key; only its digest is kept.
        key: String,
    },
    /// A caller asks for something.
    RequestReceived {
        /// The door's number.
        caller: core_message::CallerId,
        /// The caller's id for the request.
        id: String,
        /// What it asks for.
        request: session_request::SessionRequest,
    },
    /// A caller's connection ended.
    CallerClosed {
        /// The door's number.
        caller: core_message::CallerId,
    },
    /// A link is connected and its endpoint has answered the greeting.
    ConnectionOpened {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// The answer.
        answer: endpoint_command::EndpointResponse,
    },
    /// The last command on a link was answered.
    ResponseReceived {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// The answer.
        answer: endpoint_command::EndpointResponse,
    },
    /// A link could not be opened, or ended.
    ConnectionClosed {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// Whether the endpoint's machine turned the connection away.
        refused: bool,
    },
    /// The store answered.
    StoreReplied {
        /// The call.
        call: core_message::CallId,
        /// The answer.
        reply: store_message::StoreReply,
    },
    /// The platform answered the appointment of a primary.
    PromotionReplied {
        /// The call.
        call: core_message::CallId,
        /// The answer.
        reply: PromotionReply,
    },
    /// A peer sent a datagram.
    DatagramReceived {
        /// What it says.
        message: peer_datagram::PeerDatagram,
    },
    /// The settings have changed.
    TuningChanged {
        /// The spans and bounds that hold from now on.
        tuning: Box<proxy_tuning::ProxyTuning>,
    },
    /// The process was asked to stop.
    ShutdownRequested,
    /// Nothing but time passed.
    TimerFired,
}

/// The answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The endpoint's signature; `None` when this host answers by itself.
    pub signature: Option<String>,
    /// The outcome.
    pub verdict: request_verdict::RequestVerdict,
    /// The session's state.
    pub phase: endpoint_command::SessionPhase,
    /// The last log point that the session has seen.
    pub position: Option<endpoint_message::LogPoint>,
}

/// What is to be done outside the core.
#[derive(Debug)]
pub enum ProxyAction {
    /// Greets a caller, or refuses it and closes its connection.
    AcceptCaller {
        /// The door's number.
        caller: core_message::CallerId,
        /// The refusal, if it is one.
        refusal: Option<request_verdict::RequestVerdict>,
    },
    /// Answers a caller's request.
    RespondToCaller {
        /// The door's number.
        caller: core_message::CallerId,
        /// The answer.
        answer: CallerResponse,
    },
    /// Closes a caller's connection once all answers are sent.
    CloseCaller {
        /// The door's number.
        caller: core_message::CallerId,
    },
    /// Opens a link to an endpoint.
    OpenConnection {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// IP and port.
        address: String,
        /// Group that the endpoint must belong to.
        group: String,
        /// Account that the link is for; empty for this host itself.
        account: String,
        /// Id that the endpoint must have.
        endpoint: String,
        /// Longest wait for the greeting's answer.
        limit: Duration,
    },
    /// Sends a command on a link.
    SendCommand {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// The command.
        command: endpoint_command::EndpointCommand,
    },
    /// Closes a link; nothing more is heard of it.
    CloseConnection {
        /// The link.
        connection: arena_keys::ConnectionKey,
    },
    /// Calls the store.
    CallStore {
        /// The call.
        call: core_message::CallId,
        /// What is asked.
        request: store_message::StoreRequest,
    },
    /// Appoints a primary.
    Promote {
        /// The call.
        call: core_message::CallId,
        /// The group.
        group: String,
        /// The endpoint that is to lead.
        endpoint: String,
        /// The host that holds the duty.
        holder: String,
        /// Grows with each holder.
        token: u64,
    },
    /// Sends a datagram to a peer.
    SendDatagram {
        /// IP and port.
        address: String,
        /// What is said.
        message: peer_datagram::PeerDatagram,
    },
    /// Says whether new callers are welcome.
    SetReadiness {
        /// Whether they are.
        ready: bool,
    },
    /// All is done; the process may end.
    Stop,
}
