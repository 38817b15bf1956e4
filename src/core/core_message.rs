//! Events that the decision core handles and actions that it returns.

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::peer_message;
use crate::core::platform_message;
use crate::core::request_verdict;
use crate::core::status_report;

/// Number that the listener gives to a caller's connection.
pub type CallerId = u64;
/// Number that the core gives to a call to which it expects a reply.
pub type CallId = u64;
/// Number that a driver gives to an incoming request to which it expects the core's reply.
pub type RequestId = u64;

/// An event for the core to handle.
#[derive(Debug)]
pub enum CoreEvent {
    /// A caller has connected and sent its login.
    CallerOpened {
        /// Number of the caller's connection.
        caller: CallerId,
        /// Account to log in to.
        account: String,
        /// Account key; it is checked and not stored.
        key: String,
        /// Service to connect to.
        service: String,
        /// Initial settings, as pairs of name and value.
        settings: Vec<(String, String)>,
    },
    /// A caller has disconnected.
    CallerClosed {
        /// Number of the caller's connection.
        caller: CallerId,
    },
    /// A caller has sent a statement. It must not send another before the response.
    StatementArrived {
        /// Number of the caller's connection.
        caller: CallerId,
        /// SQL text.
        text: String,
    },
    /// An attempt to open a connection to an endpoint has succeeded or failed.
    ConnectionOpened {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Whether it succeeded.
        opened: bool,
    },
    /// A connection to an endpoint was closed from outside the core.
    ConnectionClosed {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Whether it was closed because the endpoint sent an answer to no request.
        unmatched: bool,
    },
    /// A call to an endpoint has ended.
    EndpointResponded {
        /// Number of the call.
        call: CallId,
        /// Outcome of the call.
        outcome: endpoint_message::EndpointOutcome,
        /// Whether the connection may carry another request.
        reusable: bool,
    },
    /// A peer has sent a request.
    PeerRequestReceived {
        /// Number of the incoming request.
        request_id: RequestId,
        /// Request from the peer.
        request: peer_message::PeerRequest,
    },
    /// A peer has replied to a call, or could not be reached.
    PeerReplied {
        /// Number of the call.
        call: CallId,
        /// Reply; `None` if there is none.
        reply: Option<peer_message::PeerReply>,
    },
    /// The platform has replied to a call, or could not be reached.
    PlatformReplied {
        /// Number of the call.
        call: CallId,
        /// Reply; `None` if it was lost, in which case the call may have taken effect.
        reply: Option<platform_message::PlatformReply>,
    },
    /// An operator or the metrics driver has requested a status report.
    StatusRequested {
        /// Number of the incoming request.
        request_id: RequestId,
    },
    /// The process has received a request to shut down.
    DrainRequested,
    /// The time returned by `next_timer` has been reached.
    TimerFired,
}

/// An action for a driver to carry out.
#[derive(Debug)]
pub enum CoreAction {
    /// Accepts a caller's login.
    AdmitCaller {
        /// Number of the caller's connection.
        caller: CallerId,
    },
    /// Rejects a caller's login.
    RefuseCaller {
        /// Number of the caller's connection.
        caller: CallerId,
        /// Reason.
        verdict: request_verdict::RequestVerdict,
    },
    /// Sends the response to a caller's statement.
    RespondToCaller {
        /// Number of the caller's connection.
        caller: CallerId,
        /// Outcome of the statement.
        verdict: request_verdict::RequestVerdict,
        /// Result of the statement; empty if it was not executed.
        body: endpoint_message::ResponseBody,
        /// Whether the caller is in a transaction after the statement.
        in_transaction: bool,
    },
    /// Closes a caller's connection after its pending responses have been sent.
    CloseCaller {
        /// Number of the caller's connection.
        caller: CallerId,
        /// Reason.
        verdict: request_verdict::RequestVerdict,
    },
    /// Opens a connection to an endpoint.
    OpenConnection {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Address of the endpoint.
        address: String,
    },
    /// Closes a connection; replies to its calls are ignored from then on.
    CloseConnection {
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
    },
    /// Sends a request to an endpoint.
    CallEndpoint {
        /// Number of the call.
        call: CallId,
        /// Key of the connection.
        connection: arena_keys::ConnectionKey,
        /// Request for the endpoint.
        request: endpoint_message::EndpointRequest,
    },
    /// Sends a request to a peer.
    CallPeer {
        /// Number of the call.
        call: CallId,
        /// Address of the peer.
        address: String,
        /// Request for the peer.
        request: peer_message::PeerRequest,
    },
    /// Replies to a peer's request.
    ReplyToPeer {
        /// Number of the incoming request.
        request_id: RequestId,
        /// Reply to send.
        reply: peer_message::PeerReply,
    },
    /// Sends a request to the platform.
    CallPlatform {
        /// Number of the call.
        call: CallId,
        /// Request for the platform.
        request: platform_message::PlatformRequest,
    },
    /// Replies to a request for a status report.
    ReplyToStatus {
        /// Number of the incoming request.
        request_id: RequestId,
        /// Status report.
        report: Box<status_report::StatusReport>,
    },
    /// Lets the process exit: the shutdown is complete or has timed out.
    Stop,
}
