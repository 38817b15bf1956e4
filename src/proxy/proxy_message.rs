//! Events that enter the proxy core and actions that it returns.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::duty_call;
use crate::proxy::endpoint_command;
use crate::proxy::peer_datagram;
use crate::proxy::pool_message;
use crate::proxy::proxy_tuning;
use crate::proxy::session_request;
use crate::proxy::store_message;

/// An event outside the core.
#[derive(Debug)]
pub enum ProxyEvent {
    /// A caller opened a session, naming a database and presenting its key.
    CallerOpened {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
        /// Database that the caller named.
        database: String,
        /// The key; only its digest is kept.
        key: String,
    },
    /// A caller sent a request.
    RequestReceived {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
        /// The caller's identifier of the request.
        id: String,
        /// The decoded request.
        request: session_request::SessionRequest,
    },
    /// A caller's connection ended.
    CallerClosed {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
    },
    /// A connection was opened, and its endpoint responded to the start-up message.
    ConnectionOpened {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// The response.
        response: endpoint_command::EndpointResponse,
    },
    /// The endpoint responded to the command in flight on a connection.
    ResponseReceived {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// The response.
        response: endpoint_command::EndpointResponse,
    },
    /// A connection could not be opened, or ended.
    ConnectionClosed {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Whether the endpoint's address refused the connection.
        refused: bool,
    },
    /// The store replied to a call.
    StoreReplied {
        /// Identifier of the call.
        call: core_message::CallId,
        /// The reply, with the store's era.
        reply: store_message::StampedReply,
    },
    /// The platform replied to the call of a duty.
    DutyReplied {
        /// Identifier of the call.
        call: core_message::CallId,
        /// The reply.
        reply: duty_call::DutyReply,
    },
    /// A peer sent a datagram.
    DatagramReceived {
        /// The decoded datagram.
        message: peer_datagram::PeerDatagram,
    },
    /// A serving host replied on the link that this host opened to it.
    PoolReplyReceived {
        /// IP address and port of the serving host.
        address: String,
        /// The decoded reply.
        reply: pool_message::PoolReply,
    },
    /// The link to a serving host could not be opened, or ended.
    PoolLinkLost {
        /// IP address and port of the serving host.
        address: String,
    },
    /// A host sent a request on a link that it opened to this serving host.
    PoolRequestReceived {
        /// Identifier of the link.
        link: pool_message::LinkId,
        /// The decoded request.
        request: pool_message::PoolRequest,
    },
    /// A link that a host opened to this serving host ended.
    PoolLinkClosed {
        /// Identifier of the link.
        link: pool_message::LinkId,
    },
    /// The settings changed.
    TuningChanged {
        /// Settings that apply from now on.
        tuning: Box<proxy_tuning::ProxyTuning>,
    },
    /// The clock of the host was read.
    WallClockRead {
        /// Microseconds of Unix time. They may be wrong by seconds for a while.
        unix_us: u64,
    },
    /// The process was asked to shut down.
    ShutdownRequested,
    /// The time of the next timer was reached.
    TimerFired,
}

/// Response to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The endpoint's signature of the response; `None` when this host responds by itself.
    pub signature: Option<String>,
    /// Outcome of the request.
    pub verdict: request_verdict::RequestVerdict,
    /// Transaction state of the session.
    pub phase: endpoint_command::SessionPhase,
    /// Last log point of the session's own commits, if there is one.
    pub position: Option<endpoint_message::LogPoint>,
}

/// An action to carry out outside the core.
#[derive(Debug)]
pub enum ProxyAction {
    /// Accepts a caller, or refuses it and closes its connection.
    AcceptCaller {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
        /// Verdict of the refusal; `None` if the caller is accepted.
        refusal: Option<request_verdict::RequestVerdict>,
    },
    /// Sends the response to a caller's request.
    RespondToCaller {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
        /// The response.
        response: CallerResponse,
    },
    /// Closes a caller's connection once all responses are sent.
    CloseCaller {
        /// Identifier of the caller's connection.
        caller: core_message::CallerId,
    },
    /// Opens a connection to an endpoint.
    OpenConnection {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// IP address and port.
        address: String,
        /// Group that the endpoint must belong to.
        group: String,
        /// Account that the connection is for; empty for this host's own use.
        account: String,
        /// Identifier that the endpoint must have.
        endpoint: String,
        /// Timeout for the response to the start-up message.
        limit: Duration,
    },
    /// Sends a command on a connection.
    SendCommand {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Command to send.
        command: endpoint_command::EndpointCommand,
    },
    /// Closes a connection; no further events of it are handled.
    CloseConnection {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
    },
    /// Calls the store.
    CallStore {
        /// Identifier of the call.
        call: core_message::CallId,
        /// The request to the store.
        request: store_message::StoreRequest,
    },
    /// Makes a call to the platform that is the coordinator's duty.
    CallDuty {
        /// Identifier of the call.
        call: core_message::CallId,
        /// The call.
        duty: duty_call::DutyCall,
        /// Host that holds the coordinator lease.
        holder: String,
        /// Fencing token, which grows with each holder of the lease.
        token: u64,
        /// Time on this host's clock from which the call must not be sent any more, and at which a
        /// call without a reply is given up, so that nothing of it arrives later.
        deadline: clock_time::ClockTime,
    },
    /// Changes the deadline of a pending call of a duty.
    SetDutyDeadline {
        /// Identifier of the call.
        call: core_message::CallId,
        /// The new deadline.
        deadline: clock_time::ClockTime,
    },
    /// Sends a datagram to a peer.
    SendDatagram {
        /// IP address and port.
        address: String,
        /// The datagram to send.
        message: peer_datagram::PeerDatagram,
    },
    /// Sends a request to a serving host, on the link to it; opens the link if there is none.
    SendPoolRequest {
        /// IP address and port of the serving host.
        address: String,
        /// The request to send.
        request: pool_message::PoolRequest,
    },
    /// Closes the link to a serving host; no further replies on it are handled.
    ClosePoolLink {
        /// IP address and port of the serving host.
        address: String,
    },
    /// Sends a reply on a link that a host opened to this serving host.
    SendPoolReply {
        /// Identifier of the link.
        link: pool_message::LinkId,
        /// The reply to send.
        reply: pool_message::PoolReply,
    },
    /// Reports whether this host accepts new callers.
    SetReadiness {
        /// Whether it does.
        ready: bool,
    },
    /// Ends the process, as the shutdown is complete.
    Stop,
}
